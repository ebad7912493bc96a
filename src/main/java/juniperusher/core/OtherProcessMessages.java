package juniperusher.core;

import java.io.DataInputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import juniperusher.clock.SteadyClock;

/**
 * What the other process of an upgrade has accepted, read from its segments as it writes them. A process that knew only
 * its own messages would send one whose id comes to both. Not thread-safe.
 */
final class OtherProcessMessages {
    // Longer than any record.
    private static final int PIECE_BYTES = JournalRecords.HEADER_BYTES + JournalRecords.MAX_RECORD_BYTES;

    private final Path folder;
    private final Predicate<Path> isOwnSegment;
    private final RememberedEnds ends;
    private final Map<Path, Long> readBytes = new HashMap<>(); // by segment
    private final Map<Integer, RpcRequest> pendingByNumber = new HashMap<>(); // without their payloads
    private final Set<String> pendingKeys = new HashSet<>();
    private long segmentBytes;

    /**
     * What the other process knows of a message.
     *
     * @param pending whether it has accepted the message, which has not ended
     * @param end how the message ended, if it must not be accepted again; else null
     */
    record Knowledge(boolean pending, RememberedEnds.End end) {}

    /** Remembers ends of the other process as {@link RememberedEnds} does. */
    OtherProcessMessages(Path folder, Predicate<Path> isOwnSegment, long maxEndBytes) {
        this.folder = folder;
        this.isOwnSegment = isOwnSegment;
        ends = new RememberedEnds(maxEndBytes);
    }

    /** Reads what the other process has written so far and returns what it knows of the message with this key. */
    Knowledge knowledgeOf(String key) throws IOException {
        List<Path> segments = otherSegments();
        readBytes.keySet().retainAll(segments);
        segmentBytes = 0;
        for (Path segment : segments) {
            readOn(segment);
        }
        return new Knowledge(pendingKeys.contains(key), ends.recent(key, SteadyClock.millis()));
    }

    private List<Path> otherSegments() throws IOException {
        return JournalSegments.all(folder).stream()
                .filter(isOwnSegment.negate())
                .toList();
    }

    /** The size of the other process's segments in bytes, as of the last look. */
    long segmentBytes() {
        return segmentBytes;
    }

    /** Looks at the size of the other process's segments again. */
    void measureSegments() throws IOException {
        segmentBytes = 0;
        for (Path segment : otherSegments()) {
            segmentBytes += segment.toFile().length(); // 0 if it has been replaced meanwhile
        }
    }

    /** The other process has ended and its segments are this process's own; what it has accepted is still known. */
    void segmentsTakenOver() {
        segmentBytes = 0;
    }

    private void readOn(Path segment) throws IOException {
        long offset = readBytes.getOrDefault(segment, 0L);
        try (FileChannel file = FileChannel.open(segment, StandardOpenOption.READ)) {
            segmentBytes += file.size();
            int consumed = 1;
            while (consumed > 0 && offset < file.size()) {
                consumed = SegmentReader.readRecords(readPiece(file, offset), this::apply);
                offset += consumed;
            }
            readBytes.put(segment, offset);
        } catch (NoSuchFileException e) {
            return; // replaced by a newer one, which is read now or next time
        }
    }

    /** Reads at most {@link #PIECE_BYTES}, so that a large journal does not need as much heap. */
    private static byte[] readPiece(FileChannel file, long offset) throws IOException {
        ByteBuffer bytes = ByteBuffer.allocate((int) Math.min(PIECE_BYTES, file.size() - offset));
        while (bytes.hasRemaining() && file.read(bytes, offset + bytes.position()) >= 0) {
            // reads on
        }
        byte[] piece = new byte[bytes.position()];
        bytes.flip().get(piece);
        return piece;
    }

    private void apply(DataInputStream record) throws IOException {
        byte type = record.readByte();
        if (type == JournalRecords.REMEMBERED_KEY) {
            ends.add(record.readUTF(), JournalRecords.rememberedEnd(record));
            return;
        }
        int number = record.readInt();
        switch (type) {
            case JournalRecords.ACCEPTED -> accepted(number, JournalRecords.accepted(number, record));
            case JournalRecords.ENDED -> ended(number, record);
            case JournalRecords.ACKNOWLEDGED -> removePending(number);
            default -> {} // does not change whether the message is pending
        }
    }

    private void accepted(int number, UnfinishedMessage entry) {
        RpcRequest request = entry.request().withoutBody();
        pendingByNumber.put(number, request);
        pendingKeys.add(request.key());
    }

    private void ended(int number, DataInputStream record) throws IOException {
        RpcRequest request = removePending(number);
        RpcEnd.Kind kind = RpcEnd.Kind.values()[record.readByte()];
        record.readDouble(); // the advice when to come again
        if (request != null && request.acceptOnce() && kind != RpcEnd.Kind.HANDED_BACK) {
            ends.add(request.key(), new RememberedEnds.End(record.readLong(), kind));
        }
    }

    private RpcRequest removePending(int number) {
        RpcRequest request = pendingByNumber.remove(number);
        if (request != null) {
            pendingKeys.remove(request.key());
        }
        return request;
    }
}
