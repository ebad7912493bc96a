package juniperusher.lab;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;

/**
 * Sequencing by key: messages that one relay has taken with the same key are sent one at a time, in the order in which
 * it took them. A message may have its first attempt once every message before it is over and has no attempt out, and
 * once the key has rested since the last attempt that ended without an answer. Its own further attempts are free.
 *
 * <p>Times are seconds of one clock that never goes back. Not safe for threads.
 */
final class KeyOrder {
    private final double quiet;
    private final Map<SequenceId, Sequence> sequences = new HashMap<>();
    private final Map<Object, Entry> entries = new HashMap<>(); // by message

    /** Keys are counted at each relay apart. */
    private record SequenceId(int relay, String key) {}

    /** The messages of one key at one relay. */
    private static final class Sequence {
        final SequenceId id;
        final Map<Object, Entry> open = new LinkedHashMap<>(); // in the order taken
        double restsUntil = Double.NEGATIVE_INFINITY;
        Object restsAfter; // the message whose attempt may still run

        Sequence(SequenceId id) {
            this.id = id;
        }
    }

    /** A message that is not over, or that has an attempt out. */
    private static final class Entry {
        final Sequence sequence;
        boolean begun;
        boolean over;
        int out;

        Entry(Sequence sequence) {
            this.sequence = sequence;
        }
    }

    /** An order in which a key rests for so many seconds after an attempt that ended without an answer. */
    KeyOrder(double quiet) {
        this.quiet = quiet;
    }

    /** A relay has taken a message with a key, after all that it took before. */
    void taken(int relay, String key, Object message) {
        Sequence sequence = sequences.computeIfAbsent(new SequenceId(relay, key), Sequence::new);
        Entry entry = new Entry(sequence);
        sequence.open.put(message, entry);
        entries.put(message, entry);
    }

    /** An attempt begins; what is wrong with it, if anything. */
    Optional<String> begun(Object message, double now) {
        Entry entry = entries.get(message);
        if (entry == null) {
            return Optional.empty();
        }
        entry.out++;
        if (entry.begun) {
            return Optional.empty();
        }
        entry.begun = true;
        Sequence sequence = entry.sequence;
        Map.Entry<Object, Entry> first = sequence.open.entrySet().iterator().next();
        if (first.getValue() != entry) {
            return Optional.of(String.format(
                    Locale.ROOT,
                    "of key %s is sent while message %s, taken before it, %s",
                    sequence.id.key(),
                    first.getKey(),
                    first.getValue().over ? "has an attempt out" : "is not over"));
        }
        if (now < sequence.restsUntil) {
            return Optional.of(String.format(
                    Locale.ROOT,
                    "of key %s is sent %.3f s before the key has rested after an attempt of message %s",
                    sequence.id.key(),
                    sequence.restsUntil - now,
                    sequence.restsAfter));
        }
        return Optional.empty();
    }

    /** An attempt was answered, or never reached its destination. */
    void ended(Object message) {
        Entry entry = entries.get(message);
        if (entry != null) {
            entry.out = Math.max(0, entry.out - 1);
            forgetIfDone(message, entry);
        }
    }

    /** An attempt ended without an answer, and may still run. */
    void abandoned(Object message, double now) {
        Entry entry = entries.get(message);
        if (entry != null) {
            rest(entry.sequence, message, now);
            ended(message);
        }
    }

    /** The relay has died: its attempts ended without an answer; what it has taken and not ended is still open. */
    void restarted(int relay, double now) {
        for (Object message : entries.keySet().toArray()) {
            Entry entry = entries.get(message);
            if (entry.sequence.id.relay() == relay && entry.out > 0) {
                rest(entry.sequence, message, now);
                entry.out = 0;
                forgetIfDone(message, entry);
            }
        }
    }

    /** The message is over; an attempt that is still out holds its key for longer. */
    void over(Object message) {
        Entry entry = entries.get(message);
        if (entry != null) {
            entry.over = true;
            forgetIfDone(message, entry);
        }
    }

    /** Nothing that is done with the message counts any more. */
    void withdrawn(Object message) {
        Entry entry = entries.get(message);
        if (entry != null) {
            entry.over = true;
            entry.out = 0;
            forgetIfDone(message, entry);
        }
    }

    private void rest(Sequence sequence, Object message, double now) {
        sequence.restsUntil = now + quiet;
        sequence.restsAfter = message;
    }

    private void forgetIfDone(Object message, Entry entry) {
        if (entry.over && entry.out == 0) {
            entries.remove(message);
            entry.sequence.open.remove(message);
        }
    }
}
