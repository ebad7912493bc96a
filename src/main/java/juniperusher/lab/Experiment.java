package juniperusher.lab;

import com.eclipsesource.json.JsonObject;
import com.eclipsesource.json.JsonValue;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/**
 * An experiment: its variants, the plans that they run with different seeds, and the expected results. The caller reads
 * and validates the file; this class does no I/O. Immutable.
 *
 * @param engine {@code virtual} or {@code sockets}
 * @param plans  by variant, one for each seed
 */
public record Experiment(String title, String engine, Map<String, List<Plan>> plans, List<Expectation> expectations) {
    /** The name of the only variant where a file defines none. */
    public static final String AS_WRITTEN = "as written";

    /**
     * An expected bound on a figure.
     *
     * @param variants  the variants, each judged separately
     * @param aggregate how the runs are aggregated: mean, max or min
     * @param baseline  the variant whose mean the figure is compared with, or null
     * @param atLeast   lower bound of the figure, or of its difference to the baseline; or null
     * @param atMost    upper bound, as {@code atLeast}
     * @param maxRatio  upper bound of the ratio of the figure to the baseline, or null
     */
    public record Expectation(
            String figure,
            List<String> variants,
            String aggregate,
            String baseline,
            Double atLeast,
            Double atMost,
            Double maxRatio) {}

    /** Whether an expectation is met by one variant, with a line of text for the report. */
    public record Verdict(boolean met, String text) {}

    /**
     * Reads the variants of a file: their names, and the settings that each overrides as KEY=VALUE.
     *
     * @throws IllegalArgumentException if two variants have the same name
     */
    public static Map<String, List<String>> variants(JsonObject file) {
        Map<String, List<String>> out = new LinkedHashMap<>();
        for (JsonValue value : file.get("variants").asArray()) {
            List<String> sets = new ArrayList<>();
            value.asObject().get("set").asArray().forEach(set -> sets.add(set.asString()));
            if (out.put(value.asObject().getString("name", ""), sets) != null) {
                throw new IllegalArgumentException(
                        "variants: '" + value.asObject().getString("name", "") + "' is named twice");
            }
        }
        return out.isEmpty() ? Map.of(AS_WRITTEN, List.of()) : out;
    }

    /**
     * Creates an experiment from its file.
     *
     * @param file     the file without the settings of any variant
     * @param variants by variant, the file with its settings applied
     * @throws IllegalArgumentException with a one-line message, if parts of the file contradict each other
     */
    public static Experiment fromJson(JsonObject file, Map<String, JsonObject> variants) {
        Map<String, List<Plan>> plans = new LinkedHashMap<>();
        variants.forEach((name, json) -> {
            List<Plan> seeds = new ArrayList<>();
            for (int i = 0; i < json.getInt("runs", 1); i++) {
                seeds.add(Plan.fromJson(json, json.getLong("seed", 1) + i));
            }
            plans.put(name, seeds);
        });
        List<Expectation> expected = new ArrayList<>();
        for (JsonValue value : file.get("expect").asArray()) {
            expected.add(expectation(value.asObject(), plans));
        }
        return new Experiment(file.getString("title", ""), file.getString("engine", "virtual"), plans, expected);
    }

    private static Expectation expectation(JsonObject table, Map<String, List<Plan>> plans) {
        String baseline = table.getString("against", null);
        List<String> variants = new ArrayList<>();
        table.get("of").asArray().forEach(name -> variants.add(name.asString()));
        if (variants.isEmpty()) {
            plans.keySet().stream().filter(name -> !name.equals(baseline)).forEach(variants::add);
        }
        List<String> names = new ArrayList<>(variants);
        if (baseline != null) {
            names.add(baseline);
        }
        for (String name : names) {
            if (!plans.containsKey(name)) {
                throw new IllegalArgumentException("expect: there is no variant '" + name
                        + "'; expected one of "
                        + String.join(", ", plans.keySet()));
            }
        }
        String figure = table.getString("figure", "");
        for (String name : names) {
            if (!plans.get(name).get(0).hasFigure(figure)) {
                throw new IllegalArgumentException("expect: '" + figure + "' is no figure of variant '" + name
                        + "'; expected sequenced.share above 0 for figures of the sequenced class, or tenants"
                        + " for figures of tenants");
            }
        }
        Double maxRatio = number(table, "at_most_times");
        Expectation expectation = new Expectation(
                figure,
                variants,
                table.getString("over", "mean"),
                baseline,
                number(table, "at_least"),
                number(table, "at_most"),
                maxRatio);
        if (expectation.atLeast() == null && expectation.atMost() == null && maxRatio == null
                || maxRatio != null && baseline == null) {
            throw new IllegalArgumentException("expect: '" + expectation.figure()
                    + "' has no bound; expected at_least, at_most, or at_most_times with against");
        }
        return expectation;
    }

    private static Double number(JsonObject table, String key) {
        return table.get(key) == null ? null : table.get(key).asDouble();
    }

    /** Compares the runs with all expectations. */
    public List<Verdict> evaluate(List<RunResult> runs) {
        List<Verdict> out = new ArrayList<>();
        for (Expectation expectation : expectations) {
            for (String variant : expectation.variants()) {
                out.add(evaluate(expectation, variant, runs));
            }
        }
        return out;
    }

    private static Verdict evaluate(Expectation expectation, String variant, List<RunResult> runs) {
        double value = aggregate(expectation.aggregate(), values(runs, variant, expectation.figure()));
        String text = String.format(
                Locale.ROOT, "%s of %s, %s: %.4f", expectation.aggregate(), expectation.figure(), variant, value);
        boolean met = true;
        double bounded = value;
        if (expectation.baseline() != null) {
            double other = aggregate("mean", values(runs, expectation.baseline(), expectation.figure()));
            bounded = value - other;
            text += String.format(Locale.ROOT, ", %s: %.4f", expectation.baseline(), other);
            if (expectation.maxRatio() != null) {
                met = value <= expectation.maxRatio() * other;
                text += String.format(Locale.ROOT, "; %.3f times, at most %.3f", value / other, expectation.maxRatio());
            }
        }
        String label = expectation.baseline() == null ? "" : "difference ";
        if (expectation.atLeast() != null) {
            met &= bounded >= expectation.atLeast();
            text += "; " + label + "at least " + expectation.atLeast();
        }
        if (expectation.atMost() != null) {
            met &= bounded <= expectation.atMost();
            text += "; " + label + "at most " + expectation.atMost();
        }
        return new Verdict(met, text);
    }

    /** The values of a figure in the runs of a variant. */
    public static double[] values(List<RunResult> runs, String variant, String figure) {
        return runs.stream()
                .filter(run -> run.variant().equals(variant))
                .mapToDouble(run -> run.figures().get(figure))
                .toArray();
    }

    private static double aggregate(String method, double... values) {
        double result =
                method.equals("min") ? Double.POSITIVE_INFINITY : method.equals("max") ? Double.NEGATIVE_INFINITY : 0;
        for (double value : values) {
            result = switch (method) {
                case "min" -> Math.min(result, value);
                case "max" -> Math.max(result, value);
                default -> result + value / values.length;
            };
        }
        return result;
    }
}
