package juniperusher.faults;

import com.eclipsesource.json.Json;
import com.eclipsesource.json.JsonArray;
import com.eclipsesource.json.JsonObject;
import java.io.IOException;
import java.util.List;
import java.util.function.IntFunction;

/** Discovery's agent and the platform's status reports at one address; it can fall silent. */
final class PlatformStandIn extends HttpStandIn {
    private static final int HEARTBEAT = 2_000; // ms between two lines of a watch that has nothing to say

    private final MessageLedger ledger;
    private volatile String list = "";
    private volatile boolean discoverySilent;

    PlatformStandIn(MessageLedger ledger) throws IOException {
        this.ledger = ledger;
    }

    /** Sets the list of endpoints, one destination each, whose places are their destinations. */
    JsonArray serve(List<EndpointStandIn> endpoints, String zone, IntFunction<String> kinds) {
        JsonArray servers = new JsonArray();
        for (int i = 0; i < endpoints.size(); i++) {
            servers.add(new JsonObject()
                    .add("id", "s-" + i)
                    .add("addr", "127.0.0.1:" + endpoints.get(i).port())
                    .add("zone", zone)
                    .add("kind", kinds.apply(i))
                    .add("cell", i)
                    .add("state", "up")
                    .add("weight", 200)
                    .add("started_ms", 0));
        }
        list = new JsonObject()
                .add("version", 1)
                .add("full", true)
                .add("servers", servers)
                .toString();
        return servers;
    }

    /** Whether discovery answers nothing; status reports are still acknowledged. */
    void discoverySilent(boolean silent) {
        discoverySilent = silent;
    }

    @Override
    boolean handle(Request request, Connection connection) throws IOException {
        if (request.path().equals("/status")) {
            for (String line : request.text().split("\n")) {
                JsonObject report = Json.parse(line).asObject();
                ledger.reported(report.getString("message", ""), report.getString("outcome", ""));
            }
            connection.write("HTTP/1.1 204 No Content\r\n\r\n");
            return true;
        }
        if (discoverySilent) {
            return !connection.endsWithin(HEARTBEAT * 5L);
        }
        if (!request.path().contains("stream=1")) {
            connection.answer("200 OK", "", list);
            return true;
        }
        connection.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
        while (!connection.endsWithin(HEARTBEAT)) {
            if (!discoverySilent) {
                connection.write("1\r\n\n\r\n");
            }
        }
        return false;
    }
}
