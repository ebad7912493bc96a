package juniperusher.lab.scale;

import java.util.List;
import java.util.Locale;

/**
 * A slope as it was measured.
 *
 * @param expected what the experiment file asks of it
 */
public record SlopeResult(
        String name, String unit, String per, List<LinearFit.Point> points, LinearFit fit, Expected expected) {
    public SlopeResult {
        points = List.copyOf(points);
    }

    /**
     * What is expected of a fit.
     *
     * @param leastRSquared below which a cost that grows counts as no line
     * @param mostSlope     the bound of a cost that is not to grow, or null for one that grows
     */
    record Expected(double leastRSquared, Double mostSlope) {
        boolean heldBy(LinearFit fit) {
            return mostSlope != null ? fit.slope() <= mostSlope : fit.slope() > 0 && fit.rSquared() >= leastRSquared;
        }

        @Override
        public String toString() {
            return mostSlope != null
                    ? "a slope of at most " + mostSlope
                    : "a positive slope and r2 of at least " + leastRSquared;
        }
    }

    /** Whether the cost grows along a line, or does not grow, as is expected. */
    public boolean held() {
        return expected.heldBy(fit);
    }

    /** One line of the table. */
    String line() {
        return String.format(
                Locale.ROOT,
                "%-32s%14.4g  +- %9.2g  %-4s r2 %.4f  at 0: %.4g  per %s",
                name,
                fit.slope(),
                fit.error(),
                unit,
                fit.rSquared(),
                fit.intercept(),
                per);
    }
}
