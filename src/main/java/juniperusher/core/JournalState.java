package juniperusher.core;

import java.io.ByteArrayOutputStream;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import juniperusher.clock.SteadyClock;

/**
 * What the segments of a journal describe, in memory: the unfinished messages, the remembered ends, and the range from
 * which message numbers are allocated. Knows its size as a snapshot. Free of I/O. Not thread-safe.
 */
final class JournalState {
    private static final int MAX_SNAPSHOT_BUFFER_BYTES = 16 << 20; // allocated at once; a longer one grows

    private final Map<Integer, UnfinishedMessage> unfinished = new LinkedHashMap<>(); // in the order of acceptance
    private final RememberedEnds rememberedEnds;
    private MessageNumbers numbers;
    private long unfinishedBytes; // of the unfinished messages in a snapshot

    /** Creates a state without messages whose remembered ends take at most {@code maxRememberedEndBytes}. */
    JournalState(long maxRememberedEndBytes) {
        rememberedEnds = new RememberedEnds(maxRememberedEndBytes);
    }

    /** Sets the source of message numbers; has to be called before the first message is added. */
    void setNumbers(MessageNumbers numbers) {
        this.numbers = numbers;
    }

    /** The range from which message numbers are allocated. */
    int numberRange() {
        return numbers.range();
    }

    /** Allocates a number that no unfinished message has. */
    int nextNumber() {
        return numbers.next(unfinished::containsKey);
    }

    /**
     * Adds the messages and ends that an earlier process left, in the state that a restart assumes and under new
     * numbers, which become valid with the next snapshot.
     *
     * @return the messages, in the order in which they were accepted
     */
    List<UnfinishedMessage> adopt(JournalReplay replay) {
        replay.rememberedEnds().forEach(rememberedEnds::add);
        List<UnfinishedMessage> adopted = replay.unfinished().values().stream()
                .map(entry -> entry.afterRestart().withNumber(nextNumber()))
                .toList();
        adopted.forEach(this::put);
        return adopted;
    }

    /** The unfinished messages in the order in which they were accepted. */
    Collection<UnfinishedMessage> unfinished() {
        return unfinished.values();
    }

    /** The unfinished message with this number, or null. */
    UnfinishedMessage get(int number) {
        return unfinished.get(number);
    }

    /** Adds the message, or replaces the one with its number. */
    void put(UnfinishedMessage entry) {
        UnfinishedMessage before = unfinished.put(entry.number(), entry);
        unfinishedBytes += entry.sizeBytes() - (before == null ? 0 : before.sizeBytes());
    }

    /** Removes the message with this number, and returns whether there was one. */
    boolean remove(int number) {
        UnfinishedMessage before = unfinished.remove(number);
        unfinishedBytes -= before == null ? 0 : before.sizeBytes();
        return before != null;
    }

    /** Remembers the end of the message with this key. */
    void remember(String key, RememberedEnds.End end) {
        rememberedEnds.add(key, end);
    }

    /** The end of a message with this key within the last two minutes, or null. */
    RememberedEnds.End recentEnd(String key, long nowMillis) {
        return rememberedEnds.recent(key, nowMillis);
    }

    /** Forgets the ends that are older than two minutes. */
    void forgetOldEnds(long nowMillis) {
        rememberedEnds.removeOld(nowMillis);
    }

    /** Upper bound of the length of a snapshot, in bytes. */
    long snapshotBytes() {
        return unfinishedBytes + rememberedEnds.bytes();
    }

    /**
     * Encodes the state as a snapshot, without ends that are older than two minutes.
     *
     * @param firstSegment the snapshot replaces all of its writer's segments from this number on
     * @param nowMillis the time in milliseconds of {@link SteadyClock}
     */
    byte[] snapshot(int firstSegment, SteadyClock.Mark clockMark, long nowMillis) {
        forgetOldEnds(nowMillis);
        ByteArrayOutputStream bytes =
                new ByteArrayOutputStream((int) Math.min(snapshotBytes(), MAX_SNAPSHOT_BUFFER_BYTES));
        bytes.writeBytes(JournalRecords.snapshotBegins(firstSegment, clockMark, numberRange()));
        rememberedEnds.forEach((key, end) -> bytes.writeBytes(JournalRecords.rememberedEnd(key, end)));
        for (UnfinishedMessage entry : unfinished.values()) {
            bytes.writeBytes(JournalRecords.accepted(entry));
            if (entry.end() != null) {
                bytes.writeBytes(JournalRecords.ended(entry.number(), entry.end(), nowMillis));
            }
        }
        bytes.writeBytes(JournalRecords.snapshotEnds(firstSegment));
        return bytes.toByteArray();
    }
}
