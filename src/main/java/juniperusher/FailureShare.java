package juniperusher;

/**
 * Share of recent outcomes that were failures, as an exponentially weighted average that also decays while no outcomes
 * come. Times are seconds of one monotonic clock. Not safe for use by several threads.
 */
final class FailureShare {
    private static final double DECAY_SECONDS = 4.0; // time constant while no outcome comes
    private static final double NEWEST_WEIGHT = 0.2; // of the newest outcome, so that about five outcomes count

    double share, updatedAt;

    /** The share at the given time, from 0 to 1. */
    double share(double now) {
        return share * Math.exp((updatedAt - now) / DECAY_SECONDS);
    }

    /** Adds an outcome: 1 for a failure, 0 for a success, or a share between them. */
    void record(double now, double failed) {
        share = share(now) * (1 - NEWEST_WEIGHT) + failed * NEWEST_WEIGHT;
        updatedAt = now;
    }
}
