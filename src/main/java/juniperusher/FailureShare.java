package juniperusher;

/**
 * Share of late outcomes that were failures, exponentially weighted; it fades when there are no outcomes. Times are
 * seconds of one monotonic clock.
 */
final class FailureShare {
    private static final double FAILURE_FADES = 4.0; // s, failures are forgotten when no outcome comes
    private static final double FAILURE_WEIGHT = 0.2; // of the newest outcome: about five decide

    double share, at;

    double share(double now) {
        return share * Math.exp((at - now) / FAILURE_FADES);
    }

    void note(double now, double failed) {
        share = share(now) * (1 - FAILURE_WEIGHT) + failed * FAILURE_WEIGHT;
        at = now;
    }
}
