package juniperusher.core;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Stream;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The segment files of a journal, of which the newest is appended to.
 *
 * <p>Nothing ever stands behind a torn record: an append that fails is cut off again, and where even that fails the
 * segment is left for good, so that the next append needs a new one ({@link #replace}). A new segment takes the place
 * of the old ones only once it is whole.
 *
 * <p>Not safe for use by several threads.
 */
final class JournalSegments {
    private static final Logger LOG = LoggerFactory.getLogger(JournalSegments.class);
    private static final String PREFIX = "journal-";

    private final Path folder;
    private final TreeMap<Integer, Long> sizes = new TreeMap<>(); // bytes of this writer's segments, by number
    private FileChannel current; // or null, where no segment can be appended to
    private int lastNumber;

    /** The segments in the folder; those to be written get numbers beyond {@code lastNumber}. */
    JournalSegments(Path folder, int lastNumber) {
        this.folder = folder;
        this.lastNumber = lastNumber;
    }

    /** The segments of any writer in the folder, the oldest first. */
    static List<Path> all(Path folder) throws IOException {
        try (Stream<Path> paths = Files.list(folder)) {
            return paths.filter(path -> path.getFileName().toString().matches(PREFIX + "\\d{8,9}"))
                    .sorted(Comparator.comparingInt(JournalSegments::number))
                    .toList();
        }
    }

    static int number(Path segment) {
        return Integer.parseInt(segment.getFileName().toString().substring(PREFIX.length()));
    }

    private Path path(int number) {
        return folder.resolve(String.format(PREFIX + "%08d", number));
    }

    /** A segment of an earlier process is this writer's own now: it goes with the next {@link #replace}. */
    void own(Path segment) throws IOException {
        sizes.put(number(segment), Files.size(segment));
        lastNumber = Math.max(lastNumber, number(segment));
    }

    /** Whether the segment is this writer's own. */
    boolean owns(Path segment) {
        return sizes.containsKey(number(segment));
    }

    /** Number of the newest segment. */
    int lastNumber() {
        return lastNumber;
    }

    /** Bytes of this writer's segments. */
    long bytes() {
        return sizes.values().stream().mapToLong(size -> size).sum();
    }

    /** Appends the record whole, or throws and leaves no part of it in front of what is appended later. */
    void append(byte[] record) throws IOException {
        if (current == null) {
            throw new IOException("no segment is open");
        }
        int number = sizes.lastKey();
        long from = sizes.get(number);
        try {
            write(current, record);
            sizes.put(number, from + record.length);
        } catch (IOException e) {
            cutOff(number, from);
            throw e;
        }
    }

    private static void write(FileChannel segment, byte[] record) throws IOException {
        ByteBuffer bytes = ByteBuffer.wrap(record);
        while (bytes.hasRemaining()) {
            segment.write(bytes);
        }
    }

    private void cutOff(int number, long size) {
        try {
            current.truncate(size);
            current.position(size);
        } catch (IOException e) {
            LOG.atWarn()
                    .addKeyValue("segment", number)
                    .log("journal: a torn record ends the segment: {}", e.toString());
            close();
            current = null;
            sizes.put(number, path(number).toFile().length());
        }
    }

    /**
     * Begins a new segment with these bytes, then removes the old ones. Throws where the new one cannot be written
     * whole; then the old ones stay, and the one that was appended to still is.
     */
    void replace(byte[] whole) throws IOException {
        int number = ++lastNumber;
        FileChannel next = null;
        try {
            next = FileChannel.open(path(number), StandardOpenOption.CREATE_NEW, StandardOpenOption.WRITE);
            write(next, whole);
        } catch (IOException e) {
            discard(next, number);
            throw e;
        }
        close();
        current = next;
        sizes.put(number, (long) whole.length);
        removeOld(number);
    }

    /** A segment that was not written whole; one that cannot be removed counts, and is ignored by a reader. */
    private void discard(FileChannel segment, int number) {
        try {
            if (segment != null) {
                segment.close();
            }
            Files.deleteIfExists(path(number));
        } catch (IOException e) {
            sizes.put(number, path(number).toFile().length());
            close();
            current = null; // appends go to the newest segment alone
        }
    }

    /** The oldest first: a record that ends a message must not go before the one that began it. */
    private void removeOld(int newest) {
        while (sizes.firstKey() < newest) {
            Map.Entry<Integer, Long> oldest = sizes.firstEntry();
            try {
                Files.deleteIfExists(path(oldest.getKey()));
            } catch (IOException e) {
                LOG.atWarn().addKeyValue("segment", oldest.getKey()).log("journal: it stays: {}", e.toString());
                return;
            }
            sizes.remove(oldest.getKey());
        }
    }

    /** Closes the segment that is appended to. */
    void close() {
        try {
            if (current != null) {
                current.close();
            }
        } catch (IOException e) {
            LOG.debug("journal: {}", e.toString());
        }
    }
}
