package juniperusher.settings;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.TreeMap;
import juniperusher.storm.StormSettings;
import org.tomlj.Toml;
import org.tomlj.TomlParseResult;
import org.tomlj.TomlTable;

/**
 * What an operator's file says.
 *
 * @param storm the storm package's settings, or null where it is off
 */
public record OperatorSettings(StormSettings storm) {
    private static final String STORM = "storm";
    private static final String ON = "on";

    /** A file that cannot be taken: one line, with where the fault is. */
    public static final class Mistake extends IllegalArgumentException {
        private static final long serialVersionUID = 1;

        Mistake(Path file, int line, String what) {
            super(file + (line > 0 ? ":" + line : "") + ": " + what);
        }
    }

    /**
     * Reads a file.
     *
     * @throws Mistake if it is no TOML, has a key that is not known, or a value that cannot be
     * @throws IOException if it cannot be read at all
     */
    public static OperatorSettings read(Path file) throws IOException {
        TomlParseResult toml = Toml.parse(Files.readString(file));
        if (toml.hasErrors()) {
            var first = toml.errors().get(0);
            throw new Mistake(file, first.position().line(), first.getMessage());
        }
        for (String key : toml.keySet()) {
            if (!key.equals(STORM) || !toml.isTable(key)) {
                throw new Mistake(file, toml.inputPositionOf(key).line(), "'" + key
                        + "' is not known; expected the table [" + STORM + "]");
            }
        }
        TomlTable storm = toml.getTable(STORM);
        return new OperatorSettings(storm == null ? null : storm(file, storm));
    }

    private static StormSettings storm(Path file, TomlTable table) {
        Map<String, Double> values = defaults();
        boolean on = true;
        int line = 0;
        for (String key : table.keySet()) {
            line = table.inputPositionOf(key).line();
            Object value = table.get(key);
            if (key.equals(ON) && value instanceof Boolean flag) {
                on = flag;
            } else if (values.containsKey(key) && value instanceof Number number) {
                values.put(key, number.doubleValue());
                made(file, line, values); // so that a mistake names its own line
            } else {
                throw new Mistake(file, line, "[" + STORM + "] " + key + " = " + value + ": expected "
                        + (key.equals(ON) ? "true or false" : values.containsKey(key) ? "a number"
                        : "one of " + ON + ", " + String.join(", ", values.keySet())));
            }
        }
        return on ? made(file, line, values) : null;
    }

    private static StormSettings made(Path file, int line, Map<String, Double> values) {
        try {
            return new StormSettings(values.get("outage_after"), values.get("again_share"),
                    values.get("again_calm"), values.get("owed_seconds"), values.get("owed_calm"),
                    values.get("quiet"), values.get("held_share"), values.get("margin"),
                            values.get("note_every"));
        } catch (IllegalArgumentException e) {
            throw new Mistake(file, line, "[" + STORM + "] " + e.getMessage());
        }
    }

    private static Map<String, Double> defaults() {
        StormSettings usual = StormSettings.USUAL;
        return new TreeMap<>(Map.of("outage_after", usual.outageAfter(), "again_share", usual.againShare(),
                "again_calm", usual.againCalm(), "owed_seconds", usual.owedSeconds(), "owed_calm",
                usual.owedCalm(), "quiet", usual.quiet(), "held_share", usual.heldShare(), "margin",
                usual.margin(), "note_every", usual.noteEvery()));
    }

    /** All keys with their defaults, as a file that could be read. */
    public static String shown() {
        StringBuilder out = new StringBuilder("[" + STORM + "]\n" + ON + " = true\n");
        defaults().forEach((key, value) -> out.append(key).append(" = ").append(value).append('\n'));
        return out.toString();
    }
}
