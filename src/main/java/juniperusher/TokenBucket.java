package juniperusher;

/**
 * A token bucket. Without a rate it lets everything pass. Rates are calls a second, times seconds of one monotonic
 * clock. Not safe for use by several threads.
 */
class TokenBucket {
    private static final double BURST = 0.3; // s of a rate that may go at once

    double burst = BURST, rate = Double.POSITIVE_INFINITY;
    double tokens, at;

    void start(double now, double newRate) {
        rate = newRate;
        tokens = 0;
        at = now;
    }

    void refill(double now) {
        if (rate < Double.POSITIVE_INFINITY) {
            tokens = Math.min(Math.max(1, rate * burst), tokens + rate * (now - at));
        }
        at = now;
    }

    double readyAt(double now) {
        refill(now);
        return rate == Double.POSITIVE_INFINITY || tokens >= 1 - 1e-9 ? now : now + (1 - tokens) / rate;
    }

    void take(double now) {
        refill(now);
        tokens -= rate == Double.POSITIVE_INFINITY ? 0 : 1;
    }

    boolean tryTake(double now) {
        boolean ready = readyAt(now) <= now;
        tokens -= ready && rate < Double.POSITIVE_INFINITY ? 1 : 0;
        return ready;
    }
}
