package juniperusher.fleet;

import com.eclipsesource.json.JsonObject;
import com.eclipsesource.json.JsonValue;
import java.util.ArrayList;
import java.util.List;

/**
 * The settings of a relay's fleet membership, from the table {@code [fleet]}.
 *
 * @param controlAddresses host:port of the control processes, in order of preference
 * @param region the relay's region
 * @param zone the relay's zone
 * @param staleAfterSeconds age from which the map counts as stale
 * @param maxMapBytes size limit of an encoded map
 */
public record FleetSettings(
        List<String> controlAddresses, String region, String zone, double staleAfterSeconds, int maxMapBytes) {
    /** Reads the settings from the table, which has been validated and filled with defaults by its schema. */
    public static FleetSettings of(JsonObject table) {
        return new FleetSettings(
                strings(table, "control"),
                table.getString("region", ""),
                table.getString("zone", ""),
                table.get("stale_after").asDouble(),
                table.get("max_map_bytes").asInt());
    }

    static List<String> strings(JsonObject table, String key) {
        List<String> strings = new ArrayList<>();
        for (JsonValue value : table.get(key).asArray()) {
            strings.add(value.asString());
        }
        return List.copyOf(strings);
    }
}
