package juniperusher.http;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import juniperusher.TestPorts;
import juniperusher.core.Counters;
import juniperusher.net.Network;
import org.junit.jupiter.api.Test;

/** Requests that arrive in two parts or only in part, from clients that stop sending or disconnect. */
class PartialRequestTest {
    private static final byte[] ACCEPTED =
            "HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n".getBytes(StandardCharsets.US_ASCII);

    private static byte[] message(String id) {
        return ("POST /aviso-push HTTP/1.1\r\nHost: a\r\nX-Call-Id: " + id
                        + "\r\nX-Call-Class: aviso-push\r\nX-Budget: 5000m\r\nContent-Length: 4\r\nX-Envelope: dest=7"
                        + "\r\n\r\nbody")
                .getBytes(StandardCharsets.US_ASCII);
    }

    /** The actions of clients on a relay that listens on {@code port}. */
    private interface Client {
        void act(int port, Counters counters) throws Exception;
    }

    private static void withRelay(Client client) throws Exception {
        Path folder = Files.createTempDirectory("partial");
        try (FakeEndpoint endpoint = new FakeEndpoint();
                FakeAgent agent = new FakeAgent(FakeAgent.list(1, true, FakeAgent.server("a", endpoint.port(), "up")));
                Network network = new Network(1)) {
            int listen = TestPorts.unused();
            Counters counters = new Counters();
            RelayServer relayServer = new RelayServer(
                    FakeServer.config(folder, listen, agent.port()), folder.resolve("state"), counters, network, null);
            try {
                FakeServer.await("the list", () -> counters.text().contains("juniperusher_endpoints_ready 1.0"));
                client.act(listen, counters);
                FakeServer.await(
                        "no open connection", () -> network.inboundConnections().size() == 0);
            } finally {
                relayServer.close();
            }
        }
    }

    @Test
    void aMessageSplitAtAnyByteIsAcceptedOnceAndDelivered() throws Exception {
        withRelay((port, counters) -> {
            int cuts = message("m1000").length;
            try (Socket client = new Socket("127.0.0.1", port)) {
                client.setTcpNoDelay(true);
                client.setSoTimeout(5_000);
                InputStream in = client.getInputStream();
                for (int cut = 1; cut < cuts; cut++) {
                    byte[] bytes = message("m" + (1_000 + cut));
                    client.getOutputStream().write(bytes, 0, cut);
                    client.getOutputStream().flush();
                    // Makes it likely that the parts are read separately; the result must not depend on it.
                    Thread.sleep(1);
                    client.getOutputStream().write(bytes, cut, bytes.length - cut);
                    assertEquals(
                            new String(ACCEPTED, StandardCharsets.US_ASCII),
                            new String(in.readNBytes(ACCEPTED.length), StandardCharsets.US_ASCII),
                            "cut at " + cut);
                }
            }
            FakeServer.await(
                    "deliveries",
                    () -> counters.get("answered_total", "front", "http", "class", "0", "end", "delivered")
                            == cuts - 1);
        });
    }

    @Test
    void clientsThatDisconnectOrStopSendingLeaveNoConnection() throws Exception {
        withRelay((port, counters) -> {
            List<Socket> stalled = new ArrayList<>();
            byte[] bytes = message("never");
            for (int i = 0; i < 60; i++) {
                Socket socket = new Socket("127.0.0.1", port);
                socket.getOutputStream().write(bytes, 0, i % (bytes.length - 1));
                if (i % 2 == 0) {
                    socket.close();
                } else {
                    stalled.add(socket); // sends nothing more and stays open on this side
                }
            }
            FakeServer.await(
                    "each stalled request is refused",
                    () -> counters.get("unreadable_total", "status", "408") == stalled.size());
            FakeServer.await(
                    "the relay closes all connections",
                    () -> counters.text().contains("juniperusher_connections_in 0.0"));
            assertEquals(0, counters.get("taken_total", "front", "http", "class", "0"));
            for (Socket socket : stalled) {
                socket.close();
            }
        });
    }
}
