package juniperusher.lab;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;

/**
 * Checks the order of messages by key: messages that one relay accepted with the same key are sent one at a time, in
 * the order of their acceptance. The first attempt of a message may start once every earlier message of the key is
 * finished without an attempt in flight, and the quiet time since the last attempt without an answer has passed.
 * Further attempts of the same message are not restricted.
 *
 * <p>Times are seconds of one monotonic clock. Not thread-safe.
 */
final class KeyOrder {
    private final double quietSeconds;
    private final Map<SequenceId, Sequence> sequences = new HashMap<>();
    private final Map<Object, Entry> entries = new HashMap<>(); // by message id

    /** Equal keys at different relays are independent. */
    private record SequenceId(int relay, String key) {}

    /** The messages of one key at one relay. */
    private static final class Sequence {
        final SequenceId id;
        final Map<Object, Entry> unfinished = new LinkedHashMap<>(); // in the order of acceptance
        double quietUntil = Double.NEGATIVE_INFINITY;
        Object abandonedMessage; // the one whose attempt may still run during the quiet time

        Sequence(SequenceId id) {
            this.id = id;
        }
    }

    /** A message that is not finished, or that still has an attempt in flight. */
    private static final class Entry {
        final Sequence sequence;
        boolean started;
        boolean finished;
        int attemptsInFlight;

        Entry(Sequence sequence) {
            this.sequence = sequence;
        }
    }

    /** Creates a check with this quiet time of a key after an attempt that ended without an answer, in seconds. */
    KeyOrder(double quietSeconds) {
        this.quietSeconds = quietSeconds;
    }

    /** Records that a relay accepted a message with a key, after those it accepted before. */
    void messageAccepted(int relay, String key, Object message) {
        Sequence sequence = sequences.computeIfAbsent(new SequenceId(relay, key), Sequence::new);
        Entry entry = new Entry(sequence);
        sequence.unfinished.put(message, entry);
        entries.put(message, entry);
    }

    /** Records the start of an attempt. Returns the violation, if it breaks the order. */
    Optional<String> attemptStarted(Object message, double now) {
        Entry entry = entries.get(message);
        if (entry == null) {
            return Optional.empty();
        }
        entry.attemptsInFlight++;
        if (entry.started) {
            return Optional.empty();
        }
        entry.started = true;
        Sequence sequence = entry.sequence;
        Map.Entry<Object, Entry> first =
                sequence.unfinished.entrySet().iterator().next();
        if (first.getValue() != entry) {
            return Optional.of(String.format(
                    Locale.ROOT,
                    "of key %s is sent while message %s, taken before it, %s",
                    sequence.id.key(),
                    first.getKey(),
                    first.getValue().finished ? "has an attempt out" : "is not over"));
        }
        if (now < sequence.quietUntil) {
            return Optional.of(String.format(
                    Locale.ROOT,
                    "of key %s is sent %.3f s before the key has rested after an attempt of message %s",
                    sequence.id.key(),
                    sequence.quietUntil - now,
                    sequence.abandonedMessage));
        }
        return Optional.empty();
    }

    /** Records an attempt that was answered or never reached its destination. */
    void attemptEnded(Object message) {
        Entry entry = entries.get(message);
        if (entry != null) {
            entry.attemptsInFlight = Math.max(0, entry.attemptsInFlight - 1);
            removeIfFinished(message, entry);
        }
    }

    /** Records an attempt that ended without an answer and may still run. */
    void attemptAbandoned(Object message, double now) {
        Entry entry = entries.get(message);
        if (entry != null) {
            startQuietTime(entry.sequence, message, now);
            attemptEnded(message);
        }
    }

    /** Records the death of a relay: its attempts end without an answer, and its messages stay unfinished. */
    void relayRestarted(int relay, double now) {
        for (Object message : entries.keySet().toArray()) {
            Entry entry = entries.get(message);
            if (entry.sequence.id.relay() == relay && entry.attemptsInFlight > 0) {
                startQuietTime(entry.sequence, message, now);
                entry.attemptsInFlight = 0;
                removeIfFinished(message, entry);
            }
        }
    }

    /** Records that a message is finished. An attempt still in flight blocks the key until it ends. */
    void messageFinished(Object message) {
        Entry entry = entries.get(message);
        if (entry != null) {
            entry.finished = true;
            removeIfFinished(message, entry);
        }
    }

    /** Stops checking a message that its client withdrew. */
    void messageWithdrawn(Object message) {
        Entry entry = entries.get(message);
        if (entry != null) {
            entry.finished = true;
            entry.attemptsInFlight = 0;
            removeIfFinished(message, entry);
        }
    }

    private void startQuietTime(Sequence sequence, Object message, double now) {
        sequence.quietUntil = now + quietSeconds;
        sequence.abandonedMessage = message;
    }

    private void removeIfFinished(Object message, Entry entry) {
        if (entry.finished && entry.attemptsInFlight == 0) {
            entries.remove(message);
            entry.sequence.unfinished.remove(message);
        }
    }
}
