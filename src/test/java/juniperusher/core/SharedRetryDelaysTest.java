package juniperusher.core;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNull;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.CyclicBarrier;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import org.testng.annotations.Test;

/** Retry-after delays that the two processes of an upgrade share. */
public class SharedRetryDelaysTest {
    private static final long UNTIL_MILLIS = 4_000_000_000_000L; // far in the future

    @Test
    public void delayReadWhileAddingIsStillReturned() throws Exception {
        Path folder = Files.createTempDirectory("waits");
        SharedRetryDelays old = new SharedRetryDelays(folder);
        SharedRetryDelays next = new SharedRetryDelays(folder);
        old.add(4, UNTIL_MILLIS);
        next.add(7, UNTIL_MILLIS); // before its first poll
        assertEquals(next.pollChanges(), Map.of(4, UNTIL_MILLIS, 7, UNTIL_MILLIS));
        assertNull(next.pollChanges());
        old.add(4, UNTIL_MILLIS - 1); // a shorter delay
        assertNull(next.pollChanges());
        old.add(4, UNTIL_MILLIS + 1);
        assertEquals(next.pollChanges().get(4), Long.valueOf(UNTIL_MILLIS + 1));
    }

    @Test
    public void concurrentAddsLoseNothing() throws Exception {
        Path folder = Files.createTempDirectory("waits");
        ExecutorService threads = Executors.newFixedThreadPool(2);
        try {
            CyclicBarrier start = new CyclicBarrier(2);
            Future<?>[] writers = new Future<?>[2];
            for (int writer = 0; writer < 2; writer++) {
                int first = writer * 100;
                SharedRetryDelays delays = new SharedRetryDelays(folder);
                writers[writer] = threads.submit(() -> {
                    start.await();
                    for (int i = 0; i < 100; i++) {
                        delays.add(first + i, UNTIL_MILLIS);
                    }
                    return null;
                });
            }
            writers[0].get();
            writers[1].get();
            assertEquals(new SharedRetryDelays(folder).pollChanges().size(), 200);
        } finally {
            threads.shutdownNow();
        }
    }
}
