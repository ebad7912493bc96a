package juniperusher.core;

import java.io.ByteArrayInputStream;
import java.io.DataInputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import juniperusher.clock.SteadyClock;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * What the segments of a folder add up to. A torn or damaged record ends its segment; a snapshot that is not whole
 * counts for nothing, and one that is whole takes the place of what its writer wrote before.
 */
final class JournalReplay {
    private static final Logger LOG = LoggerFactory.getLogger(JournalReplay.class);

    private final Map<Integer, Journal.Owed> owed = new LinkedHashMap<>();
    private final Map<Integer, Integer> origins = new HashMap<>(); // segment that took each message on
    private final Map<String, Long> lately = new LinkedHashMap<>();
    private int lastNumber;
    private SteadyClock.Mark clock; // the last mark read, or null
    private Map<Integer, Journal.Owed> snapshot; // that is being read, or null
    private int firstReplaced;
    private int segment;

    /** Reads the segments in their order. */
    static JournalReplay of(List<Path> segments) throws IOException {
        JournalReplay replay = new JournalReplay();
        for (Path path : segments) {
            replay.segment = JournalSegments.number(path);
            replay.segment(Files.readAllBytes(path));
            replay.snapshot = null; // one that was cut off counts for nothing
        }
        return replay;
    }

    /** Messages that are owed an end, or its telling, in the order taken. */
    Map<Integer, Journal.Owed> owed() {
        return owed;
    }

    /** When messages that are taken only once ended, by their keys. */
    Map<String, Long> lately() {
        return lately;
    }

    /** The highest number of a message. */
    int lastNumber() {
        return lastNumber;
    }

    /** The newest mark of the clock, or null. */
    SteadyClock.Mark clock() {
        return clock;
    }

    private void segment(byte[] bytes) {
        ByteBuffer in = ByteBuffer.wrap(bytes);
        while (in.remaining() >= JournalRecords.HEADER) {
            int length = in.getInt();
            int expected = in.getInt();
            if (length <= 0 || length > JournalRecords.MOST || length > in.remaining()) {
                return; // torn by the end of the process
            }
            if (JournalRecords.checksum(bytes, in.position(), length) != expected) {
                return;
            }
            try {
                record(new DataInputStream(new ByteArrayInputStream(bytes, in.position(), length)));
            } catch (IOException | RuntimeException e) {
                LOG.warn("journal: a record that cannot be read ends the segment: {}", e.toString());
                return;
            }
            in.position(in.position() + length);
        }
    }

    private void record(DataInputStream in) throws IOException {
        byte type = in.readByte();
        if (type == JournalRecords.REMEMBERED) {
            lately.put(in.readUTF(), in.readLong());
            return;
        }
        int number = in.readInt();
        switch (type) {
            case JournalRecords.SNAPSHOT_BEGINS -> {
                firstReplaced = number;
                snapshot = new LinkedHashMap<>();
                clock = JournalRecords.clock(in);
            }
            case JournalRecords.SNAPSHOT_ENDS -> snapshotEnds();
            case JournalRecords.TAKEN -> taken(number, JournalRecords.taken(number, in));
            default -> step(type, number, in);
        }
    }

    private void snapshotEnds() {
        if (snapshot == null) {
            return;
        }
        owed.keySet().removeIf(number -> origins.get(number) >= firstReplaced);
        snapshot.forEach((number, entry) -> {
            owed.put(number, entry);
            origins.put(number, segment);
        });
        snapshot = null;
    }

    private Map<Integer, Journal.Owed> entries() {
        return snapshot == null ? owed : snapshot;
    }

    private void taken(int number, Journal.Owed entry) {
        entries().put(number, entry);
        if (snapshot == null) {
            origins.put(number, segment);
        }
        lastNumber = Math.max(lastNumber, number);
    }

    private void step(byte type, int number, DataInputStream in) throws IOException {
        Map<Integer, Journal.Owed> entries = entries();
        Journal.Owed entry = entries.get(number);
        if (entry == null) {
            return;
        }
        switch (type) {
            case JournalRecords.ATTEMPT -> entries.put(number, entry.sent(JournalRecords.attempt(in)));
            case JournalRecords.OUTCOME -> entries.put(number, entry.answered(in.readBoolean()));
            case JournalRecords.ENDED -> ended(entries, entry, in);
            case JournalRecords.ACKNOWLEDGED -> entries.remove(number);
            default -> {} // of a later version
        }
    }

    private void ended(Map<Integer, Journal.Owed> entries, Journal.Owed entry, DataInputStream in) throws IOException {
        RpcEnd end = new RpcEnd(
                entry.request().id(),
                entry.request().returnAddress(),
                RpcEnd.Kind.values()[in.readByte()],
                in.readDouble());
        Journal.Owed over = entry.over(end);
        entries.put(entry.number(), over);
        if (over.rememberedAsOnce()) {
            lately.put(over.request().key(), in.readLong());
        }
    }
}
