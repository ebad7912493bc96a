package juniperusher.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import juniperusher.core.Counters;
import juniperusher.shard.ShardMap;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Tests control processes and relays' subscriptions over TCP, including restarts and invalid input. */
class ControlServiceTest {
    private static final long TIMEOUT_SECONDS = 20;
    private static final int MAX_BYTES = 1 << 20;

    @TempDir
    Path folder;

    private final List<AutoCloseable> closeables = new ArrayList<>();

    @BeforeEach
    void writeRelayList() throws Exception {
        Files.writeString(folder.resolve("relays"), """
                # name region zone weight
                relay-1 north a 1
                relay-2 north b 3
                relay-3 south a 2
                """);
    }

    @AfterEach
    void closeAll() throws Exception {
        for (int i = closeables.size() - 1; i >= 0; i--) {
            closeables.get(i).close();
        }
    }

    private ControlSettings settings(String listen, String name, List<String> upstream) {
        return new ControlSettings(
                listen,
                folder.resolve(name),
                upstream,
                upstream.isEmpty() ? folder.resolve("relays") : null,
                1_000,
                4,
                1,
                "127.0.0.1:0",
                100,
                MAX_BYTES);
    }

    private ControlService start(ControlSettings settings) throws IOException {
        ControlService service = ControlService.start(settings);
        closeables.add(service);
        return service;
    }

    private ControlService startLeader() throws IOException {
        return start(settings("127.0.0.1:0", "leader", List.of()));
    }

    private static String address(ControlService service) {
        return "127.0.0.1:" + service.subscriberAddress().getPort();
    }

    private FleetMembership startRelay(String name, List<String> control, Counters counters) throws IOException {
        FleetMembership relay = FleetMembership.start(
                new FleetSettings(control, "north", "a", 30, MAX_BYTES), name, folder.resolve(name), counters);
        closeables.add(relay);
        return relay;
    }

    private static void await(String expected, BooleanSupplier condition) throws InterruptedException {
        long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_SECONDS);
        while (!condition.getAsBoolean()) {
            assertTrue(System.nanoTime() < deadline, "not reached in time: " + expected);
            TimeUnit.MILLISECONDS.sleep(5);
        }
    }

    private static boolean hasEpoch(FleetMembership relay, long epoch) {
        ShardMap map = relay.map();
        return map != null && map.epoch() == epoch;
    }

    private static String sendCommand(ControlService service, String command) throws IOException {
        try (Socket socket = new Socket("127.0.0.1", service.operatorAddress().getPort())) {
            socket.setSoTimeout((int) TimeUnit.SECONDS.toMillis(TIMEOUT_SECONDS));
            socket.getOutputStream().write((command + "\n").getBytes(StandardCharsets.UTF_8));
            return new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.UTF_8))
                    .readLine();
        }
    }

    @Test
    void changeReachesRelaysThroughFollower() throws Exception {
        ControlService leader = startLeader();
        ControlService follower = start(settings("127.0.0.1:0", "follower", List.of(address(leader))));
        Counters counters = new Counters();
        FleetMembership one = startRelay("relay-1", List.of(address(follower)), counters);
        FleetMembership two = startRelay("relay-2", List.of(address(leader)), new Counters());
        await("the first map", () -> hasEpoch(one, 1) && hasEpoch(two, 1));
        assertEquals("relay-1", one.map().ownerOf(0));
        assertEquals("ok epoch 2", sendCommand(leader, "move 0 relay-2"));
        await("the change", () -> hasEpoch(one, 2) && hasEpoch(two, 2));
        assertEquals("relay-2", one.map().ownerOf(0));
        assertEquals(one.map(), two.map());
        await("the age", () -> one.ageSeconds() < 10);
        assertTrue(counters.text().contains("juniperusher_fleet_map_epoch 2.0\n"), counters.text());
        assertTrue(counters.text().contains("juniperusher_fleet_subscribed 1.0\n"), counters.text());
        assertTrue(
                sendCommand(follower, "status").startsWith("role=follower term=2 version=2.3 epoch=2 subscribers=1"));
        assertTrue(sendCommand(follower, "release 0").startsWith("refused: this process follows"));
    }

    @Test
    void invalidChangesAreRefusedAndValidOnesApplied() throws Exception {
        ControlService leader = startLeader();
        assertTrue(sendCommand(leader, "move 0").startsWith("refused: 'move 0': expected"));
        assertTrue(sendCommand(leader, "move 0 relay-3").startsWith("refused: "), "relay-3 is in another region");
        assertTrue(sendCommand(leader, "put relay-4 north c 0").startsWith("refused: put: weight '0'"));
        assertEquals("ok epoch 2", sendCommand(leader, "put relay-4 north c 1; move 0 relay-4"));
        assertTrue(sendCommand(leader, "status").contains(" epoch=2 "));
    }

    @Test
    void restartedLeaderContinuesUnderNewTerm() throws Exception {
        ControlService first = startLeader();
        int port = first.subscriberAddress().getPort();
        FleetMembership relay = startRelay("relay-1", List.of("127.0.0.1:" + port), new Counters());
        assertEquals("ok epoch 2", sendCommand(first, "move 0 relay-2"));
        await("the change", () -> hasEpoch(relay, 2));
        first.close();
        ControlService second = start(settings("127.0.0.1:" + port, "leader", List.of()));
        assertTrue(sendCommand(second, "status").startsWith("role=leader term=3 "));
        assertEquals("ok epoch 3", sendCommand(second, "move 0 relay-1"));
        await("the change of the new term", () -> hasEpoch(relay, 3));
    }

    @Test
    void invalidFrameClosesOnlyItsConnection() throws Exception {
        ControlService leader = startLeader();
        FleetMembership relay = startRelay("relay-1", List.of(address(leader)), new Counters());
        await("the first map", () -> hasEpoch(relay, 1));
        try (Socket socket = new Socket("127.0.0.1", leader.subscriberAddress().getPort())) {
            socket.setSoTimeout((int) TimeUnit.SECONDS.toMillis(TIMEOUT_SECONDS));
            socket.getOutputStream().write("GET / HTTP/1.1\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
            assertEquals(-1, socket.getInputStream().read(), "connection closed without an answer");
        }
        assertEquals("ok epoch 2", sendCommand(leader, "move 0 relay-2"));
        await("the change", () -> hasEpoch(relay, 2));
    }

    @Test
    void burstOfChangesSharesEpochsAndIsAppliedInFull() throws Exception {
        ControlService leader = startLeader();
        FleetMembership relay = startRelay("relay-1", List.of(address(leader)), new Counters());
        StringBuilder lines = new StringBuilder();
        int changes = 2_000;
        for (int i = 0; i < changes; i++) {
            lines.append(i % 2 == 0 ? "move 0 relay-2\n" : "move 0 relay-1\n");
        }
        String last = "";
        try (Socket socket = new Socket("127.0.0.1", leader.operatorAddress().getPort())) {
            socket.setSoTimeout((int) TimeUnit.SECONDS.toMillis(TIMEOUT_SECONDS));
            socket.getOutputStream().write(lines.toString().getBytes(StandardCharsets.UTF_8));
            BufferedReader answers =
                    new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.UTF_8));
            for (int i = 0; i < changes; i++) {
                last = answers.readLine();
                assertTrue(last.startsWith("ok epoch "), last);
            }
        }
        long epoch = Long.parseLong(last.substring("ok epoch ".length()));
        assertTrue(epoch < changes, "changes share epochs: " + epoch);
        await("the last epoch", () -> hasEpoch(relay, epoch));
        assertEquals("relay-1", relay.map().ownerOf(0));
    }

    @Test
    void relayWithoutControlProcessUsesSavedMap() throws Exception {
        ControlService leader = startLeader();
        String control = address(leader);
        try (FleetMembership relay = startRelay("relay-1", List.of(control), new Counters())) {
            await("the first map", () -> hasEpoch(relay, 1));
        }
        leader.close();
        FleetMembership restarted = startRelay("relay-1", List.of(control), new Counters());
        await("the saved map", () -> hasEpoch(restarted, 1));
        assertTrue(restarted.ageSeconds() < 60 && restarted.ageSeconds() >= 0, "age " + restarted.ageSeconds());
        Files.write(folder.resolve("relay-1").resolve(MapFile.NAME), new byte[40]);
        FleetMembership withDamagedFile = startRelay("relay-1", List.of(control), new Counters());
        assertFalse(hasEpoch(withDamagedFile, 1));
        assertEquals(Double.POSITIVE_INFINITY, withDamagedFile.ageSeconds());
    }

    @Test
    void leaderReportsInvalidRelayList() throws Exception {
        Files.writeString(folder.resolve("relays"), "relay-1 north a 1\nrelay-2 north\n");
        String incompleteLine =
                assertThrows(IllegalArgumentException.class, this::startLeader).getMessage();
        assertTrue(incompleteLine.contains("relays:2: expected 'NAME REGION ZONE WEIGHT'"), incompleteLine);
        Files.writeString(folder.resolve("relays"), "relay-1 north a 1\nrelay-1 north a 1\n");
        String duplicateName =
                assertThrows(IllegalArgumentException.class, this::startLeader).getMessage();
        assertTrue(duplicateName.contains("relays:2: relay 'relay-1' is named twice"), duplicateName);
        Files.delete(folder.resolve("relays"));
        String missingFile =
                assertThrows(IllegalArgumentException.class, this::startLeader).getMessage();
        assertTrue(
                missingFile.contains("'control.relays'") && missingFile.contains("there is no such file"), missingFile);
    }

    @Test
    void leaderDoesNotReplaceDamagedMap() throws Exception {
        ControlService leader = startLeader();
        assertEquals("ok epoch 2", sendCommand(leader, "move 0 relay-2"));
        leader.close();
        Files.write(folder.resolve("leader").resolve(MapFile.NAME), new byte[] {1, 2, 3});
        String message =
                assertThrows(IllegalArgumentException.class, this::startLeader).getMessage();
        assertTrue(message.contains("the leader's map cannot be read"), message);
    }
}
