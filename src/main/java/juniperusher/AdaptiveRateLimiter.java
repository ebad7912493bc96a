package juniperusher;

/**
 * The pace of calls to one destination: without a bound until a call is refused, then cut at each refusal
 * (multiplicative decrease) and climbing with each success (additive increase).
 */
final class AdaptiveRateLimiter extends TokenBucket {
    private static final double PACE_CUT = 0.8; // factor on the pace at a refusal as full
    private static final double PACE_CLIMB = 0.05; // calls/s gained by each success, and
    private static final double SPELL = 4.0; // s without refusals make a spell; then the gain is
    private static final double SPELL_CLIMB = 4.0; // times as much, to exceed the pace again

    double cutAt = Double.NEGATIVE_INFINITY;

    void cut(double now, double successes, double least) {
        refill(now);
        rate = Math.max(least, PACE_CUT * Math.min(rate, Math.max(successes, least)));
        cutAt = now;
    }

    void raise(double now, double share) {
        if (rate < share) {
            refill(now);
            rate = share;
        }
    }

    void succeeded(double now) {
        if (rate < Double.POSITIVE_INFINITY) {
            refill(now);
            rate += PACE_CLIMB * (now - cutAt > SPELL ? SPELL_CLIMB : 1);
        }
    }
}
