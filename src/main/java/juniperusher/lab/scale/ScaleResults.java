package juniperusher.lab.scale;

import com.eclipsesource.json.Json;
import com.eclipsesource.json.JsonArray;
import com.eclipsesource.json.JsonObject;
import com.eclipsesource.json.JsonValue;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.List;

/**
 * What came of an experiment.
 *
 * @param walls the smallest share of the target first
 */
public record ScaleResults(String title, List<SlopeResult> slopes, List<Wall> walls) {
    private static final String FILE = "result.json";

    public ScaleResults {
        slopes = List.copyOf(slopes);
        walls = walls.stream().sorted(Comparator.comparingDouble(Wall::share)).toList();
    }

    /** Whether every slope is as the file expects. */
    public boolean held() {
        return slopes.stream().allMatch(SlopeResult::held);
    }

    /** The slopes, the walls and what does not hold, as text. */
    public String table() {
        StringBuilder out =
                new StringBuilder(title).append('\n').append(machine()).append('\n');
        slopes.forEach(slope -> out.append(slope.line()).append('\n'));
        if (!walls.isEmpty()) {
            out.append("walls, as a share of the target\n");
        }
        walls.forEach(wall -> out.append(wall.line()).append('\n'));
        slopes.stream()
                .filter(slope -> !slope.held())
                .forEach(slope -> out.append("FAILS: ")
                        .append(slope.name())
                        .append(": expected ")
                        .append(slope.expected())
                        .append('\n'));
        return out.toString();
    }

    /** The virtual machine that was measured on. */
    static String machine() {
        return "java " + System.getProperty("java.version") + ", "
                + Runtime.getRuntime().availableProcessors() + " processors, heap of at most "
                + (Runtime.getRuntime().maxMemory() >> 20) + " MiB";
    }

    /** Writes {@code result.json} into the folder. */
    public void write(Path folder) throws IOException {
        JsonArray measured = new JsonArray();
        slopes.forEach(slope -> measured.add(json(slope)));
        JsonArray found = new JsonArray();
        walls.forEach(wall -> found.add(json(wall)));
        JsonObject json = new JsonObject()
                .add("title", title)
                .add("format", 1)
                .add("machine", machine())
                .add("held", held())
                .add("slopes", measured)
                .add("walls", found);
        Files.createDirectories(folder);
        Files.writeString(folder.resolve(FILE), json.toString());
    }

    private static JsonObject json(SlopeResult slope) {
        JsonArray points = new JsonArray();
        slope.points()
                .forEach(point -> points.add(new JsonArray().add(point.size()).add(point.cost())));
        return new JsonObject()
                .add("name", slope.name())
                .add("unit", slope.unit())
                .add("per", slope.per())
                .add("slope", number(slope.fit().slope()))
                .add("error95", number(slope.fit().error()))
                .add("intercept", number(slope.fit().intercept()))
                .add("r_squared", number(slope.fit().rSquared()))
                .add("held", slope.held())
                .add("points", points);
    }

    private static JsonObject json(Wall wall) {
        return new JsonObject()
                .add("resource", wall.resource())
                .add("unit", wall.unit())
                .add("from", wall.from())
                .add("budget", wall.budget())
                .add("size", number(wall.size()))
                .add("target", wall.target())
                .add("share", number(wall.share()))
                .add("needed", number(wall.needed()))
                .add("after", wall.after())
                .add("needed_after", number(wall.neededAfter()))
                .add("mechanism", wall.mechanism())
                .add("state", wall.state());
    }

    private static JsonValue number(double value) {
        return Double.isFinite(value) ? Json.value(value) : Json.NULL; // JSON has no other numbers
    }
}
