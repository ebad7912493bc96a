package juniperusher;

/**
 * Limits the rate of calls to one destination by additive increase and multiplicative decrease. The rate is unlimited
 * until a call is refused; from then on each refusal cuts it and each success raises it. Times are seconds of one
 * monotonic clock, rates are calls per second. Not safe for use by several threads.
 */
final class AdaptiveRateLimiter extends TokenBucket {
    private static final double CUT_FACTOR = 0.8; // at a refusal
    private static final double GAIN_PER_SUCCESS = 0.05; // calls per second
    // After this time without a refusal the gain is larger, so that the rate exceeds its former value soon.
    private static final double REFUSAL_FREE_SECONDS = 4.0;
    private static final double REFUSAL_FREE_GAIN_FACTOR = 4.0;

    double cutAt = Double.NEGATIVE_INFINITY;

    /** Cuts the rate, starting from the measured success rate if that is lower, to no less than {@code minRate}. */
    void cut(double now, double successRate, double minRate) {
        refill(now);
        rate = Math.max(minRate, CUT_FACTOR * Math.min(rate, Math.max(successRate, minRate)));
        cutAt = now;
    }

    /** Raises a lower rate to the given one; a higher rate stays. */
    void raiseTo(double now, double minRate) {
        if (rate < minRate) {
            refill(now);
            rate = minRate;
        }
    }

    /** Raises the rate after a success, unless it is unlimited. */
    void recordSuccess(double now) {
        if (rate < Double.POSITIVE_INFINITY) {
            refill(now);
            rate += GAIN_PER_SUCCESS * (now - cutAt > REFUSAL_FREE_SECONDS ? REFUSAL_FREE_GAIN_FACTOR : 1);
        }
    }
}
