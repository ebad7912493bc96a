package juniperusher.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import juniperusher.TestPorts;
import juniperusher.core.Counters;
import juniperusher.net.Network;
import org.junit.jupiter.api.Test;

/** Replaces 1,000 endpoints at once while RPCs arrive at 100 per second. */
class EndpointReplacementTest {
    private static final int ENDPOINTS = 1_000;
    private static final int DESTINATIONS = 50;
    private static final int PORTS_PER_GENERATION = 10;
    private static final int RPCS = 300;
    private static final long RPC_GAP_MILLIS = 10;
    // How long replaced endpoints may still be called after the change was announced.
    private static final long GRACE_MILLIS = 500;

    /** Listed endpoints that share a few servers. */
    private static final class Generation implements AutoCloseable {
        private final List<FakeEndpoint> servers = new ArrayList<>();

        Generation() throws IOException {
            for (int i = 0; i < PORTS_PER_GENERATION; i++) {
                servers.add(new FakeEndpoint());
            }
        }

        List<Long> callTimesMillis() {
            return servers.stream()
                    .flatMap(server -> server.callTimesMillis.stream())
                    .toList();
        }

        String[] listEntries(String prefix, String state) {
            String[] out = new String[ENDPOINTS];
            for (int i = 0; i < ENDPOINTS; i++) {
                out[i] = FakeAgent.server(
                                prefix + i,
                                servers.get(i % PORTS_PER_GENERATION).port(),
                                state)
                        .replace("\"cell\":7", "\"cell\":" + i % DESTINATIONS);
            }
            return out;
        }

        @Override
        public void close() throws IOException {
            for (FakeEndpoint server : servers) {
                server.close();
            }
        }
    }

    @Test
    void replacedEndpointsGetNoCallsAfterTheGracePeriodAndNoRpcIsLost() throws Exception {
        Path folder = Files.createTempDirectory("replacement");
        try (Generation before = new Generation();
                Generation after = new Generation();
                FakeAgent agent = new FakeAgent(FakeAgent.list(1, true, before.listEntries("a", "up")));
                Network network = new Network(1)) {
            int listen = TestPorts.unused();
            Counters counters = new Counters();
            RelayServer relayServer = new RelayServer(
                    FakeServer.config(folder, listen, agent.port()), folder.resolve("state"), counters, network, null);
            try {
                FakeServer.await(
                        "ready endpoints",
                        () -> counters.text().contains("juniperusher_endpoints_ready " + (double) ENDPOINTS));
                long announcedMillis = replaceUnderLoad(agent, before, after, listen);
                FakeServer.await(
                        "deliveries",
                        () -> counters.get("answered_total", "front", "http", "class", "0", "end", "delivered")
                                == RPCS);
                long lateCalls = before.callTimesMillis().stream()
                        .filter(at -> at > announcedMillis + GRACE_MILLIS)
                        .count();
                assertEquals(0, lateCalls, "calls to endpoints that were replaced");
                assertTrue(
                        after.callTimesMillis().size() > RPCS / 4,
                        "only " + after.callTimesMillis().size() + " calls to new endpoints");
                assertEquals(
                        RPCS,
                        before.callTimesMillis().size()
                                + after.callTimesMillis().size(),
                        "calls");
            } finally {
                relayServer.close();
            }
        }
    }

    /** Submits the RPCs and replaces the endpoints meanwhile; returns the wall-clock time of the announcement. */
    private static long replaceUnderLoad(FakeAgent agent, Generation before, Generation after, int listen)
            throws Exception {
        AtomicInteger accepted = new AtomicInteger();
        long announcedMillis = 0;
        try (Socket client = new Socket("127.0.0.1", listen)) {
            client.setTcpNoDelay(true);
            InputStream in = client.getInputStream();
            for (int i = 0; i < RPCS; i++) {
                client.getOutputStream()
                        .write(("POST /aviso-push HTTP/1.1\r\nHost: a\r\nX-Call-Id: m" + i
                                        + "\r\nX-Call-Class: aviso-push\r\nX-Budget: 5000m\r\nContent-Length: 0"
                                        + "\r\nX-Envelope: dest="
                                        + i % DESTINATIONS + "\r\n\r\n")
                                .getBytes(StandardCharsets.US_ASCII));
                byte[] answer = new byte["HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n".length()];
                assertEquals(answer.length, in.readNBytes(answer, 0, answer.length));
                accepted.addAndGet(new String(answer, StandardCharsets.US_ASCII).contains("202") ? 1 : 0);
                Thread.sleep(RPC_GAP_MILLIS);
                if (i == RPCS / 3) {
                    agent.send(FakeAgent.list(2, false, after.listEntries("b", "up")));
                    agent.send(FakeAgent.list(3, false, before.listEntries("a", "draining")));
                    announcedMillis = System.currentTimeMillis();
                } else if (i == 2 * RPCS / 3) {
                    agent.send(FakeAgent.list(4, false, before.listEntries("a", "removed")));
                }
            }
        }
        assertEquals(RPCS, accepted.get(), "accepted");
        return announcedMillis;
    }
}
