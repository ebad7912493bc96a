package juniperusher.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.eclipsesource.json.Json;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Supplier;
import juniperusher.core.RpcEnd;
import juniperusher.net.HttpPool;
import juniperusher.net.Network;
import juniperusher.status.ReportTiming;
import org.junit.jupiter.api.Test;

/** Status reports to a platform that answers late, or whose connections become unresponsive. */
class StatusReporterTest {
    private static final int REPORTS = 250;
    // One post every 200 ms: even on a slow machine all 250 reports are queued before the second post.
    private static final ReportTiming SLOW_HEDGES = new ReportTiming(100, 8, 200, 200, 1_600, 50);
    private static final int ROUNDS = 5;
    // The platform's time limit for the report of an RPC that ended just before its deadline.
    private static final double MAX_DELAY_MILLIS = 300;

    /** Reads each post, but answers only once {@code answers} is set. */
    private static final class SlowPlatform extends FakeServer {
        final Set<String> received = Collections.synchronizedSet(new LinkedHashSet<>());
        final List<Integer> newLinesByPost = new CopyOnWriteArrayList<>(); // lines that no earlier post had
        volatile boolean answers;

        SlowPlatform() throws java.io.IOException {}

        @Override
        void serve(Socket socket) throws Exception {
            InputStream in = socket.getInputStream();
            StringBuilder head = new StringBuilder();
            while (head.append((char) in.read()).indexOf("\r\n\r\n") < 0) {
                continue;
            }
            String length = head.toString()
                    .lines()
                    .filter(line -> line.startsWith("Content-Length"))
                    .findFirst()
                    .orElseThrow();
            byte[] body = in.readNBytes(Integer.parseInt(length.split(": ")[1].strip()));
            int newLines = 0;
            for (String line : new String(body, StandardCharsets.UTF_8).split("\n")) {
                newLines += received.add(Json.parse(line).asObject().getString("message", "")) ? 1 : 0;
            }
            newLinesByPost.add(newLines);
            if (answers) {
                socket.getOutputStream()
                        .write("HTTP/1.1 204 No Content\r\nConnection: close\r\n\r\n"
                                .getBytes(StandardCharsets.US_ASCII));
                socket.close();
            }
        }
    }

    /** Answers at once, except on unresponsive connections, which stay open but record and answer nothing. */
    private static final class UnresponsivePlatform extends FakeServer {
        final Map<String, Long> receivedAtNanos = new ConcurrentHashMap<>();
        final AtomicInteger connections = new AtomicInteger();
        volatile int unresponsiveUpTo; // connections up to this number are unresponsive

        UnresponsivePlatform() throws java.io.IOException {}

        @Override
        void serve(Socket socket) throws Exception {
            int number = connections.incrementAndGet();
            while (true) {
                List<String> ids = read(socket.getInputStream());
                if (number > unresponsiveUpTo) {
                    ids.forEach(id -> receivedAtNanos.putIfAbsent(id, System.nanoTime()));
                    socket.getOutputStream()
                            .write("HTTP/1.1 204 No Content\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
                }
            }
        }

        /** Makes all present connections unresponsive, and the next {@code newConnections} ones. */
        void stopAnswering(int newConnections) {
            unresponsiveUpTo = connections.get() + newConnections;
        }

        private static List<String> read(InputStream in) throws Exception {
            StringBuilder head = new StringBuilder();
            while (head.indexOf("\r\n\r\n") < 0) {
                int next = in.read();
                if (next < 0) {
                    throw new java.io.EOFException();
                }
                head.append((char) next);
            }
            String length = head.toString()
                    .lines()
                    .filter(line -> line.startsWith("Content-Length"))
                    .findFirst()
                    .orElseThrow();
            byte[] body = in.readNBytes(Integer.parseInt(length.split(": ")[1].strip()));
            return new String(body, StandardCharsets.UTF_8)
                    .lines()
                    .map(line -> Json.parse(line).asObject().getString("message", ""))
                    .toList();
        }
    }

    /** A reporter on a network of its own, and the number of acknowledgements by report. */
    private static final class ReporterFixture implements AutoCloseable {
        final Network network = new Network(1);
        final Map<String, AtomicInteger> acknowledged = new ConcurrentHashMap<>();
        final StatusReporter reporter;

        ReporterFixture(Supplier<InetSocketAddress> platform) throws Exception {
            reporter = new StatusReporter(platform, new HttpPool(network, 5, 8), network);
        }

        /** Adds a report and returns the time in nanoseconds. */
        long add(String id) {
            long addedNanos = System.nanoTime();
            reporter.add(
                    new RpcEnd(id, "", RpcEnd.Kind.HANDED_BACK, 0),
                    () -> acknowledged
                            .computeIfAbsent(id, any -> new AtomicInteger())
                            .incrementAndGet());
            return addedNanos;
        }

        void awaitAll(int count) throws InterruptedException {
            FakeServer.await(
                    "all acknowledged", () -> acknowledged.size() == count && reporter.unacknowledgedCount() == 0);
            assertTrue(acknowledged.values().stream().allMatch(times -> times.get() == 1), "each acknowledged once");
        }

        @Override
        public void close() {
            network.close();
        }
    }

    private static InetSocketAddress address(FakeServer platform) {
        return new InetSocketAddress("127.0.0.1", platform.port());
    }

    private static double median(List<Double> values) {
        return values.stream().sorted().skip(values.size() / 2).findFirst().orElseThrow();
    }

    /**
     * In each round adds four reports, whose first posts meet unresponsive connections. Returns the median over the
     * rounds of the slowest report's delay; a median, because the machine may stall during one round.
     */
    private static double medianSlowestMillis(int unresponsiveNewConnections) throws Exception {
        List<Double> slowest = new ArrayList<>();
        try (UnresponsivePlatform platform = new UnresponsivePlatform();
                ReporterFixture fixture = new ReporterFixture(() -> address(platform))) {
            int count = 0;
            for (int round = 0; round < ROUNDS; round++) {
                fixture.add("before" + round);
                fixture.awaitAll(++count);
                platform.stopAnswering(unresponsiveNewConnections);
                Map<String, Long> added = new LinkedHashMap<>();
                for (int i = 0; i < 4; i++) {
                    String id = "r" + round + '-' + i;
                    added.put(id, fixture.add(id));
                }
                count += added.size();
                fixture.awaitAll(count);
                slowest.add(added.entrySet().stream()
                        .mapToDouble(entry -> (platform.receivedAtNanos.get(entry.getKey()) - entry.getValue()) / 1e6)
                        .max()
                        .orElseThrow());
            }
        }
        return median(slowest);
    }

    /** Posts one at a time, with a timeout of 200 ms and a backoff of 50 ms, would take at least 250 ms. */
    @Test
    void afterOneUnresponsiveConnectionReportsArriveWithin200Millis() throws Exception {
        double slowest = medianSlowestMillis(1);
        assertTrue(slowest < 200, "ms: " + slowest);
    }

    /** Posts one at a time would take at least 500 ms here. */
    @Test
    void afterTwoUnresponsiveConnectionsReportsArriveInTime() throws Exception {
        double slowest = medianSlowestMillis(2);
        assertTrue(slowest < MAX_DELAY_MILLIS, "ms: " + slowest);
    }

    @Test
    void afterAnOutageOfThePlatformReportsArriveInTime() throws Exception {
        List<Double> slowest = new ArrayList<>();
        try (UnresponsivePlatform platform = new UnresponsivePlatform();
                ReporterFixture fixture = new ReporterFixture(() -> address(platform))) {
            int count = 0;
            for (int round = 0; round < ROUNDS; round++) {
                int connectionsBefore = platform.connections.get();
                platform.stopAnswering(1_000_000);
                for (int i = 0; i < 150; i++) {
                    fixture.add("r" + round + '-' + i);
                }
                FakeServer.await("posts on new connections", () -> platform.connections.get() >= connectionsBefore + 4);
                fixture.add("late" + round);
                long recoveredNanos = System.nanoTime();
                platform.stopAnswering(0); // earlier connections stay unresponsive
                count += 151;
                fixture.awaitAll(count);
                long lastReceivedNanos = platform.receivedAtNanos.values().stream()
                        .mapToLong(Long::longValue)
                        .max()
                        .orElseThrow();
                slowest.add((lastReceivedNanos - recoveredNanos) / 1e6);
            }
        }
        assertTrue(median(slowest) < MAX_DELAY_MILLIS, "ms after the recovery: " + slowest);
    }

    @Test
    void afterAMoveOfAnUnresponsivePlatformTheNewAddressGetsAllReports() throws Exception {
        try (UnresponsivePlatform old = new UnresponsivePlatform();
                UnresponsivePlatform moved = new UnresponsivePlatform()) {
            AtomicReference<InetSocketAddress> address = new AtomicReference<>(address(old));
            try (ReporterFixture fixture = new ReporterFixture(address::get)) {
                old.stopAnswering(1_000_000);
                fixture.add("a");
                FakeServer.await("a post to the old address", () -> old.connections.get() > 0);
                address.set(address(moved));
                fixture.add("b");
                fixture.awaitAll(2);
                assertEquals(Set.of("a", "b"), moved.receivedAtNanos.keySet());
            }
        }
    }

    /**
     * Guards against repeating the oldest hundred of a long backlog while the rest waits: 182 reports were owed at a
     * take-over, and the first hundred went again and again.
     */
    @Test
    void unsentReportsArePostedBeforeRepeats() throws Exception {
        try (SlowPlatform platform = new SlowPlatform()) {
            Network network = new Network(1);
            StatusReporter reporter =
                    new StatusReporter(() -> address(platform), new HttpPool(network, 5, 8), network, SLOW_HEDGES);
            AtomicInteger acknowledged = new AtomicInteger();
            for (int i = 0; i < REPORTS; i++) {
                reporter.add(new RpcEnd("m" + i, "", RpcEnd.Kind.GIVEN_UP, 0), acknowledged::incrementAndGet);
            }
            FakeServer.await("all reports, though no post was answered", () -> platform.received.size() == REPORTS);
            assertTrue(platform.newLinesByPost.size() <= 4, "new lines by post: " + platform.newLinesByPost);
            assertEquals(0, acknowledged.get());
            platform.answers = true;
            FakeServer.await("every one acknowledged", () -> acknowledged.get() == REPORTS);
            assertEquals(0, reporter.unacknowledgedCount());
            network.close();
        }
    }
}
