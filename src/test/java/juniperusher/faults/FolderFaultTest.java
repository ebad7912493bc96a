package juniperusher.faults;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.Test;

/** Writes to the state folder fail for some time: messages accepted before still end within their budget. */
public class FolderFaultTest {
    private static final long TRAFFIC_MILLIS = 800; // traffic before the fault
    private static final long FAULT_MILLIS = 1_500;
    // Service time during the fault, long enough that calls are in flight when the fault begins and ends.
    private static final long SLOW_SERVICE_MILLIS = 500;
    private static final long MAX_BUDGET_MILLIS = 2_500;

    private static void failWrites(FaultTestbed testbed, int error, boolean partialWrites) throws InterruptedException {
        Thread.sleep(TRAFFIC_MILLIS);
        testbed.endpoints.forEach(endpoint -> endpoint.setBehaviour(
                ids -> new EndpointStandIn.Treatment(EndpointStandIn.TreatmentKind.FAIL, SLOW_SERVICE_MILLIS)));
        Thread.sleep(2 * SLOW_SERVICE_MILLIS); // now calls are in flight and messages wait for a retry
        testbed.relay.faults().set(FaultShim.Word.FOLDER_WRITE_HALF, partialWrites ? 1 : 0);
        testbed.relay.faults().set(FaultShim.Word.FOLDER_WRITE_ERRNO, error);
        Thread.sleep(FAULT_MILLIS);
        testbed.endpoints.forEach(endpoint -> endpoint.setBehaviour(ids -> testbed.usualTreatment()));
        assertTrue(testbed.relay.faults().get(FaultShim.Word.FOLDER_FAILURES) > 0, "no write failed during the fault");
    }

    @Test
    public void messagesEndInTimeThoughJournalWritesFail() throws Exception {
        try (FaultTestbed testbed = new FaultTestbed(1, MAX_BUDGET_MILLIS)) {
            testbed.startClients();
            failWrites(testbed, FaultShim.ENOSPC, false);
            testbed.relay.faults().clearFaults();
            Thread.sleep(FAULT_MILLIS);
            assertEquals(String.join("\n", testbed.settleAndCheck()), "");
        }
    }

    @Test
    public void recordsAfterPartialRecordSurviveRestart() throws Exception {
        try (FaultTestbed testbed = new FaultTestbed(2, MAX_BUDGET_MILLIS)) {
            testbed.startClients();
            failWrites(testbed, FaultShim.ENOSPC, true);
            testbed.relay.faults().clearFaults();
            Thread.sleep(FAULT_MILLIS);
            testbed.killAndRestart();
            Thread.sleep(FAULT_MILLIS);
            assertEquals(String.join("\n", testbed.settleAndCheck()), "");
        }
    }

    @Test
    public void writeFailuresDuringStartLoseNoMessage() throws Exception {
        try (FaultTestbed testbed = new FaultTestbed(3, MAX_BUDGET_MILLIS)) {
            testbed.startClients();
            Thread.sleep(TRAFFIC_MILLIS);
            Thread faultsEnd = new Thread(() -> {
                try {
                    Thread.sleep(FAULT_MILLIS + 1_000);
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
                testbed.relay.faults().clearFaults();
            });
            testbed.relay.faults().set(FaultShim.Word.FOLDER_WRITE_ERRNO, FaultShim.EIO);
            faultsEnd.start();
            testbed.killAndRestart();
            faultsEnd.join();
            Thread.sleep(FAULT_MILLIS);
            assertEquals(String.join("\n", testbed.settleAndCheck()), "");
        }
    }
}
