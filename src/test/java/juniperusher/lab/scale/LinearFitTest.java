package juniperusher.lab.scale;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import juniperusher.lab.scale.LinearFit.Point;
import org.junit.jupiter.api.Test;

class LinearFitTest {
    private static final double EXACT = 1e-9;

    @Test
    void aLineIsFoundExactly() {
        LinearFit fit = LinearFit.of(List.of(new Point(1, 7), new Point(2, 9), new Point(10, 25)));
        assertEquals(2, fit.slope(), EXACT);
        assertEquals(5, fit.intercept(), EXACT);
        assertEquals(0, fit.error(), 1e-6);
        assertEquals(1, fit.rSquared(), EXACT);
    }

    @Test
    void theIntervalIsThatOfStudentsDistribution() {
        // Residuals 0.1, -0.2, 0.1 of y = x: s = sqrt(0.06), Sxx = 2, t(0.975, 1) = 12.7062.
        LinearFit fit = LinearFit.of(List.of(new Point(1, 1.1), new Point(2, 1.8), new Point(3, 3.1)));
        assertEquals(1, fit.slope(), EXACT);
        assertEquals(12.7062 * Math.sqrt(0.06 / 2), fit.error(), 1e-3);
        assertEquals(2 / 2.06, fit.rSquared(), EXACT);
    }

    @Test
    void pointsThatMakeNoLineAreRefused() {
        assertThrows(IllegalArgumentException.class, () -> LinearFit.of(List.of(new Point(1, 1), new Point(2, 2))));
        assertThrows(
                IllegalArgumentException.class,
                () -> LinearFit.of(List.of(new Point(1, 1), new Point(1, 2), new Point(1, 3))));
    }

    private static Wall.Plan plan(double factor, double budget, double after) {
        return new Wall.Plan("r", List.of("a", "b"), factor, "u", budget, 0, "", 1000, after, "m", "missing");
    }

    @Test
    void aCurveFollowsTheMediansAndBeyondThemTheSlope() {
        List<Point> points =
                List.of(new Point(10, 20), new Point(10, 22), new Point(10, 90), new Point(20, 42), new Point(40, 142));
        CostCurve curve = new CostCurve(points, new LinearFit(0, 7, 0, 1));
        assertEquals(22, curve.value(10), EXACT);
        assertEquals(32, curve.value(15), EXACT);
        assertEquals(92, curve.value(30), EXACT);
        assertEquals(142 + 70, curve.value(50), EXACT);
        assertEquals(2, curve.value(0), EXACT);
    }

    @Test
    void aWallStandsWhereTheSumOfItsCostsSpendsTheBudget() {
        Wall wall = Wall.of(plan(0.5, 33, 50), List.of(size -> 10 + 2 * size, size -> size - 4));
        assertEquals(20, wall.size(), 1e-6); // 0.5 * (6 + 3 * 20) = 33
        assertEquals(0.02, wall.share(), 1e-6);
        assertEquals(0.5 * 3006, wall.needed(), EXACT);
        assertEquals(0.5 * 156, wall.neededAfter(), EXACT);
    }

    @Test
    void aBudgetSpentBeforeTheFirstOneIsAWallAtNone() {
        Wall wall = Wall.of(plan(1, 5, 0), List.of(size -> 10 + size));
        assertEquals(0, wall.size(), EXACT);
        assertTrue(Double.isNaN(wall.neededAfter()));
    }

    @Test
    void theWorstWallComesFirst() {
        Wall far = Wall.of(plan(1, 900, 0), List.of(size -> size));
        Wall near = Wall.of(plan(1, 9, 0), List.of(size -> size));
        assertEquals(List.of(near, far), new ScaleResults("t", List.of(), List.of(far, near)).walls());
    }
}
