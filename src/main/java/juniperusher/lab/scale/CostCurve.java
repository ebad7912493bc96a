package juniperusher.lab.scale;

import java.util.List;
import java.util.TreeMap;
import java.util.stream.Collectors;
import org.apache.commons.math3.analysis.UnivariateFunction;
import org.apache.commons.math3.analysis.interpolation.LinearInterpolator;
import org.apache.commons.math3.stat.descriptive.rank.Median;

/**
 * A cost at any size: between measured sizes by the medians there, below the smallest along the line to the next,
 * beyond the largest by the fitted slope. Costs that outgrow a cache are no line, and a wall may stand where the
 * line through all points is far from them.
 */
final class CostCurve implements UnivariateFunction {
    private final double[] sizes;
    private final double[] costs;
    private final double slopeBeyond;
    private final UnivariateFunction inside;

    CostCurve(List<LinearFit.Point> points, LinearFit fit) {
        TreeMap<Integer, double[]> bySize = points.stream()
                .collect(Collectors.groupingBy(LinearFit.Point::size, TreeMap::new, Collectors.toList()))
                .entrySet()
                .stream()
                .collect(Collectors.toMap(
                        entry -> entry.getKey(),
                        entry -> entry.getValue().stream()
                                .mapToDouble(LinearFit.Point::cost)
                                .toArray(),
                        (one, other) -> one,
                        TreeMap::new));
        sizes = bySize.keySet().stream().mapToDouble(Integer::doubleValue).toArray();
        costs = bySize.values().stream().mapToDouble(new Median()::evaluate).toArray();
        slopeBeyond = fit.slope();
        inside = new LinearInterpolator().interpolate(sizes, costs);
    }

    @Override
    public double value(double size) {
        int last = sizes.length - 1;
        if (size > sizes[last]) {
            return costs[last] + slopeBeyond * (size - sizes[last]);
        }
        if (size < sizes[0]) {
            double first = (costs[1] - costs[0]) / (sizes[1] - sizes[0]);
            return Math.max(0, costs[0] - first * (sizes[0] - size));
        }
        return inside.value(size);
    }
}
