package juniperusher.fleet;

import com.eclipsesource.json.JsonObject;
import java.nio.file.Path;
import java.util.List;

/**
 * The settings of a control process, from the table {@code [control]}.
 *
 * @param listenAddress host:port on which subscribers connect
 * @param stateFolder the persistent folder
 * @param upstream host:port of the control processes to follow; empty for the leader
 * @param relayListFile file that lists the relays of the first map; null if the saved map is used
 * @param destinationCount number of destinations in the first map
 * @param rangesPerRelay number of ranges that each relay owns in the first map
 * @param minTerm the lowest term to lead under
 * @param operatorAddress loopback host:port of the operator port, or null for none
 * @param maxSubscribers limit on relays that subscribe at the same time
 * @param maxMapBytes size limit of an encoded map
 */
public record ControlSettings(
        String listenAddress,
        Path stateFolder,
        List<String> upstream,
        Path relayListFile,
        int destinationCount,
        int rangesPerRelay,
        long minTerm,
        String operatorAddress,
        int maxSubscribers,
        int maxMapBytes) {
    /** Reads the settings from the table, which has been validated and filled with defaults by its schema. */
    public static ControlSettings of(JsonObject table) {
        String relays = table.getString("relays", "");
        String operator = table.getString("operator", "");
        return new ControlSettings(
                table.getString("listen", ""),
                Path.of(table.getString("state", "")),
                FleetSettings.strings(table, "upstream"),
                relays.isEmpty() ? null : Path.of(relays),
                table.get("destinations").asInt(),
                table.get("ranges_per_relay").asInt(),
                table.get("term").asLong(),
                operator.isEmpty() ? null : operator,
                table.get("max_subscribers").asInt(),
                table.get("max_map_bytes").asInt());
    }

    /** Whether the process is the leader. */
    public boolean leads() {
        return upstream.isEmpty();
    }
}
