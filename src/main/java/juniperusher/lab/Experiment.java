package juniperusher.lab;

import com.eclipsesource.json.JsonObject;
import com.eclipsesource.json.JsonValue;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/**
 * An experiment file: what is played with which seeds, and what is expected of it. Files are read and
 * checked before;
 * this is free of I/O.
 *
 * @param plans by variant, one for each seed
 */
public record Experiment(String title, String engine, Map<String, List<Plan>> plans, List<Expectation> expected) {
    /** The only variant of a file that names none. */
    public static final String AS_WRITTEN = "as written";

    /**
     * What is expected of a figure of some variants.
     *
     * @param of      the variants, each judged by itself
     * @param over    mean, max or min of the runs
     * @param against the variant whose mean it is compared with, or null
     * @param atLeast bound of the figure, or of its difference to the other variant's mean; or null
     * @param atMost  the same
     * @param times   bound of the figure over the other variant's mean, or null
     */
    public record Expectation(
            String figure, List<String> of, String over, String against, Double atLeast, Double atMost, Double times) {}

    /** An expectation of one variant: whether it holds, in one line. */
    public record Judged(boolean held, String text) {}

    /** The names of the variants of a file and what each sets, as KEY=VALUE. */
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
     * An experiment.
     *
     * @param file     the file as it is written
     * @param variants the file as each variant has it
     * @throws IllegalArgumentException in one line, if its parts do not go together
     */
    public static Experiment of(JsonObject file, Map<String, JsonObject> variants) {
        Map<String, List<Plan>> plans = new LinkedHashMap<>();
        variants.forEach((name, json) -> {
            List<Plan> seeds = new ArrayList<>();
            for (int i = 0; i < json.getInt("runs", 1); i++) {
                seeds.add(Plan.of(json, json.getLong("seed", 1) + i));
            }
            plans.put(name, seeds);
        });
        List<Expectation> expected = new ArrayList<>();
        for (JsonValue value : file.get("expect").asArray()) {
            expected.add(expectation(value.asObject(), plans));
        }
        return new Experiment(file.getString("title", ""), file.getString("engine", "virtual"), plans, expected);
    }

    private static Expectation expectation(JsonObject one, Map<String, List<Plan>> plans) {
        String against = one.getString("against", null);
        List<String> of = new ArrayList<>();
        one.get("of").asArray().forEach(name -> of.add(name.asString()));
        if (of.isEmpty()) {
            plans.keySet().stream().filter(name -> !name.equals(against)).forEach(of::add);
        }
        List<String> named = new ArrayList<>(of);
        if (against != null) {
            named.add(against);
        }
        for (String name : named) {
            if (!plans.containsKey(name)) {
                throw new IllegalArgumentException("expect: there is no variant '" + name
                        + "'; expected one of "
                        + String.join(", ", plans.keySet()));
            }
        }
        String figure = one.getString("figure", "");
        for (String name : named) {
            if (!plans.get(name).get(0).hasFigure(figure)) {
                throw new IllegalArgumentException("expect: '" + figure + "' is no figure of variant '" + name
                        + "'; expected sequenced.share above 0 for those of the class in order, tenants for those"
                        + " of shares");
            }
        }
        Double times = number(one, "at_most_times");
        Expectation out = new Expectation(
                figure,
                of,
                one.getString("over", "mean"),
                against,
                number(one, "at_least"),
                number(one, "at_most"),
                times);
        if (out.atLeast() == null && out.atMost() == null && times == null || times != null && against == null) {
            throw new IllegalArgumentException("expect: '" + out.figure()
                    + "' has no bound; expected at_least, at_most, or at_most_times with against");
        }
        return out;
    }

    private static Double number(JsonObject table, String key) {
        return table.get(key) == null ? null : table.get(key).asDouble();
    }

    /** Judges all expectations on the runs. */
    public List<Judged> judge(List<Run> runs) {
        List<Judged> out = new ArrayList<>();
        for (Expectation one : expected) {
            for (String variant : one.of()) {
                out.add(judge(one, variant, runs));
            }
        }
        return out;
    }

    private static Judged judge(Expectation one, String variant, List<Run> runs) {
        double value = over(one.over(), values(runs, variant, one.figure()));
        String text = String.format(Locale.ROOT, "%s of %s, %s: %.4f", one.over(), one.figure(), variant, value);
        boolean held = true;
        double bounded = value;
        if (one.against() != null) {
            double other = over("mean", values(runs, one.against(), one.figure()));
            bounded = value - other;
            text += String.format(Locale.ROOT, ", %s: %.4f", one.against(), other);
            if (one.times() != null) {
                held = value <= one.times() * other;
                text += String.format(Locale.ROOT, "; %.3f times, at most %.3f", value / other, one.times());
            }
        }
        String what = one.against() == null ? "" : "difference ";
        if (one.atLeast() != null) {
            held &= bounded >= one.atLeast();
            text += "; " + what + "at least " + one.atLeast();
        }
        if (one.atMost() != null) {
            held &= bounded <= one.atMost();
            text += "; " + what + "at most " + one.atMost();
        }
        return new Judged(held, text);
    }

    /** The values of a figure in a variant's runs. */
    public static double[] values(List<Run> runs, String variant, String figure) {
        return runs.stream()
                .filter(run -> run.variant().equals(variant))
                .mapToDouble(run -> run.figures().get(figure))
                .toArray();
    }

    private static double over(String how, double... values) {
        double out = how.equals("min") ? Double.POSITIVE_INFINITY : how.equals("max") ? Double.NEGATIVE_INFINITY : 0;
        for (double value : values) {
            out = switch (how) {
                case "min" -> Math.min(out, value);
                case "max" -> Math.max(out, value);
                default -> out + value / values.length;
            };
        }
        return out;
    }
}
