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
 * Signals between the two processes of an upgrade, through files in the shared folder, which of them sends ordered
 * messages. The successor locks the file {@code successor}. An owner that finds it locked holds back ordered messages
 * that it accepts from then on, and confirms this with the file {@code order-yielded}. The lock ends with the
 * successor's process, after which the owner sends ordered messages again.
 */
final class SuccessorMark {
    private static final String MARK_FILE = "successor";
    private static final String YIELDED_FILE = "order-yielded";
    private static final long POLL_INTERVAL_MILLIS = 5;

    private final Path markFile;
    private final Path yieldedFile;
    private FileChannel markChannel; // open while this process is the successor

    SuccessorMark(Path folder) {
        markFile = folder.resolve(MARK_FILE);
        yieldedFile = folder.resolve(YIELDED_FILE);
    }

    // ---- the successor's side ----

    /** Marks this process as the successor. Removes a confirmation that an earlier owner left. */
    void set() throws IOException {
        Files.deleteIfExists(yieldedFile);
        markChannel = FileChannel.open(markFile, StandardOpenOption.CREATE, StandardOpenOption.WRITE);
        markChannel.lock();
    }

    /** Waits until the owner has yielded. Returns false if it has not within the timeout. */
    boolean awaitYield(long timeoutMillis) throws InterruptedException {
        long untilNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeoutMillis);
        while (!Files.exists(yieldedFile)) {
            if (System.nanoTime() - untilNanos >= 0) {
                return false;
            }
            Thread.sleep(POLL_INTERVAL_MILLIS);
        }
        return true;
    }

    /** Removes the mark: this process is no longer the successor. */
    void clear() throws IOException {
        if (markChannel != null) {
            markChannel.close();
            markChannel = null;
        }
        Files.deleteIfExists(yieldedFile);
    }

    // ---- the owner's side ----

    /** Whether a successor process is running. */
    boolean isSet() throws IOException {
        if (!Files.exists(markFile)) {
            return false;
        }
        try (FileChannel file = FileChannel.open(markFile, StandardOpenOption.WRITE);
                FileLock lock = file.tryLock()) {
            return lock == null;
        } catch (OverlappingFileLockException e) {
            return true; // a test runs the successor in this process
        }
    }

    /** Confirms that this process starts no ordered message accepted from now on. */
    void confirmYield() throws IOException {
        Files.write(yieldedFile, new byte[0]);
    }
}
