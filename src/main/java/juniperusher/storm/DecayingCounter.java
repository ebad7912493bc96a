package juniperusher.storm;

/** Exponentially decaying counter with a time constant of {@code span} seconds. Not thread-safe. */
final class DecayingCounter {
    private final double timeConstantSeconds;
    private double value;
    private double updatedAt;

    DecayingCounter(double timeConstantSeconds) {
        this.timeConstantSeconds = timeConstantSeconds;
    }

    void add(double now, double amount) {
        value = get(now) + amount;
        updatedAt = now;
    }

    double get(double now) {
        return value * Math.exp((updatedAt - now) / timeConstantSeconds);
    }
}
