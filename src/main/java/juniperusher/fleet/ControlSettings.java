package juniperusher.fleet;

import com.eclipsesource.json.JsonObject;
import java.nio.file.Path;
import java.util.List;

/**
 * The table {@code [control]} of a control process.
 *
 * @param listen where subscribers connect, as host:port
 * @param state the folder that lasts
 * @param upstream the control processes that it follows; none for the leader
 * @param relays file that names the relays of the first map, or null
 * @param destinations that the first map covers
 * @param term the least term to lead under
 * @param operator loopback host:port for the operator's lines, or null
 */
public record ControlSettings(
        String listen,
        Path state,
        List<String> upstream,
        Path relays,
        int destinations,
        int rangesPerRelay,
        long term,
        String operator,
        int maxSubscribers,
        int maxMapBytes) {
    /** From the table, which its schema has checked and filled with defaults. */
    public static ControlSettings of(JsonObject table) {
        String relays = table.getString("relays", "");
        String operator = table.getString("operator", "");
        return new ControlSettings(
                table.getString("listen", ""),
                Path.of(table.getString("state", "")),
                FleetSettings.texts(table, "upstream"),
                relays.isEmpty() ? null : Path.of(relays),
                table.get("destinations").asInt(),
                table.get("ranges_per_relay").asInt(),
                table.get("term").asLong(),
                operator.isEmpty() ? null : operator,
                table.get("max_subscribers").asInt(),
                table.get("max_map_bytes").asInt());
    }

    /** Whether the process leads. */
    public boolean leads() {
        return upstream.isEmpty();
    }
}
