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
    private static final int FIELDS = 4;
    private static final int FIRST_SIZE = 1024;

    private long[] entries = new long[FIRST_SIZE * FIELDS];
    private int size;

    /** Times in us. */
    record Times(Histogram inForce, Histogram catchUp) {}

    static Histogram histogram() {
        return new Histogram(HIGHEST, DIGITS);
    }

    /** A relay that could be reached since then got from one epoch to a later one. */
    void add(long fromEpoch, long toEpoch, long at, long reachableSince) {
        if (size + FIELDS > entries.length) {
            entries = Arrays.copyOf(entries, 2 * entries.length);
        }
        entries[size] = fromEpoch;
        entries[size + 1] = toEpoch;
        entries[size + 2] = at;
        entries[size + 3] = reachableSince;
        size += FIELDS;
    }

    /**
     * The times of all epochs whose publication is known.
     *
     * @param published when, by epoch; 0 where that is not known
     */
    Times times(long[] published) {
        Times times = new Times(histogram(), histogram());
        for (int i = 0; i < size; i += FIELDS) {
            long at = entries[i + 2];
            long reachableSince = entries[i + 3];
            boolean caughtUp = false;
            long last = Math.min(entries[i + 1], published.length - 1);
            for (long epoch = entries[i] + 1; epoch <= last; epoch++) {
                long publishedAt = published[(int) epoch];
                if (publishedAt != 0 && publishedAt >= reachableSince) {
                    times.inForce().recordValue(clamp(at - publishedAt));
                } else if (publishedAt != 0 && !caughtUp) {
                    caughtUp = true;
                    times.catchUp().recordValue(clamp(at - reachableSince));
                }
            }
        }
        return times;
    }

    private static long clamp(long micros) {
        return Math.max(0, Math.min(HIGHEST, micros));
    }
}
