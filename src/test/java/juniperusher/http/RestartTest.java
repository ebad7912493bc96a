package juniperusher.http;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.eclipsesource.json.Json;
import com.eclipsesource.json.JsonObject;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import juniperusher.TestPorts;
import juniperusher.core.Counters;
import juniperusher.net.Network;
import org.junit.jupiter.api.Test;

/**
 * Guards against calls to a draining endpoint after a restart. A restarted relay that served clients before the first
 * answer of discovery used its last known list, which still named an endpoint whose drain counted as announced 0.76 s
 * earlier.
 */
class RestartTest {
    private static final long AGENT_DELAY_MILLIS = 150; // as with a slow agent, or a relay that has a share of one CPU

    /**
     * Submits one RPC as soon as the relay accepts clients. Returns the number of calls to the old endpoint, which
     * drains, and to the new one.
     */
    private static int[] callsToOldAndNewEndpoint(boolean restarted, FakeAgent.Behavior behavior) throws Exception {
        Path folder = Files.createTempDirectory("restart");
        Path state = Files.createDirectory(folder.resolve("state"));
        if (restarted) {
            Files.createFile(state.resolve("maintenance")); // a file of an earlier process
        }
        try (FakeEndpoint oldEndpoint = new FakeEndpoint();
                FakeEndpoint newEndpoint = new FakeEndpoint();
                FakeAgent agent = new FakeAgent(FakeAgent.list(
                        5,
                        true,
                        FakeAgent.server("a", oldEndpoint.port(), "draining"),
                        FakeAgent.server("b", newEndpoint.port(), "up")));
                Network network = new Network(1)) {
            agent.listDelayMillis = AGENT_DELAY_MILLIS;
            agent.behavior = behavior;
            int listen = TestPorts.unused();
            Config withoutEndpoints = FakeServer.config(folder, listen, agent.port());
            JsonObject json =
                    Json.parse(Files.readString(folder.resolve("c.json"))).asObject();
            json.set("known", Json.parse(FakeAgent.list(1, true, FakeAgent.server("a", oldEndpoint.port(), "up"))));
            Config withOldEndpoint = Config.read(Files.writeString(folder.resolve("known.json"), json.toString()));
            assertEquals(withoutEndpoints.listen(), withOldEndpoint.listen());
            Counters counters = new Counters();
            RelayServer relayServer = new RelayServer(withOldEndpoint, state, counters, network, null);
            try (Socket client = new Socket("127.0.0.1", listen)) {
                client.getOutputStream()
                        .write(("POST /aviso-push HTTP/1.1\r\nHost: a\r\nX-Call-Id: m\r\n"
                                        + "X-Call-Class: aviso-push\r\nX-Budget: 5000m\r\nContent-Length: 0\r\n"
                                        + "X-Envelope: dest=7\r\n\r\n")
                                .getBytes(StandardCharsets.US_ASCII));
                FakeServer.await(
                        "the call",
                        () -> counters.get("answered_total", "front", "http", "class", "0", "end", "delivered") == 1);
                return new int[] {oldEndpoint.callTimesMillis.size(), newEndpoint.callTimesMillis.size()};
            } finally {
                relayServer.close();
            }
        }
    }

    @Test
    void aRestartedRelayWaitsForDiscoveryBeforeServing() throws Exception {
        int[] calls = callsToOldAndNewEndpoint(true, FakeAgent.Behavior.NORMAL);
        assertEquals(0, calls[0], "calls to the draining endpoint");
        assertEquals(1, calls[1], "calls to the new endpoint");
    }

    @Test
    void aRestartedRelayServesFromItsSavedListIfDiscoveryDoesNotAnswer() throws Exception {
        assertEquals(1, callsToOldAndNewEndpoint(true, FakeAgent.Behavior.NO_RESPONSE)[0], "calls to the old endpoint");
    }

    @Test
    void aFirstStartServesFromTheConfiguredListWithoutWaiting() throws Exception {
        assertEquals(
                1, callsToOldAndNewEndpoint(false, FakeAgent.Behavior.NO_RESPONSE)[0], "calls to the old endpoint");
    }
}
