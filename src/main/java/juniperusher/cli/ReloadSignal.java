package juniperusher.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.BasicFileAttributes;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import sun.misc.Signal;
import sun.misc.SignalHandler;

/**
 * Waits for requests to reload the configuration file, which are made with SIGHUP. A process that was started with
 * SIGHUP ignored, under {@code nohup} or as a child of such a process, never receives the signal, because a JVM
 * keeps it ignored even if a handler is set. In that case the file is polled, and a change of it causes a reload.
 */
final class ReloadSignal {
    private static final Logger LOG = LoggerFactory.getLogger(ReloadSignal.class);
    private static final long POLL_INTERVAL_MILLIS = 200;

    private final Semaphore pendingSignals = new Semaphore(0);
    private final Path file;
    private final boolean signalIgnored;
    private final FileChangeDetector changeDetector;

    /**
     * Attributes that tell one version of a file from the next.
     *
     * @param modifiedNanos time of the last modification, in ns since the epoch
     * @param fileKey device and inode number, so that a file that replaces another differs even if it has the same
     *     size and time
     */
    record FileVersion(long modifiedNanos, long sizeBytes, String fileKey) {
        /** Returns the current version of a file, or null if it cannot be read. */
        static FileVersion of(Path file) {
            try {
                BasicFileAttributes attributes = Files.readAttributes(file, BasicFileAttributes.class);
                return new FileVersion(
                        attributes.lastModifiedTime().to(TimeUnit.NANOSECONDS),
                        attributes.size(),
                        String.valueOf(attributes.fileKey()));
            } catch (IOException e) {
                return null; // for example, removed and not yet replaced
            }
        }
    }

    /**
     * Detects a change of a file once two polls in a row give the same version. A file that is still being written is
     * not reported. Not thread-safe.
     */
    static final class FileChangeDetector {
        private FileVersion lastReported;
        private FileVersion lastSeen;

        /** Starts with the version that has been read already; null if there was no file. */
        FileChangeDetector(FileVersion first) {
            lastReported = first;
            lastSeen = first;
        }

        /**
         * Takes the version that a poll found, or null if there was no file, and returns whether the file is to be
         * read again.
         */
        boolean detectsChange(FileVersion current) {
            boolean unchangedSinceLastPoll = current != null && current.equals(lastSeen);
            lastSeen = current;
            if (!unchangedSinceLastPoll || current.equals(lastReported)) {
                return false;
            }
            lastReported = current;
            return true;
        }
    }

    /**
     * Installs the signal handler. This has to happen before the file is read for the first time; otherwise a change
     * between the two would be missed.
     */
    ReloadSignal(Path file) {
        this.file = file;
        changeDetector = new FileChangeDetector(FileVersion.of(file));
        // Without a handler the JVM exits on SIGHUP. A signal that arrives before awaitReload is kept as a permit.
        signalIgnored = Signal.handle(new Signal("HUP"), signal -> pendingSignals.release()) == SignalHandler.SIG_IGN;
        if (signalIgnored) {
            LOG.atWarn()
                    .addKeyValue("file", file)
                    .log("SIGHUP is ignored, as under nohup: a change of the file is taken for it");
        }
    }

    /** Blocks until the file is to be read again. Signals that arrived since the last call count as one. */
    void awaitReload() throws InterruptedException {
        if (!signalIgnored) {
            pendingSignals.acquire();
            pendingSignals.drainPermits();
            return;
        }
        while (!changeDetector.detectsChange(FileVersion.of(file))) {
            Thread.sleep(POLL_INTERVAL_MILLIS);
        }
    }
}
