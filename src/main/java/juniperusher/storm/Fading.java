package juniperusher.storm;

/** A count that fades: events of the last {@code span} seconds weigh most. */
final class Fading {
    private final double span;
    private double value;
    private double at;

    Fading(double span) {
        this.span = span;
    }

    void add(double now, double amount) {
        value = get(now) + amount;
        at = now;
    }

    double get(double now) {
        return value * Math.exp((at - now) / span);
    }
}
