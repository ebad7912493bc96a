package juniperusher.http;

import com.eclipsesource.json.Json;
import com.eclipsesource.json.JsonObject;
import com.eclipsesource.json.JsonValue;
import com.eclipsesource.json.ParseException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import juniperusher.Protocol.Phase;
import juniperusher.membership.Entry;
import juniperusher.membership.Update;

/** Reads the platform's form of a list of endpoints, whole or of changes. */
public final class AgentList {
    private final List<String> kinds;
    private final List<String> zones;

    /** Knows kinds and zones by their names, in the settings' order. */
    public AgentList(List<String> kinds, List<String> zones) {
        this.kinds = List.copyOf(kinds);
        this.zones = List.copyOf(zones);
    }

    /**
     * What the text says.
     *
     * @throws IllegalArgumentException if it is no list: cut off, not JSON, or without its entries. One entry
     *     that cannot be read spoils itself alone.
     */
    public Update read(String text) {
        try {
            return read(Json.parse(text).asObject());
        } catch (ParseException | UnsupportedOperationException | NumberFormatException e) {
            throw new IllegalArgumentException("not a list of endpoints: " + e.getMessage(), e);
        }
    }

    Update read(JsonObject json) {
        JsonValue servers = json.get("servers");
        if (servers == null || !servers.isArray()) {
            throw new IllegalArgumentException("not a list of endpoints: 'servers' is missing");
        }
        List<Entry> entries = new ArrayList<>();
        Set<String> unread = new HashSet<>();
        for (JsonValue value : servers.asArray()) {
            String id = value.isObject() ? text(value.asObject(), "id") : "";
            if (id.isEmpty()) {
                continue; // it names nobody
            }
            try {
                entries.add(entry(id, value.asObject()));
            } catch (UnsupportedOperationException | IllegalArgumentException e) {
                unread.add(id);
            }
        }
        return new Update(json.getBoolean("full", true), json.getLong("version", 0), entries, unread);
    }

    private Entry entry(String id, JsonObject entry) {
        String addressText = text(entry, "addr");
        InetSocketAddress address = addressText.isEmpty() ? null : Config.address(addressText);
        Phase phase =
                switch (text(entry, "state")) {
                    case "up" -> Phase.READY;
                    case "removed" -> Phase.GONE;
                    // also for a state that is not known here: nothing new, but not forgotten
                    default -> Phase.DRAINING;
                };
        return new Entry(
                id,
                address,
                entry.getInt("cell", -1),
                Math.max(0, kinds.indexOf(text(entry, "kind"))),
                Math.max(0, zones.indexOf(text(entry, "zone"))),
                entry.getDouble("weight", 1),
                phase);
    }

    private static String text(JsonObject object, String name) {
        JsonValue value = object.get(name);
        return value != null && value.isString() ? value.asString() : "";
    }
}
