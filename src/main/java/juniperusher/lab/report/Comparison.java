package juniperusher.lab.report;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import juniperusher.lab.RunResult;

/**
 * Two results side by side: for each variant that both have, each figure's mean and the difference with its
 * 95%
 * confidence interval, over the seeds that both have (paired) where there are at least two, else over all.
 */
public final class Comparison {
    // Student's t for 95%, two sides, by degrees of freedom from 1 on; 1.96 beyond.
    private static final double[] T = {
        12.71, 4.30, 3.18, 2.78, 2.57, 2.45, 2.36, 2.31, 2.26, 2.23, 2.20, 2.18, 2.16, 2.14, 2.13, 2.12, 2.11, 2.10,
        2.09, 2.09, 2.08, 2.07, 2.07, 2.06, 2.06, 2.06, 2.05, 2.05, 2.05, 2.04
    };
    private static final double NORMAL = 1.96;

    /** One line. {@code half} is half the width of the interval, infinite where one cannot be given. */
    public record Line(String variant, String figure, double first, double second, double difference, double half) {
        /** Whether the interval leaves out 0. */
        public boolean clear() {
            return Math.abs(difference) > half;
        }
    }

    private Comparison() {}

    /** All lines. */
    public static List<Line> of(Results first, Results second) {
        List<Line> out = new ArrayList<>();
        for (String variant : first.variants()) {
            if (second.variants().contains(variant)) {
                for (String figure : first.figures()) {
                    if (second.figures().contains(figure)) {
                        out.add(line(first, second, variant, figure));
                    }
                }
            }
        }
        return out;
    }

    private static Line line(Results first, Results second, String variant, String figure) {
        double[] a = first.values(variant, figure);
        double[] b = second.values(variant, figure);
        List<Double> pairs = new ArrayList<>();
        for (RunResult one : first.runs()) {
            for (RunResult other : second.runs()) {
                if (one.variant().equals(variant) && other.variant().equals(variant) && one.seed() == other.seed()) {
                    pairs.add(other.figures().get(figure) - one.figures().get(figure));
                }
            }
        }
        double half;
        double difference;
        if (pairs.size() >= 2) {
            double[] values = pairs.stream().mapToDouble(Double::doubleValue).toArray();
            difference = Results.mean(values);
            half = t(values.length - 1) * Math.sqrt(variance(values) / values.length);
        } else {
            difference = Results.mean(b) - Results.mean(a);
            half = a.length < 2 || b.length < 2
                    ? Double.POSITIVE_INFINITY
                    : t(Math.min(a.length, b.length) - 1) * Math.sqrt(variance(a) / a.length + variance(b) / b.length);
        }
        return new Line(variant, figure, Results.mean(a), Results.mean(b), difference, half);
    }

    private static double t(int freedom) {
        return freedom <= T.length ? T[freedom - 1] : NORMAL;
    }

    private static double variance(double... values) {
        double mean = Results.mean(values);
        double sum = 0;
        for (double value : values) {
            sum += (value - mean) * (value - mean);
        }
        return sum / (values.length - 1);
    }

    /** The lines as a table; differences that are clear of chance are marked. */
    public static String table(List<Line> lines) {
        StringBuilder out = new StringBuilder(String.format(
                "%-20s %-20s %10s %10s %10s %10s%n", "variant", "figure", "first", "second", "difference", "+-95%"));
        for (Line line : lines) {
            out.append(String.format(
                    Locale.ROOT,
                    "%-20s %-20s %10.4f %10.4f %+10.4f %10s%s%n",
                    line.variant(),
                    line.figure(),
                    line.first(),
                    line.second(),
                    line.difference(),
                    Double.isFinite(line.half()) ? String.format(Locale.ROOT, "%.4f", line.half()) : "?",
                    line.clear() ? " *" : ""));
        }
        return out.toString();
    }
}
