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

/** Status reports to a platform that is slow with its answers, or whose connections fall silent. */
class StatusReporterTest {
    private static final int REPORTS = 250;
    // One post at a time goes every 200 ms, so that all 250 are there before the second, however slow the machine.
    private static final ReportTiming SLOW_HEDGES = new ReportTiming(100, 8, 200, 200, 1_600, 50);
    private static final int ROUNDS = 5;
    private static final double MAX_DELAY_MILLIS =
            300; // in which the platform wants to hear of an end that came just in time

    /** Reads each notice; answers none until it is told to. */
    private static final class SlowPlatform extends FakeServer {
        final Set<String> received = Collections.synchronizedSet(new LinkedHashSet<>());
        final List<Integer> newLinesByPost = new CopyOnWriteArrayList<>(); // by notice: lines not heard before
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

    /** Answers at once; connections that it is told to silence stay open and hear and say nothing more. */
    private static final class UnresponsivePlatform extends FakeServer {
        final Map<String, Long> receivedAtNanos = new ConcurrentHashMap<>();
        final AtomicInteger connections = new AtomicInteger();
        volatile int unresponsiveUpTo; // numbers of connections

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

        /** Silences all connections that there are, and the next {@code more} new ones. */
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

    /** A reporter on a network of its own, and what it was told. */
    private static final class ReporterFixture implements AutoCloseable {
        final Network network = new Network(1);
        final Map<String, AtomicInteger> acknowledged = new ConcurrentHashMap<>();
        final StatusReporter reporter;

        ReporterFixture(Supplier<InetSocketAddress> platform) throws Exception {
            reporter = new StatusReporter(platform, new HttpPool(network, 5, 8), network);
        }

        /** When it was added, in ns. */
        long add(String id) {
            long at = System.nanoTime();
            reporter.add(
                    new RpcEnd(id, "", RpcEnd.Kind.HANDED_BACK, 0),
                    () -> acknowledged
                            .computeIfAbsent(id, any -> new AtomicInteger())
                            .incrementAndGet());
            return at;
        }

        void awaitAll(int count) throws InterruptedException {
            FakeServer.await(
                    "all acknowledged", () -> acknowledged.size() == count && reporter.unacknowledgedCount() == 0);
            assertTrue(acknowledged.values().stream().allMatch(times -> times.get() == 1), "each told once");
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
     * Adds a report just after the connections have fallen silent, and three behind it, in some rounds; the
     * median of the slowest one's milliseconds to its hearing. A median, as the machine itself may stand
     * still in one round.
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

    /** One POST at a time with 200 ms for its answer and a pause of 50 ms took 250 ms and more here. */
    @Test
    void afterOneUnresponsiveConnectionReportsArriveWithin200Millis() throws Exception {
        double slowest = medianSlowestMillis(0);
        assertTrue(slowest < 200, "ms: " + slowest);
    }

    /** The same took 500 ms and more. */
    @Test
    void afterTwoUnresponsiveConnectionsReportsArriveInTime() throws Exception {
        double slowest = medianSlowestMillis(1);
        assertTrue(slowest < MAX_DELAY_MILLIS, "ms: " + slowest);
    }

    @Test
    void afterAnOutageOfThePlatformReportsArriveInTime() throws Exception {
        List<Double> slowest = new ArrayList<>();
        try (UnresponsivePlatform platform = new UnresponsivePlatform();
                ReporterFixture fixture = new ReporterFixture(() -> address(platform))) {
            int count = 0;
            for (int round = 0; round < ROUNDS; round++) {
                int before = platform.connections.get();
                platform.stopAnswering(1_000_000);
                for (int i = 0; i < 150; i++) {
                    fixture.add("r" + round + '-' + i);
                }
                FakeServer.await("posts on new connections", () -> platform.connections.get() >= before + 4);
                fixture.add("late" + round);
                long returned = System.nanoTime();
                platform.stopAnswering(0); // those of before stay silent
                count += 151;
                fixture.awaitAll(count);
                long last = platform.receivedAtNanos.values().stream()
                        .mapToLong(Long::longValue)
                        .max()
                        .orElseThrow();
                slowest.add((last - returned) / 1e6);
            }
        }
        assertTrue(median(slowest) < MAX_DELAY_MILLIS, "ms after the return: " + slowest);
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

    /** upgrade+hand: 182 were owed at a take-over, and the first hundred went again and again. */
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
            FakeServer.await("all, though none was answered", () -> platform.received.size() == REPORTS);
            assertTrue(platform.newLinesByPost.size() <= 4, "new ones by notice: " + platform.newLinesByPost);
            assertEquals(0, acknowledged.get());
            platform.answers = true;
            FakeServer.await("every one acknowledged", () -> acknowledged.get() == REPORTS);
            assertEquals(0, reporter.unacknowledgedCount());
            network.close();
        }
    }
}
