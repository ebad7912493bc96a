package juniperusher.fleet;

import com.eclipsesource.json.JsonObject;
import com.eclipsesource.json.JsonValue;
import java.util.ArrayList;
import java.util.List;

/**
 * The table {@code [fleet]} of a relay.
 *
 * @param control host:port of the control processes, in the file's order
 * @param staleAfter seconds without word of a control process after which the map counts as stale
 * @param maxMapBytes of the largest map that is taken
 */
public record FleetSettings(List<String> control, String region, String zone, double staleAfter, int maxMapBytes) {
    /** From the table, which its schema has checked and filled with defaults. */
    public static FleetSettings of(JsonObject table) {
        return new FleetSettings(
                texts(table, "control"),
                table.getString("region", ""),
                table.getString("zone", ""),
                table.get("stale_after").asDouble(),
                table.get("max_map_bytes").asInt());
    }

    static List<String> texts(JsonObject table, String key) {
        List<String> texts = new ArrayList<>();
        for (JsonValue value : table.get(key).asArray()) {
            texts.add(value.asString());
        }
        return List.copyOf(texts);
    }
}
