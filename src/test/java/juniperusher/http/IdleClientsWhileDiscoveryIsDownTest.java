package juniperusher.http;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.eclipsesource.json.Json;
import com.eclipsesource.json.JsonArray;
import com.eclipsesource.json.JsonObject;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import juniperusher.TestPorts;
import juniperusher.core.Counters;
import juniperusher.net.ExchangePlayer;
import juniperusher.net.Network;
import org.testng.annotations.Test;

/**
 * Guards against idle clients that use up the connections while discovery does not answer: the relay must still be able
 * to request the list, and to serve a client that sends a request.
 */
public class IdleClientsWhileDiscoveryIsDownTest {
    private static final int DESCRIPTORS = 64;
    private static final int MAX_INBOUND = 28; // the share of the descriptors for client connections
    private static final String LIST = "{\"version\":1,\"full\":true,\"servers\":[{\"id\":\"e-1\",\"addr\":"
            + "\"127.0.0.1:%d\",\"zone\":\"lisboa-1\",\"kind\":\"pequeno-projeto\",\"cell\":7,"
            + "\"state\":\"up\",\"weight\":1.0,\"started_ms\":0}]}";

    @Test
    public void theListIsReceivedAndAClientWithARequestIsServed() throws Exception {
        Path folder = Files.createTempDirectory("crowd");
        List<Socket> idle = new ArrayList<>();
        try (ExchangePlayer player = new ExchangePlayer();
                Network network = new Network(1, DESCRIPTORS)) {
            int listen = TestPorts.unused();
            player.client("client", listen);
            JsonObject json = Json.parse(Files.readString(Path.of("src/main/resources/selftest.json")))
                    .asObject();
            json.set("listen", "127.0.0.1:" + listen).set("discovery", "127.0.0.1:" + player.server("platform"));
            json.get("limits").asObject().set("sockets", DESCRIPTORS);
            json.get("known").asObject().set("servers", new JsonArray());
            Config config = Config.read(Files.writeString(folder.resolve("relay.json"), json.toString()));
            Counters counters = new Counters();
            RelayServer relayServer = new RelayServer(config, folder.resolve("state"), counters, network, null);
            try {
                for (int i = 0; i < 4 * DESCRIPTORS; i++) {
                    idle.add(new Socket("127.0.0.1", listen));
                }
                String list = String.format(LIST, player.server("endpoint"));
                String asked = "< GET /discovery/hosts HTTP/1.1\\r\\nHost: discovery\\r\\n\\r\\n\n";
                player.play(Files.writeString(
                        folder.resolve("exchange.txt"),
                        "platform1" + asked
                                + "platform2" + asked // the first gets no answer
                                + "platform2> HTTP/1.1 200 OK\\r\\nContent-Length: " + list.length() + "\\r\\n\\r\\n"
                                + list + "\nplatform3< GET /discovery/hosts?stream=1&index=1 HTTP/1.1\\r\\n"
                                + "Host: discovery\\r\\n\\r\\n\n"));
                assertTrue(
                        network.inboundConnections().size() <= MAX_INBOUND,
                        network.inboundConnections().size() + " clients are connected");
                player.play(Files.writeString(
                        folder.resolve("exchange.txt"),
                        "client1> POST /aviso-push HTTP/1.1\\r\\nHost: a\\r\\nX-Call-Id: m1\\r\\n"
                                + "X-Call-Class: aviso-push\\r\\nX-Budget: 5000m\\r\\nContent-Length: 0\\r\\n"
                                + "X-Envelope: dest=7\\r\\n\\r\\n\n"
                                + "client1< HTTP/1.1 202 Accepted\\r\\nConnection: close\\r\\n\\r\\n\n"
                                + "endpoint1< POST /receive HTTP/1.1\\r\\nHost: endpoint\\r\\nX-Call-Id: m1\\r\\n"
                                + "X-Budget: {*}m\\r\\nContent-Length: 0\\r\\n\\r\\n\n"
                                + "endpoint1> HTTP/1.1 200 OK\\r\\nContent-Length: 0\\r\\n\\r\\n\n"));
                FakeServer.await(
                        "a delivery",
                        () -> counters.get("answered_total", "front", "http", "class", "0", "end", "delivered") == 1);
                assertEquals(counters.get("membership_failures_total"), 0L);
            } finally {
                relayServer.close();
                for (Socket one : idle) {
                    one.close();
                }
            }
        }
    }
}
