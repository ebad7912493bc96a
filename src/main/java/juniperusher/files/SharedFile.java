package juniperusher.files;

import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.OverlappingFileLockException;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * A small text file that the two processes of an upgrade change. Each change is applied to the content that the file
 * has then, under a lock on the file {@code NAME.lock}, so that no process undoes a change of the other.
 *
 * <p>The lock is only ever tried. A process that blocked for it while one of its threads waits for another lock of the
 * other process would be refused by the kernel, which takes that for a deadlock. Safe for threads.
 */
public final class SharedFile {
    private static final Logger LOG = LoggerFactory.getLogger(SharedFile.class);
    private static final long LOCK_RETRY_MILLIS = 1;

    private static final Object IN_PROCESS_LOCK = new Object(); // a file lock excludes other processes only

    private final Path path;
    private final long lockTimeoutMillis;
    private final Path lockPath;
    private final Path temporaryPath; // of one name only, so that killed processes leave no more than one behind

    /** A change of the file's content. */
    public interface Change {
        /**
         * Returns the new content.
         *
         * @param content the content at this moment, null if the file does not exist
         * @throws IOException if the content cannot be understood; the file is then unchanged
         */
        String applyTo(String content) throws IOException;
    }

    /**
     * Creates the file object; neither the file nor its folder need exist yet.
     *
     * @param lockTimeoutMillis how long a change waits for one of the other process, which takes well under a
     *     millisecond unless that process gets no processor time
     */
    public SharedFile(Path path, long lockTimeoutMillis) {
        this.path = path;
        this.lockTimeoutMillis = lockTimeoutMillis;
        lockPath = path.resolveSibling(path.getFileName() + ".lock");
        temporaryPath = path.resolveSibling(path.getFileName() + ".new");
    }

    /**
     * Reads the content; null if the file does not exist.
     *
     * @throws IOException if the file cannot be read
     */
    public String read() throws IOException {
        try {
            return Files.readString(path);
        } catch (NoSuchFileException e) {
            return null;
        }
    }

    /**
     * Applies the change to the present content, creating the folder if need be. Readers see the new content once this
     * returns.
     *
     * @throws IOException if another process holds the lock for too long, or the file cannot be read or written; it is
     *     then unchanged
     */
    public void update(Change change) throws IOException {
        synchronized (IN_PROCESS_LOCK) {
            Files.createDirectories(path.getParent());
            try (FileChannel channel =
                    FileChannel.open(lockPath, StandardOpenOption.CREATE, StandardOpenOption.WRITE)) {
                awaitLock(channel);
                AtomicFile.write(path, change.applyTo(read()), temporaryPath);
            }
        }
    }

    /** Takes the lock, which ends when the channel is closed. */
    private void awaitLock(FileChannel channel) throws IOException {
        long untilNanos = System.nanoTime() + lockTimeoutMillis * 1_000_000;
        while (!tryLock(channel)) {
            if (System.nanoTime() - untilNanos >= 0) {
                throw new IOException(lockPath + " is locked by another process");
            }
            try {
                Thread.sleep(LOCK_RETRY_MILLIS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                throw new IOException("interrupted while waiting for " + lockPath, e);
            }
        }
    }

    private static boolean tryLock(FileChannel channel) throws IOException {
        try {
            FileLock lock = channel.tryLock();
            return lock != null;
        } catch (OverlappingFileLockException e) {
            return false; // a test holds it in this process
        } catch (IOException e) {
            if (!channel.isOpen()) {
                throw e; // the thread was interrupted
            }
            LOG.debug("the file system has no locks, so no other process uses the folder: {}", e.toString());
            return true;
        }
    }
}
