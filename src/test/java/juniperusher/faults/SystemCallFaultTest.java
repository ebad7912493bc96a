package juniperusher.faults;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.Test;

/** System calls of a relay that fail for a while, and a wall clock that steps. */
public class SystemCallFaultTest {
    private static final long BEFORE = 500; // ms of traffic before the fault
    private static final long FAULT = 1_000; // ms
    private static final long LONGEST = 2_500; // ms of time that messages have
    private static final int HOUR = 3_600; // s
    private static final int MOST_ACCEPTS = 200; // calls in a second of failures: no busy loop

    @Test
    public void anAcceptThatKeepsFailingIsNotTriedWithoutAPause() throws Exception {
        try (FaultWorld world = new FaultWorld(11, LONGEST)) {
            world.send();
            Thread.sleep(BEFORE);
            int before = world.relay.faults().get(FaultShim.Word.ACCEPT_CALLS);
            world.relay.faults().set(FaultShim.Word.ACCEPT_ERRNO, FaultShim.EMFILE);
            try (TrafficClient waiting = new TrafficClient(world.relay.address(), world.ledger)) {
                assertEquals(waiting.handIn(0, 0, LONGEST, TrafficClient.newId()), TrafficClient.Answer.NONE);
                Thread.sleep(FAULT);
                int calls = world.relay.faults().get(FaultShim.Word.ACCEPT_CALLS) - before;
                assertTrue(calls > 0 && calls < MOST_ACCEPTS, calls + " calls of accept");
                world.relay.faults().heal();
                Thread.sleep(BEFORE);
                assertEquals(waiting.handIn(0, 0, LONGEST, TrafficClient.newId()), TrafficClient.Answer.TAKEN);
            }
            assertEquals(String.join("\n", world.settle()), "");
        }
    }

    @Test
    public void aWallClockThatStepsBackMovesNoDeadlineOverARestart() throws Exception {
        stepped(12, -HOUR);
    }

    @Test
    public void aWallClockThatStepsForwardMovesNoDeadlineOverARestart() throws Exception {
        stepped(13, HOUR);
    }

    private static void stepped(long seed, int seconds) throws Exception {
        try (FaultWorld world = new FaultWorld(seed, LONGEST)) {
            world.send();
            Thread.sleep(BEFORE);
            world.endpoints.forEach(
                    endpoint -> endpoint.behave(ids -> new EndpointStandIn.Treatment(EndpointStandIn.Kind.HANG, 0)));
            world.relay.faults().set(FaultShim.Word.WALL_CLOCK_SECONDS, seconds);
            Thread.sleep(FAULT);
            world.restart();
            world.endpoints.forEach(endpoint -> endpoint.behave(ids -> world.usual()));
            long delivered = world.ledger.delivered();
            Thread.sleep(FAULT);
            assertTrue(world.ledger.delivered() > delivered, "nothing is delivered after the step");
            assertEquals(String.join("\n", world.settle()), "");
        }
    }
}
