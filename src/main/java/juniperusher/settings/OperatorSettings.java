package juniperusher.settings;

import com.eclipsesource.json.JsonObject;
import com.eclipsesource.json.JsonValue;
import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import juniperusher.settings.TomlReader.InvalidTomlException;
import juniperusher.storm.StormSettings;

/**
 * The settings of an operator's TOML file. The keys, their bounds and their defaults are defined in
 * {@code operator.schema.json}. A table is disabled if it is missing or has {@code on = false}.
 *
 * @param storm settings for the detection of retry storms, or null if disabled
 * @param amqp the table of the AMQP front with its defaults, or null if disabled
 * @param fleet the table of the subscription to the shard map with its defaults, or null if disabled
 * @param control the table of a control process with its defaults, or null if disabled
 * @param effective all tables of the file, with their defaults, including those with {@code on = false}
 */
public record OperatorSettings(
        StormSettings storm, JsonObject amqp, JsonObject fleet, JsonObject control, JsonObject effective) {
    private static final String SCHEMA_RESOURCE = "operator.schema.json";

    /**
     * Reads and validates a file.
     *
     * @throws InvalidTomlException if the file is not valid TOML, has an unknown key or an invalid value
     * @throws IOException if the file cannot be read
     */
    public static OperatorSettings read(Path file) throws IOException {
        JsonObject effective =
                TomlReader.withSchema(OperatorSettings.class, SCHEMA_RESOURCE).read(file, List.of());
        JsonObject storm = enabledTable(effective, "storm");
        try {
            return new OperatorSettings(
                    storm == null ? null : stormSettings(storm),
                    enabledTable(effective, "amqp"),
                    enabledTable(effective, "fleet"),
                    enabledTable(effective, "control"),
                    effective);
        } catch (IllegalArgumentException e) {
            // StormSettings rejects pairs of values that contradict each other. Either may be the wrong one, so the
            // message names no line.
            throw new InvalidTomlException(file.toString(), "[storm] " + e.getMessage());
        }
    }

    /** Returns a table, or null if it is missing or disabled. */
    private static JsonObject enabledTable(JsonObject effective, String table) {
        JsonValue value = effective.get(table);
        return value != null && value.asObject().getBoolean("on", true) ? value.asObject() : null;
    }

    private static StormSettings stormSettings(JsonObject table) {
        return new StormSettings(
                doubleValue(table, "outage_after"),
                doubleValue(table, "again_share"),
                doubleValue(table, "again_calm"),
                doubleValue(table, "owed_seconds"),
                doubleValue(table, "owed_calm"),
                doubleValue(table, "quiet"),
                doubleValue(table, "held_share"),
                doubleValue(table, "margin"),
                doubleValue(table, "note_every"));
    }

    private static double doubleValue(JsonObject table, String key) {
        return table.get(key).asDouble();
    }

    /**
     * Returns all keys as the text of a TOML file, each with its default or an example and a comment that
     * describes it.
     */
    public static String describeKeys() {
        StringBuilder out = new StringBuilder();
        JsonObject tables = TomlReader.withSchema(OperatorSettings.class, SCHEMA_RESOURCE)
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
            appendKeys(schema, "", out);
        }
        return out.toString();
    }

    /** Appends a line for each key of a table; tables in arrays are appended as comments. */
    private static void appendKeys(JsonObject schema, String linePrefix, StringBuilder out) {
        for (JsonObject.Member key : schema.get("properties").asObject()) {
            JsonObject keySchema = key.getValue().asObject();
            if (isArrayOfTables(keySchema)) {
                out.append("\n# [[amqp.")
                        .append(key.getName())
                        .append("]] # ")
                        .append(keySchema.getString("description", ""))
                        .append('\n');
                appendKeys(keySchema.get("items").asObject(), "# ", out);
            } else {
                JsonValue example = keySchema.get("default") != null || keySchema.get("examples") == null
                        ? keySchema.get("default")
                        : keySchema.get("examples").asArray().get(0);
                out.append(linePrefix)
                        .append(key.getName())
                        .append(" = ")
                        .append(example == null ? "(no default)" : example.toString())
                        .append(" # ")
                        .append(keySchema.getString("description", ""))
                        .append('\n');
            }
        }
    }

    /** Returns whether a schema describes an array of tables. */
    private static boolean isArrayOfTables(JsonObject schema) {
        JsonValue items = schema.get("items");
        return items != null && items.asObject().get("properties") != null;
    }

    /** Returns whether a value is a non-empty array of tables. */
    private static boolean isArrayOfTables(JsonValue value) {
        return value.isArray()
                && !value.asArray().isEmpty()
                && value.asArray().get(0).isObject();
    }

    /** Returns the effective settings as the text of a TOML file. */
    public String toToml() {
        StringBuilder out = new StringBuilder();
        for (JsonObject.Member table : effective) {
            out.append(out.isEmpty() ? "" : "\n")
                    .append('[')
                    .append(table.getName())
                    .append("]\n");
            table.getValue().asObject().forEach(key -> {
                if (!isArrayOfTables(key.getValue())) {
                    out.append(key.getName())
                            .append(" = ")
                            .append(key.getValue())
                            .append('\n');
                }
            });
            for (JsonObject.Member key : table.getValue().asObject()) {
                if (isArrayOfTables(key.getValue())) {
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
