package juniperusher.core;

import java.io.IOException;
import java.io.RandomAccessFile;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.Comparator;
import java.util.List;
import java.util.TreeMap;
import java.util.stream.Stream;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The segment files of a journal, the newest of which is appended to.
 *
 * <p>No record ever follows a torn one. What a failed append has written is cut off; if that fails too, the segment is
 * closed for good and the next append needs a new one ({@link #replace}). A new segment replaces the old ones only
 * after it is written completely.
 *
 * <p>Not safe for use by several threads.
 */
final class JournalSegments {
    private static final Logger LOG = LoggerFactory.getLogger(JournalSegments.class);
    private static final String PREFIX = "journal-";

    private final Path folder;
    // sizes of this writer's segments, the oldest first
    private final TreeMap<Integer, Long> bytesByNumber = new TreeMap<>(SegmentNumbers::compare);
    private FileChannel openSegment; // null if no segment can be appended to
    private int lastNumber;

    /** Creates a writer without segments of its own. New segments get the numbers after {@code lastNumber}. */
    JournalSegments(Path folder, int lastNumber) {
        this.folder = folder;
        this.lastNumber = lastNumber;
    }

    /** All segments in the folder, of any writer, the oldest first. */
    static List<Path> all(Path folder) throws IOException {
        try (Stream<Path> paths = Files.list(folder)) {
            return paths.filter(JournalSegments::isSegment)
                    .sorted(Comparator.comparing(JournalSegments::number, SegmentNumbers::compare))
                    .toList();
        }
    }

    /** Whether the file's name is that of a segment. */
    static boolean isSegment(Path file) {
        return file.getFileName().toString().matches(PREFIX + "\\d{8,9}");
    }

    /** The number in a segment's file name. */
    static int number(Path segment) {
        return Integer.parseInt(segment.getFileName().toString().substring(PREFIX.length()));
    }

    private Path path(int number) {
        return folder.resolve(String.format(PREFIX + "%08d", number));
    }

    /** Adds an existing segment to this writer's own, so that the next {@link #replace} removes it. */
    void addOwn(Path segment) throws IOException {
        bytesByNumber.put(number(segment), Files.size(segment));
        if (SegmentNumbers.compare(number(segment), lastNumber) > 0) {
            lastNumber = number(segment);
        }
    }

    /** Whether the segment belongs to this writer. */
    boolean owns(Path segment) {
        return bytesByNumber.containsKey(number(segment));
    }

    /** Total size of this writer's segments in bytes. */
    long bytes() {
        return bytesByNumber.values().stream().mapToLong(size -> size).sum();
    }

    /** Whether a segment is open that can be appended to. */
    boolean isOpen() {
        return openSegment != null;
    }

    /** Appends the record. If it fails, nothing of the record stays in front of later ones. */
    void append(byte[] record) throws IOException {
        if (openSegment == null) {
            throw new IOException("no segment is open");
        }
        int number = bytesByNumber.lastKey();
        long offset = bytesByNumber.get(number);
        try {
            write(openSegment, record);
            bytesByNumber.put(number, offset + record.length);
        } catch (IOException e) {
            truncate(number, offset);
            throw e;
        }
    }

    private static void write(FileChannel segment, byte[] record) throws IOException {
        ByteBuffer bytes = ByteBuffer.wrap(record);
        while (bytes.hasRemaining()) {
            segment.write(bytes);
        }
    }

    private void truncate(int number, long offset) {
        // An interrupt closes the channel, maybe after it has written the whole record; it does not close this file.
        try (RandomAccessFile file = new RandomAccessFile(path(number).toFile(), "rw")) {
            file.setLength(offset);
            openSegment.position(offset);
        } catch (IOException e) {
            LOG.atWarn()
                    .addKeyValue("segment", number)
                    .log("journal: a segment is closed after a failed write: {}", e.toString());
            close();
            openSegment = null;
            bytesByNumber.put(number, path(number).toFile().length());
        }
    }

    /**
     * Starts a new segment with this content, then removes the old ones. If the new one cannot be written completely,
     * the old ones stay and the open one is still appended to.
     */
    void replace(byte[] content) throws IOException {
        int number = SegmentNumbers.plus(lastNumber, 1);
        lastNumber = number;
        FileChannel segment = null;
        try {
            segment = FileChannel.open(path(number), StandardOpenOption.CREATE_NEW, StandardOpenOption.WRITE);
            write(segment, content);
        } catch (IOException e) {
            discard(segment, number);
            throw e;
        }
        close();
        openSegment = segment;
        bytesByNumber.put(number, (long) content.length);
        removeOlderThan(number);
    }

    /**
     * Removes a segment that was not written completely. One that cannot be removed counts towards the size; a reader
     * ignores its incomplete snapshot.
     */
    private void discard(FileChannel segment, int number) {
        try {
            if (segment != null) {
                segment.close();
            }
            Files.deleteIfExists(path(number));
        } catch (IOException e) {
            bytesByNumber.put(number, path(number).toFile().length());
            close();
            openSegment = null; // appends must go to the newest segment only
        }
    }

    /**
     * Removes the segments before {@code number}, the oldest first: the record that ends a message must not disappear
     * before the one that accepted it.
     */
    private void removeOlderThan(int number) {
        while (SegmentNumbers.compare(bytesByNumber.firstKey(), number) < 0) {
            if (!remove(path(bytesByNumber.firstKey()))) {
                return;
            }
        }
    }

    /**
     * Removes a segment of this writer's own that is not appended to.
     *
     * @return whether it is gone; one that cannot be removed still counts towards the size
     */
    boolean remove(Path segment) {
        try {
            Files.deleteIfExists(segment);
        } catch (IOException e) {
            LOG.atWarn()
                    .addKeyValue("segment", number(segment))
                    .log("journal: an old segment cannot be removed: {}", e.toString());
            return false;
        }
        bytesByNumber.remove(number(segment));
        return true;
    }

    /** Closes the open segment, if any. */
    void close() {
        try {
            if (openSegment != null) {
                openSegment.close();
            }
        } catch (IOException e) {
            LOG.debug("journal: a segment cannot be closed: {}", e.toString());
        }
    }
}
