package juniperusher.lab.scale;

import com.eclipsesource.json.JsonObject;
import com.eclipsesource.json.JsonValue;
import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/** An experiment file of slopes to measure and walls that follow from them; checked against its schema before. */
public final class ScaleExperiment {
    /** The schema's file beside this class. */
    public static final String SCHEMA = "scale.schema.json";

    private final String title;
    private final int repeats;
    private final List<SlopePlan> slopes = new ArrayList<>();
    private final List<Wall.Plan> walls = new ArrayList<>();

    private record SlopePlan(Slope slope, List<Integer> sizes, SlopeResult.Expected expected) {}

    /**
     * An experiment.
     *
     * @param file the file with its defaults
     * @throws IllegalArgumentException in one line, if its parts do not go together
     */
    public ScaleExperiment(JsonObject file) {
        title = file.getString("title", "");
        repeats = file.getInt("repeats", 1);
        Map<String, Slope> known = SlopeCatalog.slopes(file.getInt("body_bytes", 0));
        List<String> named = new ArrayList<>();
        file.get("slopes").asArray().forEach(one -> {
            SlopePlan plan = slope(one.asObject(), "slopes." + slopes.size(), known);
            if (named.contains(plan.slope().name())) {
                throw new IllegalArgumentException("slopes: '" + plan.slope().name() + "' is named twice");
            }
            named.add(plan.slope().name());
            slopes.add(plan);
        });
        file.get("walls").asArray().forEach(one -> walls.add(wall(one.asObject(), "walls." + walls.size(), named)));
    }

    private static SlopePlan slope(JsonObject one, String at, Map<String, Slope> known) {
        String name = one.getString("name", "");
        if (!known.containsKey(name)) {
            throw new IllegalArgumentException(at + ".name: there is no slope '" + name + "'; expected one of "
                    + String.join(", ", known.keySet()));
        }
        List<Integer> sizes = new ArrayList<>();
        for (JsonValue size : one.get("sizes").asArray()) {
            if (!sizes.isEmpty() && size.asInt() <= sizes.get(sizes.size() - 1)) {
                throw new IllegalArgumentException(at + ".sizes: expected sizes that grow, not " + one.get("sizes"));
            }
            sizes.add(size.asInt());
        }
        return new SlopePlan(known.get(name), sizes, expected(one));
    }

    private static SlopeResult.Expected expected(JsonObject one) {
        JsonValue most = one.get("most_slope");
        return new SlopeResult.Expected(one.getDouble("least_r_squared", 0), most == null ? null : most.asDouble());
    }

    private static Wall.Plan wall(JsonObject one, String at, List<String> measured) {
        List<String> slopes = new ArrayList<>();
        one.get("slopes").asArray().forEach(name -> slopes.add(name.asString()));
        for (String name : slopes) {
            if (!measured.contains(name)) {
                throw new IllegalArgumentException(
                        at + ".slopes: '" + name + "' is not measured; expected one of " + String.join(", ", measured));
            }
        }
        double budget = one.getDouble("budget", 0);
        double limit = one.getDouble("limit", 0);
        if (slopes.isEmpty() ? limit == 0 : budget == 0 || limit > 0) {
            throw new IllegalArgumentException(at + ": expected either slopes with a budget, or a limit");
        }
        return new Wall.Plan(
                one.getString("resource", ""),
                slopes,
                one.getDouble("factor", 1),
                one.getString("unit", ""),
                budget,
                limit,
                one.getString("place", ""),
                one.getDouble("target", 0),
                one.getDouble("after", 0),
                one.getString("mechanism", ""),
                one.getString("state", ""));
    }

    /**
     * Measures all slopes, one after the other on this thread.
     *
     * @param progress told of each slope before it is measured
     */
    public ScaleResults run(Consumer<String> progress) throws IOException {
        Map<String, SlopeResult> results = new LinkedHashMap<>();
        for (SlopePlan plan : slopes) {
            progress.accept(plan.slope().name());
            results.put(plan.slope().name(), measure(plan));
        }
        List<Wall> found = new ArrayList<>();
        for (Wall.Plan plan : walls) {
            List<CostCurve> costs = plan.slopes().stream()
                    .map(name -> new CostCurve(
                            results.get(name).points(), results.get(name).fit()))
                    .toList();
            found.add(costs.isEmpty() ? Wall.constant(plan) : Wall.of(plan, costs));
        }
        return new ScaleResults(title, List.copyOf(results.values()), found);
    }

    private SlopeResult measure(SlopePlan plan) throws IOException {
        Slope slope = plan.slope();
        slope.measure(plan.sizes().get(0)); // loads classes and compiles
        List<LinearFit.Point> points = new ArrayList<>();
        for (int repeat = 0; repeat < repeats; repeat++) {
            for (int size : plan.sizes()) {
                points.add(new LinearFit.Point(size, slope.measure(size)));
            }
        }
        return new SlopeResult(slope.name(), slope.unit(), slope.per(), points, LinearFit.of(points), plan.expected());
    }
}
