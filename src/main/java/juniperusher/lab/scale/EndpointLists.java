package juniperusher.lab.scale;

import com.eclipsesource.json.JsonArray;
import com.eclipsesource.json.JsonObject;

/** Lists of endpoints in the form in which discovery sends them, one endpoint for each destination. */
final class EndpointLists {
    static final String KIND = "pequeno-projeto";
    static final String ZONE = "lisboa-1";

    private static final int ADDRESSES = 250; // in each part of an address

    private EndpointLists() {}

    /** A full list of so many endpoints. */
    static JsonObject whole(int endpoints) {
        JsonArray servers = new JsonArray();
        for (int i = 0; i < endpoints; i++) {
            servers.add(endpoint(i, "up"));
        }
        return list(1, true, servers);
    }

    /** A change that names one endpoint. */
    static JsonObject change(long version, int number, String state) {
        return list(version, false, new JsonArray().add(endpoint(number, state)));
    }

    private static JsonObject list(long version, boolean full, JsonArray servers) {
        return new JsonObject().add("version", version).add("full", full).add("servers", servers);
    }

    private static JsonObject endpoint(int number, String state) {
        String address = "10." + number / ADDRESSES / ADDRESSES % ADDRESSES + '.' + number / ADDRESSES % ADDRESSES + '.'
                + number % ADDRESSES + ":8443";
        return new JsonObject()
                .add("id", "s-" + number)
                .add("addr", address)
                .add("zone", ZONE)
                .add("kind", KIND)
                .add("cell", number)
                .add("state", state)
                .add("weight", 60.0)
                .add("started_ms", 1_796_000_000_000L);
    }
}
