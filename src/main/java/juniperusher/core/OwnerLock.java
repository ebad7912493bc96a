package juniperusher.core;

import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.OverlappingFileLockException;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The lock on the file {@code owner} of a state folder, which tells the two processes of an upgrade apart: the process
 * that holds it owns the folder. It ends with its process.
 */
final class OwnerLock {
    private static final Logger LOG = LoggerFactory.getLogger(OwnerLock.class);
    private static final String FILE = "owner";
    // Between two attempts while an owner in the same process, which only tests have, holds the lock.
    private static final long SAME_PROCESS_RETRY_MILLIS = 20;

    private final FileChannel channel;
    private final boolean held;

    private OwnerLock(FileChannel channel, boolean held) {
        this.channel = channel;
        this.held = held;
    }

    /**
     * Takes the lock if it is free.
     *
     * @param successor whether to leave the lock alone, whatever its state
     */
    static OwnerLock open(Path folder, boolean successor) throws IOException {
        FileChannel channel =
                FileChannel.open(folder.resolve(FILE), StandardOpenOption.CREATE, StandardOpenOption.WRITE);
        return new OwnerLock(channel, !successor && tryLock(channel));
    }

    private static boolean tryLock(FileChannel channel) {
        try {
            return channel.tryLock() != null;
        } catch (OverlappingFileLockException e) {
            // this process holds the lock already: a test has opened the journal again
            return true;
        } catch (IOException e) {
            // The file system has no locks: assume that no other process uses the folder.
            LOG.atWarn().log("journal: the folder cannot be locked; this process acts as its owner: {}", e.toString());
            return true;
        }
    }

    /** Whether this process became the owner when it opened the lock. */
    boolean isHeld() {
        return held;
    }

    /** Waits until the owner has ended, and takes the lock. */
    void await() throws IOException, InterruptedException {
        FileLock lock = null;
        while (lock == null) {
            try {
                lock = channel.lock(); // blocks until the owner has ended
            } catch (OverlappingFileLockException e) {
                Thread.sleep(SAME_PROCESS_RETRY_MILLIS);
            }
        }
    }

    /** Releases the lock, so that a successor can take over. */
    void close() {
        try {
            channel.close();
        } catch (IOException e) {
            LOG.debug("journal: the lock file cannot be closed: {}", e.toString());
        }
    }
}
