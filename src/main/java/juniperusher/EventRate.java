package juniperusher;

/**
 * Measures events per second as an exponentially decayed count. Times are seconds of one monotonic clock. Not safe for
 * use by several threads.
 */
final class EventRate {
    static final double WINDOW_SECONDS = 10.0; // time constant of the decay

    double firstEventAt = Double.POSITIVE_INFINITY, decayedRate, updatedAt;

    void add(double now) {
        firstEventAt = Math.min(firstEventAt, now);
        decayedRate = decayedRate * Math.exp((updatedAt - now) / WINDOW_SECONDS) + 1 / WINDOW_SECONDS;
        updatedAt = now;
    }

    /**
     * The rate, corrected for the time before the first event. One second is added to the age of that event, to
     * bound the rate at the start.
     */
    double perSecond(double now) {
        double windowShareSeen = 1 - Math.exp((Math.min(firstEventAt, now) - now - 1) / WINDOW_SECONDS);
        return decayedRate * Math.exp((updatedAt - now) / WINDOW_SECONDS) / windowShareSeen;
    }
}
