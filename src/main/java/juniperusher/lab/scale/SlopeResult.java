package juniperusher.lab.scale;

import java.util.List;
import java.util.Locale;

/**
 * A slope as it was measured.
 *
 * @param leastRSquared below which the fit counts as bad
 */
public record SlopeResult(
        String name, String unit, String per, List<LinearFit.Point> points, LinearFit fit, double leastRSquared) {
    public SlopeResult {
        points = List.copyOf(points);
    }

    /** Whether the cost grows with the size, and along a line. */
    public boolean held() {
        return fit.slope() > 0 && fit.rSquared() >= leastRSquared;
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
