package juniperusher.core;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.stream.Stream;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The size of the files in a state folder that are no segments: locks, marks, {@code waits}, {@code maintenance} and
 * temporary files, of any process. It is measured once a second at most. Not thread-safe.
 */
final class OtherFiles {
    private static final Logger LOG = LoggerFactory.getLogger(OtherFiles.class);
    private static final int DISK_BLOCK_BYTES = 512;
    private static final long MEASURE_INTERVAL_NANOS = 1_000_000_000;

    private final Path folder;
    private long bytes;
    private long measuredAtNanos = System.nanoTime() - MEASURE_INTERVAL_NANOS;

    OtherFiles(Path folder) {
        this.folder = folder;
    }

    /** Their size in bytes as of the last look, each in whole blocks of the disk. */
    long bytes() {
        if (System.nanoTime() - measuredAtNanos >= MEASURE_INTERVAL_NANOS) {
            measure();
        }
        return bytes;
    }

    private void measure() {
        measuredAtNanos = System.nanoTime();
        try (Stream<Path> files = Files.list(folder)) {
            bytes = files.filter(file -> !JournalSegments.isSegment(file))
                    .mapToLong(OtherFiles::blockBytes)
                    .sum();
        } catch (IOException e) {
            LOG.debug("journal: the folder cannot be measured: {}", e.toString());
        }
    }

    private static long blockBytes(Path file) {
        long length = file.toFile().length(); // 0 if it is gone meanwhile
        return (length + DISK_BLOCK_BYTES - 1) / DISK_BLOCK_BYTES * DISK_BLOCK_BYTES;
    }
}
