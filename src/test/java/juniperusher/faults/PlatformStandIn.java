package juniperusher.faults;

import com.eclipsesource.json.Json;
import com.eclipsesource.json.JsonArray;
import com.eclipsesource.json.JsonObject;
import java.io.IOException;
import java.util.List;
import java.util.Random;
import java.util.function.IntFunction;

/** The discovery agent and the receiver of status reports at one address; discovery can become unresponsive. */
final class PlatformStandIn extends HttpStandIn {
    private static final int HEARTBEAT_MILLIS = 2_000; // between two empty lines of a watch without changes

    private final MessageLedger ledger;
    private volatile String endpointList = "";
    private volatile boolean discoverySilent;
    private volatile double resetShare;
    private final Random random = new Random(1);

    PlatformStandIn(MessageLedger ledger) throws IOException {
        this.ledger = ledger;
    }

    /** Sets and returns the list of endpoints; the index of an endpoint is also its destination. */
    JsonArray setEndpoints(List<EndpointStandIn> endpoints, String zone, IntFunction<String> kinds) {
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
        endpointList = new JsonObject()
                .add("version", 1)
                .add("full", true)
                .add("servers", servers)
                .toString();
        return servers;
    }

    /** Makes discovery unresponsive or responsive again. Status reports are acknowledged in both states. */
    void setDiscoverySilent(boolean silent) {
        discoverySilent = silent;
    }

    /** Sets the share of posts with status reports whose connection is reset, as if they had not been read. */
    void setResetShare(double share) {
        resetShare = share;
    }

    @Override
    boolean handle(Request request, Connection connection) throws IOException {
        if (request.path().equals("/status")) {
            if (random.nextDouble() < resetShare) {
                connection.reset(); // as if it had not been read
                return false;
            }
            for (String line : request.text().split("\n")) {
                JsonObject report = Json.parse(line).asObject();
                ledger.reported(report.getString("message", ""), report.getString("outcome", ""));
            }
            answer(connection, "204 No Content", "", "");
            return true;
        }
        if (discoverySilent) {
            return !connection.closedByPeerWithin(HEARTBEAT_MILLIS * 5L);
        }
        if (!request.path().contains("stream=1")) {
            answer(connection, "200 OK", "", endpointList);
            return true;
        }
        connection.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
        while (!connection.closedByPeerWithin(HEARTBEAT_MILLIS)) {
            if (!discoverySilent) {
                connection.write("1\r\n\n\r\n");
            }
        }
        return false;
    }
}
