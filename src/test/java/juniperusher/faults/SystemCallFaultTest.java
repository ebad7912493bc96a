package juniperusher.faults;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.Test;

/** System calls of a relay that fail for some time, and steps of the wall clock. */
public class SystemCallFaultTest {
    private static final long TRAFFIC_MILLIS = 500; // traffic before the fault
    private static final long FAULT_MILLIS = 1_000;
    private static final long LONG_FAULT_MILLIS = 2_500; // ends that fall due in it are overdue long before it is over
    private static final long SERVICE_MILLIS = 20;
    private static final long MAX_BUDGET_MILLIS = 2_500;
    private static final int HOUR_SECONDS = 3_600;
    private static final int MAX_ACCEPT_CALLS = 200; // during the fault; a busy loop would exceed this

    @Test
    public void failingAcceptIsRetriedOnlyAfterPause() throws Exception {
        try (FaultTestbed testbed = new FaultTestbed(11, MAX_BUDGET_MILLIS)) {
            testbed.startClients();
            Thread.sleep(TRAFFIC_MILLIS);
            int before = testbed.relay.faults().get(FaultShim.Word.ACCEPT_CALLS);
            testbed.relay.faults().set(FaultShim.Word.ACCEPT_ERRNO, FaultShim.EMFILE);
            try (TrafficClient waiting = new TrafficClient(testbed.relay.address(), testbed.ledger)) {
                assertEquals(
                        waiting.submit(0, 0, MAX_BUDGET_MILLIS, TrafficClient.newId()), TrafficClient.Result.TIMED_OUT);
                Thread.sleep(FAULT_MILLIS);
                int calls = testbed.relay.faults().get(FaultShim.Word.ACCEPT_CALLS) - before;
                assertTrue(calls > 0 && calls < MAX_ACCEPT_CALLS, calls + " calls of accept");
                testbed.relay.faults().clearFaults();
                Thread.sleep(TRAFFIC_MILLIS);
                assertEquals(
                        waiting.submit(0, 0, MAX_BUDGET_MILLIS, TrafficClient.newId()), TrafficClient.Result.ACCEPTED);
            }
            assertEquals(String.join("\n", testbed.settleAndCheck()), "");
        }
    }

    @Test
    public void wallClockStepBackKeepsDeadlinesOverRestart() throws Exception {
        assertDeadlinesKept(12, -HOUR_SECONDS);
    }

    @Test
    public void wallClockStepForwardKeepsDeadlinesOverRestart() throws Exception {
        assertDeadlinesKept(13, HOUR_SECONDS);
    }

    /** Guards against status reports that come too late, so that their messages are lost, while connect fails. */
    @Test
    public void statusReportsArriveInTimeWhileConnectFails() throws Exception {
        assertReportsArriveDuring(FaultShim.Word.CONNECT_ERRNO, FaultShim.EADDRNOTAVAIL);
    }

    /** Guards against the same while the process has no descriptor left for another socket. */
    @Test
    public void statusReportsArriveInTimeWhileNoSocketCanBeCreated() throws Exception {
        assertReportsArriveDuring(FaultShim.Word.SOCKET_ERRNO, FaultShim.EMFILE);
    }

    private static void assertReportsArriveDuring(FaultShim.Word call, int error) throws Exception {
        try (FaultTestbed testbed = new FaultTestbed(14, MAX_BUDGET_MILLIS)) {
            testbed.endpoints.forEach(endpoint -> endpoint.setBehaviour(
                    ids -> new EndpointStandIn.Treatment(EndpointStandIn.TreatmentKind.FAIL, SERVICE_MILLIS)));
            testbed.startClients();
            Thread.sleep(TRAFFIC_MILLIS);
            testbed.relay.faults().set(call, error);
            Thread.sleep(LONG_FAULT_MILLIS);
            testbed.relay.faults().clearFaults();
            assertEquals(String.join("\n", testbed.settleAndCheck()), "");
        }
    }

    private static void assertDeadlinesKept(long seed, int seconds) throws Exception {
        try (FaultTestbed testbed = new FaultTestbed(seed, MAX_BUDGET_MILLIS)) {
            testbed.startClients();
            Thread.sleep(TRAFFIC_MILLIS);
            testbed.endpoints.forEach(endpoint ->
                    endpoint.setBehaviour(ids -> new EndpointStandIn.Treatment(EndpointStandIn.TreatmentKind.HANG, 0)));
            testbed.relay.faults().set(FaultShim.Word.WALL_CLOCK_SECONDS, seconds);
            Thread.sleep(FAULT_MILLIS);
            testbed.killAndRestart();
            testbed.endpoints.forEach(endpoint -> endpoint.setBehaviour(ids -> testbed.usualTreatment()));
            long delivered = testbed.ledger.delivered();
            Thread.sleep(FAULT_MILLIS);
            assertTrue(testbed.ledger.delivered() > delivered, "no message was delivered after the clock step");
            assertEquals(String.join("\n", testbed.settleAndCheck()), "");
        }
    }
}
