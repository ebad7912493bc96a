package juniperusher.lab.scale;

import java.util.List;
import org.apache.commons.math3.stat.regression.SimpleRegression;

/**
 * A straight line through measured points by least squares.
 *
 * @param intercept cost at size 0, in the slope's unit
 * @param slope     cost of each further one
 * @param error     half of the 95% confidence interval of {@code slope}
 * @param rSquared  share of the variance that the line explains
 */
public record LinearFit(double intercept, double slope, double error, double rSquared) {
    private static final double SIGNIFICANCE = 0.05;
    private static final int LEAST_POINTS = 3;

    /**
     * The line through these points.
     *
     * @throws IllegalArgumentException if there are fewer than three, or all have the same size
     */
    public static LinearFit of(List<Point> points) {
        if (points.size() < LEAST_POINTS
                || points.stream().mapToInt(Point::size).distinct().count() < 2) {
            throw new IllegalArgumentException("expected three points of two sizes at least, not " + points);
        }
        SimpleRegression regression = new SimpleRegression();
        points.forEach(point -> regression.addData(point.size(), point.cost()));
        return new LinearFit(
                regression.getIntercept(),
                regression.getSlope(),
                regression.getSlopeConfidenceInterval(SIGNIFICANCE),
                regression.getRSquare());
    }

    /** One measurement. */
    public record Point(int size, double cost) {}
}
