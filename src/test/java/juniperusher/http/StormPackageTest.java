package juniperusher.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import juniperusher.TestPorts;
import juniperusher.core.Counters;
import juniperusher.net.Network;
import juniperusher.storm.StormSettings;
import org.junit.jupiter.api.Test;

/**
 * A relay with the storm package on, whose endpoint fails for a while: the outage is detected, and calls after the
 * recovery stay within the endpoint's cold capacity.
 */
class StormPackageTest {
    private static final int LISTED_CALLS_PER_SECOND = 40;
    private static final double COLD_SHARE = 0.14; // of the listed capacity at the recovery, as in the settings
    private static final double WARM_SECONDS = 13; // from the recovery to the full capacity, as in the settings
    private static final long WATCHED_MILLIS = 3_000; // after the recovery
    private static final double BURST_CALLS = 3; // calls that may start at once

    @Test
    void aRecoveringEndpointIsNotCalledFasterThanItsColdCapacity() throws Exception {
        Path folder = Files.createTempDirectory("storm");
        try (FakeEndpoint endpoint = new FakeEndpoint();
                FakeAgent agent = new FakeAgent("{}");
                Network network = new Network(1)) {
            int listen = TestPorts.unused();
            agent.list = FakeAgent.list(
                    1,
                    true,
                    FakeAgent.server("a", endpoint.port(), "up")
                            .replace("\"weight\":5.0", "\"weight\":" + LISTED_CALLS_PER_SECOND));
            Counters counters = new Counters();
            RelayServer relayServer = new RelayServer(
                    FakeServer.config(folder, listen, agent.port()),
                    folder.resolve("state"),
                    counters,
                    network,
                    null,
                    StormSettings.DEFAULT);
            try (Socket client = new Socket("127.0.0.1", listen)) {
                FakeServer.await(
                        "a ready endpoint", () -> counters.text().contains("juniperusher_endpoints_ready 1.0"));
                endpoint.status = "500 Broken";
                int number = 0;
                while (!counters.text().contains("juniperusher_storms_out 1.0")) {
                    assertTrue(number < 1_000, "the outage is not detected");
                    submit(client, number++);
                }
                endpoint.status = "200 OK";
                long recoveryMillis = 0;
                while (recoveryMillis == 0 || System.currentTimeMillis() < recoveryMillis + WATCHED_MILLIS) {
                    assertTrue(number < 3_000, "the recovery is not detected");
                    submit(client, number++);
                    if (recoveryMillis == 0 && counters.text().contains("juniperusher_storms_recovering 1.0")) {
                        recoveryMillis = System.currentTimeMillis();
                    }
                }
                double seconds = WATCHED_MILLIS / 1000.0;
                double capacity = LISTED_CALLS_PER_SECOND
                        * (COLD_SHARE + (1 - COLD_SHARE) * seconds / 2 / WARM_SECONDS)
                        * seconds;
                long startMillis = recoveryMillis;
                long calls = endpoint.callTimesMillis.stream()
                        .filter(at -> at >= startMillis && at < startMillis + WATCHED_MILLIS)
                        .count();
                assertTrue(calls <= capacity + BURST_CALLS, calls + " calls, capacity " + capacity);
                assertTrue(calls >= capacity / 3, "only " + calls + " calls, capacity " + capacity);
            } finally {
                relayServer.close();
            }
        }
    }

    private static void submit(Socket client, int number) throws Exception {
        client.getOutputStream()
                .write(("POST /aviso-push HTTP/1.1\r\nHost: a\r\nX-Call-Id: m" + number
                                + "\r\nX-Call-Class: aviso-push\r\nX-Budget: 5000m\r\nContent-Length: 0"
                                + "\r\nX-Envelope: dest=7\r\n\r\n")
                        .getBytes(StandardCharsets.US_ASCII));
        InputStream in = client.getInputStream();
        StringBuilder head = new StringBuilder();
        while (!head.toString().endsWith("\r\n\r\n")) {
            head.append((char) in.read());
        }
        assertTrue(List.of("202", "503").contains(head.substring(9, 12)), head.toString());
        Thread.sleep(20);
    }

    @Test
    void disabledPackagesLoadNoClasses() throws Exception {
        Process selftest = new ProcessBuilder(
                        Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                        "-Xlog:class+load:stdout",
                        "-cp",
                        System.getProperty("surefire.test.class.path", System.getProperty("java.class.path")),
                        "juniperusher.cli.Main",
                        "selftest")
                .redirectErrorStream(true)
                .start();
        List<String> loaded = new String(selftest.getInputStream().readAllBytes(), StandardCharsets.UTF_8)
                .lines()
                .toList();
        assertEquals(0, selftest.waitFor());
        assertTrue(
                loaded.stream().anyMatch(line -> line.contains("juniperusher.http.RelayServer ")),
                "no class loading was logged");
        assertEquals(
                List.of(),
                loaded.stream()
                        .filter(line -> line.contains("juniperusher.storm.")
                                || line.contains("juniperusher.settings.")
                                || line.contains("juniperusher.lab.")
                                || line.contains("org.tomlj.")
                                || line.contains("juniperusher.amqp."))
                        .toList());
    }
}
