package juniperusher.cli;

import com.eclipsesource.json.Json;
import com.eclipsesource.json.JsonArray;
import com.eclipsesource.json.JsonObject;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import juniperusher.core.CallEnd;
import juniperusher.core.Counters;
import juniperusher.http.Config;
import juniperusher.http.RelayServer;
import juniperusher.http.WarmUp;
import juniperusher.net.HttpMessage;
import juniperusher.net.HttpPool;
import juniperusher.net.Network;

/**
 * Starts a relay on loopback, sends it one RPC and stops it. This checks that the program works on the machine, and
 * the build runs it to record the classes that a start needs in an archive, which shortens restarts.
 */
final class SelfTest {
    private SelfTest() {}

    /** Runs the test and returns the exit code; throws if a check fails. */
    static int run() throws Exception {
        String temporaryRoot = System.getenv("TMPDIR"); // the only folder that is writable on the platform
        Path folder = temporaryRoot == null
                ? Files.createTempDirectory("juniperusher")
                : Files.createTempDirectory(Path.of(temporaryRoot), "juniperusher");
        try {
            JsonObject configuration;
            try (InputStream in = SelfTest.class.getResourceAsStream("/selftest.json")) {
                configuration = Json.parse(new InputStreamReader(in, StandardCharsets.UTF_8))
                        .asObject();
            }
            InetSocketAddress listen = unusedAddress();
            configuration
                    .set("listen", "127.0.0.1:" + listen.getPort())
                    .set("discovery", "127.0.0.1:" + unusedAddress().getPort());
            configuration
                    .get("known")
                    .asObject()
                    .set(
                            "servers",
                            new JsonArray()
                                    .add(new JsonObject()
                                            .add("id", "s-1")
                                            .add(
                                                    "addr",
                                                    "127.0.0.1:"
                                                            + unusedAddress().getPort())
                                            .add("cell", 7)
                                            .add("state", "up")));
            Files.writeString(folder.resolve("relay.json"), configuration.toString());
            Config config = Config.read(folder.resolve("relay.json"));
            Network network = new Network(1);
            try (RelayServer relayServer =
                    new RelayServer(config, folder.resolve("state"), new Counters(), network, null)) {
                HttpPool pool = new HttpPool(network, 1, 8);
                requireStatus(pool, listen, HttpMessage.request("GET", "/up", new byte[0], "Host", "relay"), 200);
                requireStatus(
                        pool,
                        listen,
                        HttpMessage.request(
                                "POST",
                                "/aviso-push",
                                new byte[] {1},
                                "Host",
                                "relay",
                                "X-Call-Id",
                                "selftest",
                                "X-Call-Class",
                                "aviso-push",
                                "X-Budget",
                                "5000m",
                                "X-Envelope",
                                "dest=7"),
                        202);
                if (relayServer.counters().get("taken_total", "front", "http", "class", "0") != 1) {
                    throw new IOException("the relay did not count the RPC that it accepted");
                }
                if (!WarmUp.parsesChange()) {
                    throw new IOException("the relay cannot read a change of the list of endpoints");
                }
            }
            System.out.println("juniperusher: a relay started, answered and accepted an RPC");
            return 0;
        } finally {
            try (Stream<Path> files = Files.walk(folder)) {
                for (Path path : files.sorted(Comparator.reverseOrder()).toList()) {
                    Files.delete(path);
                }
            }
        }
    }

    private static InetSocketAddress unusedAddress() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            return new InetSocketAddress("127.0.0.1", socket.getLocalPort());
        }
    }

    private static void requireStatus(HttpPool pool, InetSocketAddress address, HttpMessage request, int expectedStatus)
            throws Exception {
        CompletableFuture<Integer> status = new CompletableFuture<>();
        pool.exchange(address, request, () -> true, new HttpPool.Listener() {
            @Override
            public void answered(HttpMessage response) {
                status.complete(response.status());
            }

            @Override
            public void ended(CallEnd end, int statusLineCode) {
                status.completeExceptionally(new IOException("no answer: " + end));
            }
        });
        int actualStatus = status.get(5, TimeUnit.SECONDS);
        if (actualStatus != expectedStatus) {
            throw new IOException(
                    "answered " + actualStatus + " instead of " + expectedStatus + " to " + request.startLine());
        }
    }
}
