package juniperusher.core;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
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

    // Guards against a delay that one process of an upgrade drops: the new one waits for the owner's lock, so the
    // kernel refuses the old one to wait for the lock on the delays, as for a deadlock.
    @Test
    public void delayIsSharedWhileTheOtherProcessWaitsForTheOwnersEnd() throws Exception {
        Path folder = Files.createTempDirectory("waits");
        OwnerLock owner = OwnerLock.open(folder, false);
        assertTrue(owner.isHeld());
        Process successor = new ProcessBuilder(
                        Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                        "-cp",
                        System.getProperty("surefire.test.class.path", System.getProperty("java.class.path")),
                        WaitingSuccessor.class.getName(),
                        folder.toString())
                .redirectError(ProcessBuilder.Redirect.INHERIT)
                .start();
        try (var lines = successor.inputReader()) {
            assertEquals(lines.readLine(), "locked");
            SharedRetryDelays delays = new SharedRetryDelays(folder);
            delays.add(3, UNTIL_MILLIS);
            assertEquals(lines.readLine(), "released");
            Map<Integer, Long> seen = delays.pollChanges(); // stores what could not be stored before
            assertEquals(seen, Map.of(3, UNTIL_MILLIS));
        } finally {
            successor.destroyForcibly().waitFor();
            owner.close();
        }
    }

    /** The new process: waits for the owner's lock, and holds the one on the delays for a while. */
    static final class WaitingSuccessor {
        private static final long HELD_MILLIS = 500;

        private WaitingSuccessor() {}

        public static void main(String[] arguments) throws Exception {
            Path folder = Path.of(arguments[0]);
            try (FileChannel channel = FileChannel.open(
                            folder.resolve("waits.lock"), StandardOpenOption.CREATE, StandardOpenOption.WRITE);
                    FileLock lock = channel.lock()) {
                Thread takeOver = new Thread(() -> awaitOwner(folder));
                takeOver.setDaemon(true);
                takeOver.start();
                Thread.sleep(HELD_MILLIS); // until the thread waits in the kernel
                System.out.println("locked");
                Thread.sleep(HELD_MILLIS);
                assertTrue(lock.isValid());
            }
            System.out.println("released");
            Thread.sleep(60_000); // until it is ended
        }

        private static void awaitOwner(Path folder) {
            try {
                OwnerLock.open(folder, true).await();
            } catch (IOException | InterruptedException e) {
                throw new IllegalStateException(e);
            }
        }
    }
}
