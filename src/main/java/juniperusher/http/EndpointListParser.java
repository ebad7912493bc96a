package juniperusher.http;

import com.eclipsesource.json.JsonObject;
import com.eclipsesource.json.JsonValue;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import juniperusher.Protocol.Phase;
import juniperusher.membership.EndpointEntry;
import juniperusher.membership.EndpointUpdate;
import juniperusher.net.PeerJson;

/** Parses the JSON format in which discovery's agent lists endpoints, a full list or a change. Thread-safe. */
public final class EndpointListParser {
    // Above the indexes of all listed zones.
    private static final int UNLISTED_ZONES = 1 << 30;

    private final List<String> kinds;
    private final List<String> zones;

    /** Creates a parser that maps the names of kinds and zones to their indexes in these lists. */
    public EndpointListParser(List<String> kinds, List<String> zones) {
        this.kinds = List.copyOf(kinds);
        this.zones = List.copyOf(zones);
    }

    /**
     * Parses a list. An entry that cannot be parsed does not affect the others: its id is returned among the
     * unreadable ones, and an entry without an id is dropped.
     *
     * @throws IllegalArgumentException if the text is truncated, is not JSON, or has no array of entries
     */
    public EndpointUpdate parse(String text) {
        try {
            return parse(parseObject(text));
        } catch (UnsupportedOperationException | NumberFormatException e) {
            throw new IllegalArgumentException("not a list of endpoints: " + e.getMessage(), e);
        }
    }

    private static JsonObject parseObject(String text) {
        try {
            return PeerJson.parse(text).asObject();
        } catch (IllegalArgumentException e) {
            throw new IllegalArgumentException("not a list of endpoints: " + e.getMessage(), e);
        }
    }

    EndpointUpdate parse(JsonObject json) {
        JsonValue servers = json.get("servers");
        if (servers == null || !servers.isArray()) {
            throw new IllegalArgumentException("not a list of endpoints: 'servers' is missing");
        }
        List<EndpointEntry> entries = new ArrayList<>();
        Set<String> unreadableIds = new HashSet<>();
        for (JsonValue value : servers.asArray()) {
            String id = value.isObject() ? text(value.asObject(), "id") : "";
            if (id.isEmpty()) {
                continue; // there is no endpoint to assign it to
            }
            try {
                entries.add(entry(id, value.asObject()));
            } catch (UnsupportedOperationException | IllegalArgumentException e) {
                unreadableIds.add(id);
            }
        }
        return new EndpointUpdate(json.getBoolean("full", true), json.getLong("version", 0), entries, unreadableIds);
    }

    private EndpointEntry entry(String id, JsonObject entry) {
        String addressText = text(entry, "addr");
        InetSocketAddress address = addressText.isEmpty() ? null : Config.address(addressText);
        Phase phase =
                switch (text(entry, "state")) {
                    case "up" -> Phase.READY;
                    case "removed" -> Phase.GONE;
                    // Also for an unknown state: the endpoint gets no new calls but stays in the list.
                    default -> Phase.DRAINING;
                };
        return new EndpointEntry(
                id,
                address,
                entry.getInt("cell", -1),
                Math.max(0, kinds.indexOf(text(entry, "kind"))),
                zoneIndex(entry.get("zone") == null ? "endpoint " + id : text(entry, "zone")),
                entry.getDouble("weight", 1),
                phase);
    }

    /**
     * Index of a zone. A zone that the settings do not list gets an index from its name, the same in each process: it
     * must not count as a listed zone, whose endpoints drop repeats that its own do not.
     */
    private int zoneIndex(String name) {
        int index = zones.indexOf(name);
        return index >= 0 ? index : UNLISTED_ZONES | name.hashCode() & UNLISTED_ZONES - 1;
    }

    private static String text(JsonObject object, String name) {
        JsonValue value = object.get(name);
        return value != null && value.isString() ? value.asString() : "";
    }
}
