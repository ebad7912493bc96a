package juniperusher;

/**
 * A token bucket with one token per call. An infinite rate, the initial value, lets every call pass. Rates are calls
 * per second, times are seconds of one monotonic clock. Not safe for use by several threads.
 */
class TokenBucket {
    private static final double DEFAULT_BURST_SECONDS = 0.3; // the bucket holds the tokens of this time

    double burstSeconds = DEFAULT_BURST_SECONDS, rate = Double.POSITIVE_INFINITY;
    double tokens, refilledAt;

    /** Sets the rate and empties the bucket. */
    void start(double now, double newRate) {
        rate = newRate;
        tokens = 0;
        refilledAt = now;
    }

    /** Adds the tokens since the last refill. The bucket has room for one token at least. */
    void refill(double now) {
        if (rate < Double.POSITIVE_INFINITY) {
            tokens = Math.min(Math.max(1, rate * burstSeconds), tokens + rate * (now - refilledAt));
        }
        refilledAt = now;
    }

    /** The earliest time at which a token is available. */
    double readyAt(double now) {
        refill(now);
        return rate == Double.POSITIVE_INFINITY || tokens >= 1 - 1e-9 ? now : now + (1 - tokens) / rate;
    }

    /** Takes a token even if none is available; the balance may become negative. */
    void take(double now) {
        refill(now);
        tokens -= rate == Double.POSITIVE_INFINITY ? 0 : 1;
    }

    /** Takes a token if one is available; returns whether the call may be made. */
    boolean tryTake(double now) {
        boolean ready = readyAt(now) <= now;
        tokens -= ready && rate < Double.POSITIVE_INFINITY ? 1 : 0;
        return ready;
    }
}
