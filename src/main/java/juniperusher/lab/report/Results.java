package juniperusher.lab.report;

import com.eclipsesource.json.Json;
import com.eclipsesource.json.JsonArray;
import com.eclipsesource.json.JsonObject;
import com.eclipsesource.json.JsonValue;
import com.eclipsesource.json.ParseException;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import juniperusher.lab.Experiment.Verdict;
import juniperusher.lab.RunResult;

/**
 * The results of an experiment's runs.
 *
 * @param engine virtual or sockets
 */
public record Results(String title, String engine, List<RunResult> runs, List<Verdict> judged) {
    private static final String FILE = "result.json";

    /** Whether all expectations hold and no rule was broken. */
    public boolean held() {
        return judged.stream().allMatch(Verdict::met)
                && runs.stream().allMatch(run -> run.violations().isEmpty());
    }

    /** The variants in their order. */
    public List<String> variants() {
        return runs.stream().map(RunResult::variant).distinct().toList();
    }

    /** The names of the figures in their order. */
    public List<String> figures() {
        return runs.isEmpty() ? List.of() : List.copyOf(runs.get(0).figures().keySet());
    }

    double[] values(String variant, String figure) {
        return runs.stream()
                .filter(run -> run.variant().equals(variant))
                .mapToDouble(run -> run.figures().getOrDefault(figure, Double.NaN))
                .toArray();
    }

    /** Means by variant, the expectations, and the first broken rules. */
    public String table() {
        StringBuilder out = new StringBuilder(title)
                .append(" (")
                .append(engine)
                .append(", ")
                .append(runs.size())
                .append(" runs, seeds ")
                .append(runs.stream().mapToLong(RunResult::seed).min().orElse(0))
                .append(" to ")
                .append(runs.stream().mapToLong(RunResult::seed).max().orElse(0))
                .append("; means)\n");
        int wide = variants().stream().mapToInt(String::length).max().orElse(0) + 2;
        int first =
                Math.max(16, figures().stream().mapToInt(String::length).max().orElse(0) + 1);
        out.append(String.format("%-" + first + "s", ""));
        variants().forEach(variant -> out.append(String.format("%" + Math.max(12, wide) + "s", variant)));
        out.append('\n');
        for (String figure : figures()) {
            out.append(String.format("%-" + first + "s", figure));
            for (String variant : variants()) {
                out.append(String.format(Locale.ROOT, "%" + Math.max(12, wide) + ".4f", mean(values(variant, figure))));
            }
            out.append('\n');
        }
        judged.forEach(one ->
                out.append(one.met() ? "holds: " : "FAILS: ").append(one.text()).append('\n'));
        runs.stream()
                .filter(run -> !run.violations().isEmpty())
                .forEach(run -> out.append("BROKEN: ")
                        .append(run.variant())
                        .append(", seed ")
                        .append(run.seed())
                        .append(": ")
                        .append(run.violations().get(0))
                        .append('\n'));
        return out.toString();
    }

    static double mean(double... values) {
        return Arrays.stream(values).average().orElse(Double.NaN);
    }

    // ---- the file ----

    /** Writes {@code result.json} into the folder. */
    public void write(Path folder) throws IOException {
        JsonObject json =
                new JsonObject().add("title", title).add("engine", engine).add("format", 1);
        JsonArray expectations = new JsonArray();
        judged.forEach(
                one -> expectations.add(new JsonObject().add("held", one.met()).add("text", one.text())));
        JsonArray all = new JsonArray();
        for (RunResult run : runs) {
            JsonObject figures = new JsonObject();
            run.figures().forEach((name, value) -> figures.add(name, number(value)));
            JsonArray broken = new JsonArray();
            run.violations().forEach(broken::add);
            all.add(new JsonObject()
                    .add("variant", run.variant())
                    .add("seed", run.seed())
                    .add("figures", figures)
                    .add("percentiles", arrays(run.percentiles()))
                    .add("series", arrays(run.series()))
                    .add("broken", broken)
                    .add("hash", Long.toHexString(run.hash())));
        }
        Files.createDirectories(folder);
        Files.writeString(
                folder.resolve(FILE),
                json.add("expect", expectations).add("runs", all).toString());
    }

    private static JsonValue number(double value) {
        return Double.isFinite(value) ? Json.value(value) : Json.NULL; // JSON has no other numbers
    }

    private static JsonObject arrays(Map<String, double[]> arrays) {
        JsonObject out = new JsonObject();
        arrays.forEach((name, values) -> {
            JsonArray array = new JsonArray();
            for (double value : values) {
                array.add(number(value));
            }
            out.add(name, array);
        });
        return out;
    }

    /**
     * Reads what {@link #write} wrote; an {@link IllegalArgumentException} says in one line what is wrong.
     */
    public static Results read(Path folder) throws IOException {
        Path file = folder.resolve(FILE);
        try {
            JsonObject json = Json.parse(Files.readString(file)).asObject();
            if (json.getInt("format", 0) != 1) {
                throw new IllegalArgumentException("expected format 1");
            }
            List<Verdict> judged = new ArrayList<>();
            json.get("expect")
                    .asArray()
                    .forEach(one -> judged.add(new Verdict(
                            one.asObject().getBoolean("held", false),
                            one.asObject().getString("text", ""))));
            List<RunResult> runs = new ArrayList<>();
            json.get("runs").asArray().forEach(one -> runs.add(run(one.asObject())));
            return new Results(json.getString("title", ""), json.getString("engine", ""), runs, judged);
        } catch (ParseException | UnsupportedOperationException | NullPointerException | IllegalArgumentException e) {
            throw new IllegalArgumentException(file + ": not the result of an experiment: " + e.getMessage(), e);
        }
    }

    private static RunResult run(JsonObject json) {
        Map<String, Double> figures = new LinkedHashMap<>();
        json.get("figures").asObject().forEach(one -> figures.put(one.getName(), read(one.getValue())));
        List<String> broken = new ArrayList<>();
        json.get("broken").asArray().forEach(one -> broken.add(one.asString()));
        return new RunResult(
                json.getString("variant", ""),
                json.getLong("seed", 0),
                figures,
                new TreeMap<>(readArrays(json.get("series"))),
                readArrays(json.get("percentiles")),
                broken,
                Long.parseUnsignedLong(json.getString("hash", "0"), 16));
    }

    private static double read(JsonValue value) {
        return value.isNull() ? Double.NaN : value.asDouble();
    }

    private static Map<String, double[]> readArrays(JsonValue json) {
        Map<String, double[]> out = new LinkedHashMap<>();
        json.asObject().forEach(one -> {
            double[] values = new double[one.getValue().asArray().size()];
            for (int i = 0; i < values.length; i++) {
                values[i] = read(one.getValue().asArray().get(i));
            }
            out.put(one.getName(), values);
        });
        return out;
    }
}
