package juniperusher.core;

import java.io.DataInputStream;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import juniperusher.clock.SteadyClock;

/**
 * Reads the segments of a folder into the state that they describe. A torn or damaged record ends the reading of its
 * segment. An incomplete snapshot is ignored; a complete one replaces what its writer wrote before.
 */
final class JournalReplay {
    private final Map<Integer, UnfinishedMessage> unfinished = new LinkedHashMap<>();
    // number of the segment in which each message was accepted
    private final Map<Integer, Integer> acceptingSegments = new HashMap<>();
    private final Map<String, RememberedEnds.End> rememberedEnds = new LinkedHashMap<>();
    private final Set<Integer> usedNumberRanges = new HashSet<>();
    private int lastNumberRange = MessageNumbers.FIRST_RANGE;
    private SteadyClock.Mark clockMark; // the last one read, or null
    private Map<Integer, UnfinishedMessage>
            snapshotEntries; // messages of the snapshot being read, or null outside of one
    private int firstReplacedSegment;
    private int segmentNumber;
    private boolean segmentIsUsed; // the segment being read has contributed to the state
    private final List<Path> liveSegments = new ArrayList<>(); // read so far and not obsolete
    private final List<Path> obsoleteSegments = new ArrayList<>();

    /** Reads the segments in the given order, the oldest first. */
    static JournalReplay of(List<Path> segments) throws IOException {
        JournalReplay replay = new JournalReplay();
        for (Path path : segments) {
            replay.readSegment(path);
        }
        replay.usedNumberRanges.add(replay.lastNumberRange);
        replay.unfinished.replaceAll((number, entry) -> number < 0 ? endOfOverflowed(entry) : entry);
        return replay;
    }

    private void readSegment(Path path) throws IOException {
        segmentNumber = JournalSegments.number(path);
        segmentIsUsed = false;
        SegmentReader.readRecords(Files.readAllBytes(path), this::replayRecord);
        snapshotEntries = null; // a snapshot that the segment cuts off is ignored
        (segmentIsUsed ? liveSegments : obsoleteSegments).add(path);
    }

    /**
     * The segments without which a reader finds the same unfinished messages, the oldest first: those whose snapshot is
     * incomplete, as a kill leaves it, and those that a later complete snapshot replaces.
     */
    List<Path> obsoleteSegments() {
        return obsoleteSegments.stream()
                .sorted(Comparator.comparing(JournalSegments::number, SegmentNumbers::compare))
                .toList();
    }

    /** Unfinished messages in the order in which they were accepted. */
    Map<Integer, UnfinishedMessage> unfinished() {
        return unfinished;
    }

    /** Ends of messages that are accepted only once, by key. */
    Map<String, RememberedEnds.End> rememberedEnds() {
        return rememberedEnds;
    }

    /** The range of message numbers of the process that wrote the newest snapshot. */
    int lastNumberRange() {
        return lastNumberRange;
    }

    /** The ranges of all message numbers that were read, and of the processes that wrote the segments. */
    Set<Integer> usedNumberRanges() {
        return usedNumberRanges;
    }

    /** The newest clock mark, or null. */
    SteadyClock.Mark clockMark() {
        return clockMark;
    }

    private void replayRecord(DataInputStream in) throws IOException {
        byte type = in.readByte();
        if (type == JournalRecords.REMEMBERED_KEY) {
            rememberedEnds.put(in.readUTF(), JournalRecords.rememberedEnd(in));
            return;
        }
        int number = in.readInt();
        switch (type) {
            case JournalRecords.SNAPSHOT_BEGINS -> {
                firstReplacedSegment = number;
                snapshotEntries = new LinkedHashMap<>();
                clockMark = JournalRecords.clockMark(in);
                lastNumberRange = JournalRecords.numberRange(in);
                usedNumberRanges.add(lastNumberRange);
            }
            case JournalRecords.SNAPSHOT_ENDS -> applySnapshot();
            case JournalRecords.ACCEPTED -> addAccepted(number, JournalRecords.accepted(number, in));
            default -> replayStep(type, number, in);
        }
    }

    private void applySnapshot() {
        if (snapshotEntries == null) {
            return;
        }
        unfinished.keySet().removeIf(number -> isReplaced(acceptingSegments.get(number)));
        snapshotEntries.forEach((number, entry) -> {
            unfinished.put(number, entry);
            acceptingSegments.put(number, segmentNumber);
        });
        snapshotEntries = null;
        segmentIsUsed = true;
        List<Path> replaced = liveSegments.stream()
                .filter(path -> isReplaced(JournalSegments.number(path)))
                .toList();
        liveSegments.removeAll(replaced);
        obsoleteSegments.addAll(replaced);
    }

    private boolean isReplaced(int segment) {
        return firstReplacedSegment == SegmentNumbers.NONE
                || SegmentNumbers.compare(segment, firstReplacedSegment) >= 0;
    }

    /**
     * Earlier versions let message numbers overflow. A message with a negative number was either refused although it
     * was written, or taken over from another process. If it was never sent, returning it is right for both.
     */
    private static UnfinishedMessage endOfOverflowed(UnfinishedMessage entry) {
        if (entry.end() != null || entry.attempts() > 0) {
            return entry;
        }
        RpcRequest request = entry.request();
        return entry.withEnd(new RpcEnd(request.id(), request.returnAddress(), RpcEnd.Kind.HANDED_BACK, 0));
    }

    private Map<Integer, UnfinishedMessage> currentEntries() {
        return snapshotEntries == null ? unfinished : snapshotEntries;
    }

    private void addAccepted(int number, UnfinishedMessage entry) {
        currentEntries().put(number, entry);
        if (snapshotEntries == null) {
            acceptingSegments.put(number, segmentNumber);
            segmentIsUsed = true;
        }
        MessageNumbers.addRangesOf(number, usedNumberRanges);
    }

    private void replayStep(byte type, int number, DataInputStream in) throws IOException {
        Map<Integer, UnfinishedMessage> entries = currentEntries();
        UnfinishedMessage entry = entries.get(number);
        if (entry == null) {
            return;
        }
        segmentIsUsed |= snapshotEntries == null;
        switch (type) {
            case JournalRecords.ATTEMPT -> entries.put(number, entry.withAttempt(JournalRecords.attempt(in)));
            case JournalRecords.OUTCOME -> entries.put(number, entry.withOutcome(in.readBoolean()));
            case JournalRecords.ENDED -> replayEnd(entries, entry, in);
            case JournalRecords.ACKNOWLEDGED -> entries.remove(number);
            default -> {} // a record type of a later version
        }
    }

    private void replayEnd(Map<Integer, UnfinishedMessage> entries, UnfinishedMessage entry, DataInputStream in)
            throws IOException {
        RpcEnd end = new RpcEnd(
                entry.request().id(),
                entry.request().returnAddress(),
                RpcEnd.Kind.values()[in.readByte()],
                in.readDouble());
        UnfinishedMessage updated = entry.withEnd(end);
        entries.put(entry.number(), updated);
        if (updated.keyIsRemembered()) {
            rememberedEnds.put(updated.request().key(), new RememberedEnds.End(in.readLong(), end.kind()));
        }
    }
}
