package juniperusher;

/**
 * Events a second, as an exponentially decayed count. Times are seconds of one monotonic clock.
 */
final class EventRate {
    static final double SPAN = 10.0; // s over which success rates are taken

    double from = Double.POSITIVE_INFINITY, value, at;

    void add(double now) {
        from = Math.min(from, now);
        value = value * Math.exp((at - now) / SPAN) + 1 / SPAN;
        at = now;
    }

    double get(double now) {
        double seen = 1 - Math.exp((Math.min(from, now) - now - 1) / SPAN);
        return value * Math.exp((at - now) / SPAN) / seen;
    }
}
