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
        SharedWaits old = new SharedWaits(folder);
        SharedWaits next = new SharedWaits(folder);
        old.told(4, UNTIL);
        next.told(7, UNTIL); // before it has looked
        assertEquals(next.changed(), Map.of(4, UNTIL, 7, UNTIL));
        assertNull(next.changed());
        old.told(4, UNTIL - 1); // a shorter one
        assertNull(next.changed());
        old.told(4, UNTIL + 1);
        assertEquals(next.changed().get(4), Long.valueOf(UNTIL + 1));
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
                SharedWaits one = new SharedWaits(folder);
                told[who] = two.submit(() -> {
                    start.await();
                    for (int i = 0; i < 100; i++) {
                        one.told(first + i, UNTIL);
                    }
                    return null;
                });
            }
            told[0].get();
            told[1].get();
            assertEquals(new SharedWaits(folder).changed().size(), 200);
        } finally {
            two.shutdownNow();
        }
    }
}
