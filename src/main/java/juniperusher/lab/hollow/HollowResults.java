package juniperusher.lab.hollow;

import java.util.List;
import java.util.Locale;

/** What a hollow fleet has shown: figures, some of them against a budget. */
public record HollowResults(String title, String about, List<Figure> figures) {
    /**
     * A figure.
     *
     * @param budget the most that it may be, or null where it is not judged
     */
    public record Figure(String name, double value, String unit, Double budget) {
        boolean held() {
            return budget == null || value <= budget;
        }
    }

    /** Whether every budget holds. */
    public boolean held() {
        return figures.stream().allMatch(Figure::held);
    }

    /** The figure of that name. */
    public double figure(String name) {
        return figures.stream()
                .filter(figure -> figure.name().equals(name))
                .findFirst()
                .orElseThrow()
                .value();
    }

    /** For a terminal. */
    public String table() {
        StringBuilder out = new StringBuilder(title).append('\n').append(about).append("\n\n");
        out.append(String.format(Locale.ROOT, "%-52s %14s %-8s %12s%n", "figure", "measured", "", "budget"));
        for (Figure figure : figures) {
            String budget = figure.budget() == null
                    ? ""
                    : String.format(Locale.ROOT, "%s %s", number(figure.budget()), figure.held() ? "held" : "BROKEN");
            out.append(String.format(
                    Locale.ROOT,
                    "%-52s %14s %-8s %12s%n",
                    figure.name(),
                    number(figure.value()),
                    figure.unit(),
                    budget));
        }
        return out.append('\n')
                .append(held() ? "all budgets hold" : "a budget is broken")
                .append('\n')
                .toString();
    }

    private static String number(double value) {
        boolean whole = value == Math.rint(value) && Math.abs(value) < 1e12;
        return whole ? String.format(Locale.ROOT, "%.0f", value) : String.format(Locale.ROOT, "%.4f", value);
    }
}
