package juniperusher.core;

import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.OverlappingFileLockException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.concurrent.TimeUnit;

/**
 * How the two processes of an upgrade agree on who sends messages in order. The successor holds a lock on the
 * file {@code successor}; the owner, once it has seen that lock, begins no message in order that it takes from
 * then on, and says so by the file {@code order-yielded}. The lock ends with the successor's process, after
 * which the owner takes its order back.
 */
final class SuccessorMark {
    private static final String MARK = "successor";
    private static final String YIELDED = "order-yielded";
    private static final long LOOK = 5; // ms between two looks for the owner's word

    private final Path mark;
    private final Path yielded;
    private FileChannel channel; // open while this process is the marked successor

    SuccessorMark(Path folder) {
        mark = folder.resolve(MARK);
        yielded = folder.resolve(YIELDED);
    }

    // ---- the successor's side ----

    /** Marks this process as the successor. What an owner of before said no longer counts. */
    void raise() throws IOException {
        Files.deleteIfExists(yielded);
        channel = FileChannel.open(mark, StandardOpenOption.CREATE, StandardOpenOption.WRITE);
        channel.lock();
    }

    /** Waits until the owner has yielded; false if it has not within the time in milliseconds. */
    boolean awaitYielded(long atMost) throws InterruptedException {
        long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(atMost);
        while (!Files.exists(yielded)) {
            if (System.nanoTime() - until >= 0) {
                return false;
            }
            Thread.sleep(LOOK);
        }
        return true;
    }

    /** This process is the owner now. */
    void lower() throws IOException {
        if (channel != null) {
            channel.close();
            channel = null;
        }
        Files.deleteIfExists(yielded);
    }

    // ---- the owner's side ----

    /** Whether a successor lives. */
    boolean raised() throws IOException {
        if (!Files.exists(mark)) {
            return false;
        }
        try (FileChannel file = FileChannel.open(mark, StandardOpenOption.WRITE);
                FileLock lock = file.tryLock()) {
            return lock == null;
        } catch (OverlappingFileLockException e) {
            return true; // a successor within this very process, as in tests
        }
    }

    /** Tells the successor that nothing in order begins here any more but what was taken before. */
    void yield() throws IOException {
        Files.write(yielded, new byte[0]);
    }
}
