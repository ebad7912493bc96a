package juniperusher.faults;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.Test;

/** The folder that lasts cannot be written for a while: what was taken on is still owed, and answered in its time. */
public class FolderFaultTest {
    private static final long BEFORE = 800; // ms of traffic before the fault
    private static final long FAULT = 1_500; // ms
    private static final long SLOW =
            500; // ms that endpoints take meanwhile, so that calls are out at its begin and end
    private static final long LONGEST = 2_500; // ms of time that messages have

    private static void fail(FaultWorld world, int error, boolean half) throws InterruptedException {
        Thread.sleep(BEFORE);
        world.endpoints.forEach(
                endpoint -> endpoint.behave(ids -> new EndpointStandIn.Treatment(EndpointStandIn.Kind.FAIL, SLOW)));
        Thread.sleep(2 * SLOW); // calls are out, and messages wait to go again
        world.relay.faults().set(FaultShim.Word.FOLDER_WRITE_HALF, half ? 1 : 0);
        world.relay.faults().set(FaultShim.Word.FOLDER_WRITE_ERRNO, error);
        Thread.sleep(FAULT);
        world.endpoints.forEach(endpoint -> endpoint.behave(ids -> world.usual()));
        assertTrue(world.relay.faults().get(FaultShim.Word.FOLDER_FAILURES) > 0, "no write has failed");
    }

    @Test
    public void eachMessageIsAnsweredThoughWritesFailForAWhile() throws Exception {
        try (FaultWorld world = new FaultWorld(1, LONGEST)) {
            world.send();
            fail(world, FaultShim.ENOSPC, false);
            world.relay.faults().heal();
            Thread.sleep(FAULT);
            assertEquals(String.join("\n", world.settle()), "");
        }
    }

    @Test
    public void aHalfWrittenRecordHidesNothingBehindIt() throws Exception {
        try (FaultWorld world = new FaultWorld(2, LONGEST)) {
            world.send();
            fail(world, FaultShim.ENOSPC, true);
            world.relay.faults().heal();
            Thread.sleep(FAULT);
            world.restart();
            Thread.sleep(FAULT);
            assertEquals(String.join("\n", world.settle()), "");
        }
    }

    @Test
    public void aFolderThatFailsAtTheStartLosesNothing() throws Exception {
        try (FaultWorld world = new FaultWorld(3, LONGEST)) {
            world.send();
            Thread.sleep(BEFORE);
            Thread healing = new Thread(() -> {
                try {
                    Thread.sleep(FAULT + 1_000);
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
                world.relay.faults().heal();
            });
            world.relay.faults().set(FaultShim.Word.FOLDER_WRITE_ERRNO, FaultShim.EIO);
            healing.start();
            world.restart();
            healing.join();
            Thread.sleep(FAULT);
            assertEquals(String.join("\n", world.settle()), "");
        }
    }
}
