package juniperusher.http;

import com.eclipsesource.json.Json;
import com.eclipsesource.json.JsonArray;
import com.eclipsesource.json.JsonObject;
import com.eclipsesource.json.JsonValue;
import java.io.Closeable;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Function;
import java.util.stream.Stream;
import juniperusher.core.Counters;
import juniperusher.net.Network;
import org.eclipse.jetty.io.ByteArrayEndPoint;
import org.eclipse.jetty.io.Connection;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.util.BufferUtil;

/**
 * Runs RPCs through an in-memory relay before the first start of the real one, so that the JIT compiler has compiled
 * the code they need before clients connect. On a share of one CPU, compilation would otherwise take the first seconds
 * of service, and clients wait only 400 ms for an answer. No socket is opened and nothing is visible from outside. A
 * restart skips the warm-up, since clients are already waiting.
 */
public final class WarmUp {
    private static final int MAX_RPCS = 600;
    private static final int RPCS_PER_BURST = 6; // submitted before the relay gets time to call the endpoints
    private static final long BURST_GAP_MILLIS = 6; // longer than a round of the decision loop
    private static final byte[] OK_RESPONSE = ("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n"
                    + "X-Load-Report: x0=0.5,x1=100\r\n\r\n")
            .getBytes(StandardCharsets.US_ASCII);

    private WarmUp() {}

    /**
     * Runs the warm-up, unless files in {@code state} show that a process has run there before.
     *
     * @param millis the time limit for submitting RPCs
     * @return the number of RPCs delivered; 0 if skipped
     */
    public static long run(Config config, Path state, long millis) throws Exception {
        if (RelayServer.hasState(state)) {
            return 0;
        }
        String temporaryFolder = System.getenv("TMPDIR"); // the only writable folder on the platform
        Path folder = temporaryFolder == null
                ? Files.createTempDirectory("warm-up")
                : Files.createTempDirectory(Path.of(temporaryFolder), "warm-up");
        InMemoryNetwork network = new InMemoryNetwork();
        try (RelayServer relayServer = new RelayServer(config.withoutPeers(), folder, new Counters(), network, null)) {
            List<Integer> destinations = new ArrayList<>();
            for (JsonValue server : config.knownEndpoints().get("servers").asArray()) {
                destinations.add(server.asObject().getInt("cell", 0));
            }
            long untilNanos = System.nanoTime() + millis * 1_000_000;
            for (int i = 0; i < MAX_RPCS && System.nanoTime() < untilNanos && !destinations.isEmpty(); i++) {
                network.submit(
                        i,
                        config.classNames().get(i % config.classNames().size()),
                        destinations.get(i % destinations.size()));
                if (i % RPCS_PER_BURST == 0) {
                    Thread.sleep(BURST_GAP_MILLIS);
                }
                network.answerCalls();
            }
            return relayServer.counters().get("attempts_total", "end", "delivered");
        } finally {
            try (Stream<Path> files = Files.walk(folder)) {
                for (Path path : files.sorted(Comparator.reverseOrder()).toList()) {
                    Files.delete(path);
                }
            }
        }
    }

    /**
     * Parses a change of the endpoint list as it would arrive on the watch; true if that succeeds. The build calls this
     * when it records the classes to preload, because loading the parser's classes one by one would delay a start.
     */
    public static boolean parsesChange() {
        List<String> changes = new ArrayList<>();
        String change = "{\n \"version\": 1}";
        new JsonObjectSplitter(100, changes::add, changes::add).add((change + '\n').getBytes(StandardCharsets.UTF_8));
        return changes.equals(List.of(change));
    }

    /** A network whose connections end in this process: one client, and endpoints that answer every call. */
    private static final class InMemoryNetwork extends Network {
        private final List<ByteArrayEndPoint> callEndPoints = new CopyOnWriteArrayList<>();
        private Function<EndPoint, Connection> connectionFactory;
        private ByteArrayEndPoint clientEndPoint;

        InMemoryNetwork() throws Exception {
            super(1);
        }

        @Override
        public Closeable listen(InetSocketAddress address, Function<EndPoint, Connection> factory) {
            connectionFactory = factory;
            return () -> {};
        }

        @Override
        public void connect(InetSocketAddress address, ConnectListener listener) {
            ByteArrayEndPoint endPoint = newEndPoint();
            callEndPoints.add(endPoint);
            open(endPoint, listener.connected(endPoint));
        }

        private ByteArrayEndPoint newEndPoint() {
            ByteArrayEndPoint endPoint = new ByteArrayEndPoint(scheduler(), 0) {
                @Override
                protected void execute(Runnable task) {
                    threads().execute(task);
                }
            };
            endPoint.setGrowOutput(true);
            return endPoint;
        }

        private static void open(ByteArrayEndPoint endPoint, Connection connection) {
            endPoint.setConnection(connection);
            endPoint.onOpen();
            connection.onOpen();
        }

        void submit(int number, String className, int destination) {
            if (clientEndPoint == null || !clientEndPoint.isOpen()) {
                clientEndPoint = newEndPoint();
                open(clientEndPoint, connectionFactory.apply(clientEndPoint));
            }
            clientEndPoint.takeOutput();
            clientEndPoint.addInput("POST /" + className + " HTTP/1.1\r\nHost: relay\r\nX-Call-Id: warm-up-" + number
                    + "\r\nX-Call-Class: " + className + "\r\nX-Budget: 5000m\r\nX-Envelope: dest=" + destination
                    + "\r\nContent-Length: 200\r\n\r\n" + "x".repeat(200));
        }

        /** Answers all calls in flight as delivered. */
        void answerCalls() throws IOException {
            for (ByteArrayEndPoint call : callEndPoints) {
                String request = BufferUtil.toString(call.takeOutput(), StandardCharsets.US_ASCII);
                if (request.startsWith("POST /receive-many")) {
                    String body = batchAnswer(request.substring(request.indexOf("\r\n\r\n") + 4));
                    call.addInput("HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body);
                } else if (request.startsWith("POST /status")) {
                    call.addInput("HTTP/1.1 204 No Content\r\n\r\n");
                } else if (request.startsWith("POST")) {
                    call.addInput(BufferUtil.toBuffer(OK_RESPONSE));
                }
            }
        }

        private static String batchAnswer(String request) {
            JsonArray results = new JsonArray();
            Json.parse(request)
                    .asArray()
                    .forEach(entry -> results.add(new JsonObject()
                            .add("id", entry.asObject().get("id"))
                            .add("state", "delivered")));
            return results.toString();
        }
    }
}
