package juniperusher.settings;

import com.eclipsesource.json.JsonObject;
import com.eclipsesource.json.JsonValue;
import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import juniperusher.settings.CheckedToml.Mistake;
import juniperusher.storm.StormSettings;

/**
 * What an operator's file says. Its keys, bounds and defaults are in {@code operator.schema.json}.
 *
 * @param storm the storm package's settings, or null where it is off
 * @param amqp  the table of the AMQP front with its defaults filled in, or null where it is off
 * @param fleet the table of the shard map's subscription with its defaults filled in, or null where it is off
 * @param control the table of a control process with its defaults filled in, or null where it is off
 * @param all   all that is in force: the file's values and the defaults of the tables that it has
 */
public record OperatorSettings(
        StormSettings storm, JsonObject amqp, JsonObject fleet, JsonObject control, JsonObject all) {
    private static final String SCHEMA = "operator.schema.json";

    /**
     * Reads a file.
     *
     * @throws Mistake if it is no TOML, has a key that is not known, or a value that cannot be
     * @throws IOException if it cannot be read at all
     */
    public static OperatorSettings read(Path file) throws IOException {
        JsonObject all = CheckedToml.by(OperatorSettings.class, SCHEMA).read(file, List.of());
        JsonObject storm = on(all, "storm");
        try {
            return new OperatorSettings(
                    storm == null ? null : storm(storm), on(all, "amqp"), on(all, "fleet"), on(all, "control"), all);
        } catch (IllegalArgumentException e) {
            // Of two values that do not go together none is the wrong one: no line.
            throw new Mistake(file.toString(), "[storm] " + e.getMessage());
        }
    }

    private static JsonObject on(JsonObject all, String table) {
        JsonValue found = all.get(table);
        return found != null && found.asObject().getBoolean("on", true) ? found.asObject() : null;
    }

    private static StormSettings storm(JsonObject table) {
        return new StormSettings(
                number(table, "outage_after"),
                number(table, "again_share"),
                number(table, "again_calm"),
                number(table, "owed_seconds"),
                number(table, "owed_calm"),
                number(table, "quiet"),
                number(table, "held_share"),
                number(table, "margin"),
                number(table, "note_every"));
    }

    private static double number(JsonObject table, String key) {
        return table.get(key).asDouble();
    }

    /** All keys, each with what it means and its default, as a file that could be read. */
    public static String shown() {
        StringBuilder out = new StringBuilder();
        JsonObject tables = CheckedToml.by(OperatorSettings.class, SCHEMA)
                .schema()
                .get("properties")
                .asObject();
        for (JsonObject.Member table : tables) {
            JsonObject schema = table.getValue().asObject();
            out.append(out.isEmpty() ? "" : "\n")
                    .append("# ")
                    .append(schema.getString("description", ""))
                    .append("\n[")
                    .append(table.getName())
                    .append("]\n");
            keys(schema, "", out);
        }
        return out.toString();
    }

    private static void keys(JsonObject schema, String before, StringBuilder out) {
        for (JsonObject.Member key : schema.get("properties").asObject()) {
            JsonObject inner = key.getValue().asObject();
            if (isTables(inner)) {
                out.append("\n# [[amqp.")
                        .append(key.getName())
                        .append("]] # ")
                        .append(inner.getString("description", ""))
                        .append('\n');
                keys(inner.get("items").asObject(), "# ", out);
            } else {
                JsonValue value = inner.get("default") != null || inner.get("examples") == null
                        ? inner.get("default")
                        : inner.get("examples").asArray().get(0);
                out.append(before)
                        .append(key.getName())
                        .append(" = ")
                        .append(value == null ? "(no default)" : value.toString())
                        .append(" # ")
                        .append(inner.getString("description", ""))
                        .append('\n');
            }
        }
    }

    private static boolean isTables(JsonObject schema) {
        JsonValue items = schema.get("items");
        return items != null && items.asObject().get("properties") != null;
    }

    private static boolean isTables(JsonValue value) {
        return value.isArray()
                && !value.asArray().isEmpty()
                && value.asArray().get(0).isObject();
    }

    /** The tables in force as TOML. */
    public String toml() {
        StringBuilder out = new StringBuilder();
        for (JsonObject.Member table : all) {
            out.append(out.isEmpty() ? "" : "\n")
                    .append('[')
                    .append(table.getName())
                    .append("]\n");
            table.getValue().asObject().forEach(key -> {
                if (!isTables(key.getValue())) {
                    out.append(key.getName())
                            .append(" = ")
                            .append(key.getValue())
                            .append('\n');
                }
            });
            for (JsonObject.Member key : table.getValue().asObject()) {
                if (isTables(key.getValue())) {
                    key.getValue().asArray().forEach(entry -> {
                        out.append("\n[[")
                                .append(table.getName())
                                .append('.')
                                .append(key.getName())
                                .append("]]\n");
                        entry.asObject()
                                .forEach(part -> out.append(part.getName())
                                        .append(" = ")
                                        .append(part.getValue())
                                        .append('\n'));
                    });
                }
            }
        }
        return out.toString();
    }
}
