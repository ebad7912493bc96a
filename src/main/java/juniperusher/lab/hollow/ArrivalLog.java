package juniperusher.lab.hollow;

import java.util.Arrays;
import org.HdrHistogram.Histogram;

/**
 * When epochs came in force at the relays of one process. An epoch that was published while its relay could be reached
 * counts from its publication; the first one after a relay's return counts as catching up, from the return. Times are
 * microseconds of the machine's clock, which all processes share.
 */
final class ArrivalLog {
    private static final long HIGHEST = 3_600_000_000L; // us
    private static final int DIGITS = 3;
    private static final int FIELDS = 5;
    private static final int FIRST_SIZE = 1024;

    private long[] entries = new long[FIRST_SIZE * FIELDS];
    private int size;

    /**
     * The entry that took longest.
     *
     * @param relay its number in the process, -1 for none
     * @param at when the epoch was in force
     */
    record Slowest(long micros, long relay, long epoch, long at) {
        static final Slowest NONE = new Slowest(0, -1, 0, 0);

        Slowest or(long otherMicros, long otherRelay, long otherEpoch, long otherAt) {
            return relay >= 0 && micros >= otherMicros
                    ? this
                    : new Slowest(otherMicros, otherRelay, otherEpoch, otherAt);
        }
    }

    /** Times in us. */
    static final class Times {
        private final Histogram inForce = histogram();
        private final Histogram catchUp = histogram();
        private Slowest slowestInForce = Slowest.NONE;
        private Slowest slowestCatchUp = Slowest.NONE;

        Histogram inForce() {
            return inForce;
        }

        Histogram catchUp() {
            return catchUp;
        }

        Slowest slowestInForce() {
            return slowestInForce;
        }

        Slowest slowestCatchUp() {
            return slowestCatchUp;
        }
    }

    static Histogram histogram() {
        return new Histogram(HIGHEST, DIGITS);
    }

    /** A relay that could be reached since then got from one epoch to a later one. */
    void add(int relay, long fromEpoch, long toEpoch, long at, long reachableSince) {
        if (size + FIELDS > entries.length) {
            entries = Arrays.copyOf(entries, 2 * entries.length);
        }
        entries[size] = fromEpoch;
        entries[size + 1] = toEpoch;
        entries[size + 2] = at;
        entries[size + 3] = reachableSince;
        entries[size + 4] = relay;
        size += FIELDS;
    }

    /**
     * The times of all epochs whose publication is known.
     *
     * @param published when, by epoch; 0 where that is not known
     */
    Times times(long[] published) {
        Times times = new Times();
        for (int i = 0; i < size; i += FIELDS) {
            add(times, i, published);
        }
        return times;
    }

    private void add(Times times, int entry, long[] published) {
        long at = entries[entry + 2];
        long reachableSince = entries[entry + 3];
        long relay = entries[entry + 4];
        boolean caughtUp = false;
        long last = Math.min(entries[entry + 1], published.length - 1);
        for (long epoch = entries[entry] + 1; epoch <= last; epoch++) {
            long publishedAt = published[(int) epoch];
            if (publishedAt != 0 && publishedAt >= reachableSince) {
                long micros = clamp(at - publishedAt);
                times.inForce.recordValue(micros);
                times.slowestInForce = times.slowestInForce.or(micros, relay, epoch, at);
            } else if (publishedAt != 0 && !caughtUp) {
                caughtUp = true;
                long micros = clamp(at - reachableSince);
                times.catchUp.recordValue(micros);
                times.slowestCatchUp = times.slowestCatchUp.or(micros, relay, epoch, at);
            }
        }
    }

    private static long clamp(long micros) {
        return Math.max(0, Math.min(HIGHEST, micros));
    }
}
