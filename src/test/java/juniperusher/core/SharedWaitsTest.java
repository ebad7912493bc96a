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

/** Waits that two processes of an upgrade tell each other. */
public class SharedWaitsTest {
    private static final long UNTIL = 4_000_000_000_000L; // far ahead

    @Test
    public void aWaitToldJustBeforeOnesOwnIsStillHandedOn() throws Exception {
        Path folder = Files.createTempDirectory("waits");
        SharedRetryDelays old = new SharedRetryDelays(folder);
        SharedRetryDelays next = new SharedRetryDelays(folder);
        old.add(4, UNTIL);
        next.add(7, UNTIL); // before it has looked
        assertEquals(next.pollChanges(), Map.of(4, UNTIL, 7, UNTIL));
        assertNull(next.pollChanges());
        old.add(4, UNTIL - 1); // a shorter one
        assertNull(next.pollChanges());
        old.add(4, UNTIL + 1);
        assertEquals(next.pollChanges().get(4), Long.valueOf(UNTIL + 1));
    }

    @Test
    public void noneIsLostWhereBothTellAtOnce() throws Exception {
        Path folder = Files.createTempDirectory("waits");
        ExecutorService two = Executors.newFixedThreadPool(2);
        try {
            CyclicBarrier start = new CyclicBarrier(2);
            Future<?>[] told = new Future<?>[2];
            for (int who = 0; who < 2; who++) {
                int first = who * 100;
                SharedRetryDelays one = new SharedRetryDelays(folder);
                told[who] = two.submit(() -> {
                    start.await();
                    for (int i = 0; i < 100; i++) {
                        one.add(first + i, UNTIL);
                    }
                    return null;
                });
            }
            told[0].get();
            told[1].get();
            assertEquals(new SharedRetryDelays(folder).pollChanges().size(), 200);
        } finally {
            two.shutdownNow();
        }
    }
}
