package juniperusher.core;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.BiConsumer;

/**
 * The ends of messages that must not run a second time if their id comes again, by key. An end is remembered for two
 * minutes, or until there are too many: then the oldest are forgotten. Not thread-safe.
 */
final class RememberedEnds {
    private static final long REMEMBERED_MILLIS = 120_000;
    private static final int MAX_ENDS = 16_384;

    private final long maxBytes;
    private final Map<String, End> ends = new LinkedHashMap<>(); // the oldest first
    private long bytes;

    /**
     * An end.
     *
     * @param atMillis when it came, in milliseconds of {@link juniperusher.clock.SteadyClock}
     * @param kind how the message ended; null if an earlier version wrote it without
     */
    record End(long atMillis, RpcEnd.Kind kind) {}

    /** Remembers ends that take at most {@code maxBytes} in a snapshot of the journal. */
    RememberedEnds(long maxBytes) {
        this.maxBytes = maxBytes;
    }

    /** Remembers the end of the message with this key. */
    void add(String key, End end) {
        remove(key);
        ends.put(key, end);
        bytes += bytes(key);
        while (bytes > maxBytes || ends.size() > MAX_ENDS) {
            remove(ends.keySet().iterator().next());
        }
    }

    private void remove(String key) {
        if (ends.remove(key) != null) {
            bytes -= bytes(key);
        }
    }

    /** The end of the message with this key if it came within the last two minutes, or null. */
    End recent(String key, long nowMillis) {
        End end = ends.get(key);
        return end == null || isOver(end, nowMillis) ? null : end;
    }

    /**
     * Forgets the ends that are older than two minutes, in the order in which they were added: one that was added late,
     * as at a take-over, may stay until those before it are old.
     */
    void removeOld(long nowMillis) {
        Iterator<Map.Entry<String, End>> entries = ends.entrySet().iterator();
        while (entries.hasNext()) {
            Map.Entry<String, End> entry = entries.next();
            if (!isOver(entry.getValue(), nowMillis)) {
                return;
            }
            entries.remove();
            bytes -= bytes(entry.getKey());
        }
    }

    private static boolean isOver(End end, long nowMillis) {
        return nowMillis - end.atMillis() >= REMEMBERED_MILLIS;
    }

    /** Passes each end with its key to the consumer, the oldest first. */
    void forEach(BiConsumer<String, End> consumer) {
        ends.forEach(consumer);
    }

    /** Upper bound of the bytes that the ends take in a snapshot. */
    long bytes() {
        return bytes;
    }

    private static long bytes(String key) {
        return JournalRecords.HEADER_BYTES + 17 + 3L * key.length();
    }
}
