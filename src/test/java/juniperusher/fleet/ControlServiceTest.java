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

/** Control processes and relays' subscriptions on real sockets. */
class ControlServiceTest {
    private static final long PATIENCE = 20; // s
    private static final int MAX_BYTES = 1 << 20;

    @TempDir
    Path folder;

    private final List<AutoCloseable> open = new ArrayList<>();

    @BeforeEach
    void relays() throws Exception {
        Files.writeString(folder.resolve("relays"), """
                # name region zone weight
                relay-1 north a 1
                relay-2 north b 3
                relay-3 south a 2
                """);
    }

    @AfterEach
    void close() throws Exception {
        for (int i = open.size() - 1; i >= 0; i--) {
            open.get(i).close();
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
        open.add(service);
        return service;
    }

    private ControlService leader() throws IOException {
        return start(settings("127.0.0.1:0", "leader", List.of()));
    }

    private static String address(ControlService service) {
        return "127.0.0.1:" + service.listening().getPort();
    }

    private FleetMembership relay(String name, List<String> control, Counters counters) throws IOException {
        FleetMembership relay = FleetMembership.start(
                new FleetSettings(control, "north", "a", 30, MAX_BYTES), name, folder.resolve(name), counters);
        open.add(relay);
        return relay;
    }

    private static void await(String what, BooleanSupplier condition) throws InterruptedException {
        long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(PATIENCE);
        while (!condition.getAsBoolean()) {
            assertTrue(System.nanoTime() < until, "in time: " + what);
            TimeUnit.MILLISECONDS.sleep(5);
        }
    }

    private static boolean at(FleetMembership relay, long epoch) {
        ShardMap map = relay.map();
        return map != null && map.epoch() == epoch;
    }

    private static String ask(ControlService service, String line) throws IOException {
        try (Socket socket = new Socket("127.0.0.1", service.operator().getPort())) {
            socket.setSoTimeout((int) TimeUnit.SECONDS.toMillis(PATIENCE));
            socket.getOutputStream().write((line + "\n").getBytes(StandardCharsets.UTF_8));
            return new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.UTF_8))
                    .readLine();
        }
    }

    @Test
    void aChangeReachesRelaysThroughAFollower() throws Exception {
        ControlService leader = leader();
        ControlService follower = start(settings("127.0.0.1:0", "follower", List.of(address(leader))));
        Counters counters = new Counters();
        FleetMembership one = relay("relay-1", List.of(address(follower)), counters);
        FleetMembership two = relay("relay-2", List.of(address(leader)), new Counters());
        await("the first map", () -> at(one, 1) && at(two, 1));
        assertEquals("relay-1", one.map().ownerOf(0));
        assertEquals("ok epoch 2", ask(leader, "move 0 relay-2"));
        await("the change", () -> at(one, 2) && at(two, 2));
        assertEquals("relay-2", one.map().ownerOf(0));
        assertEquals(one.map(), two.map());
        await("the age", () -> one.age() < 10);
        assertTrue(counters.text().contains("juniperusher_fleet_map_epoch 2.0\n"), counters.text());
        assertTrue(counters.text().contains("juniperusher_fleet_subscribed 1.0\n"), counters.text());
        assertTrue(ask(follower, "status").startsWith("role=follower term=2 version=2.3 epoch=2 subscribers=1"));
        assertTrue(ask(follower, "release 0").startsWith("refused: this process follows"));
    }

    @Test
    void whatDoesNotFitIsRefusedInOneLineAndTheRestOfABatchIsDone() throws Exception {
        ControlService leader = leader();
        assertTrue(ask(leader, "move 0").startsWith("refused: 'move 0': expected"));
        assertTrue(ask(leader, "move 0 relay-3").startsWith("refused: "), "of another region");
        assertTrue(ask(leader, "put relay-4 north c 0").startsWith("refused: put: weight '0'"));
        assertEquals("ok epoch 2", ask(leader, "put relay-4 north c 1; move 0 relay-4"));
        assertTrue(ask(leader, "status").contains(" epoch=2 "));
    }

    @Test
    void aLeaderThatStartsAgainGoesOnUnderANewTerm() throws Exception {
        ControlService first = leader();
        int port = first.listening().getPort();
        FleetMembership relay = relay("relay-1", List.of("127.0.0.1:" + port), new Counters());
        assertEquals("ok epoch 2", ask(first, "move 0 relay-2"));
        await("the change", () -> at(relay, 2));
        first.close();
        ControlService second = start(settings("127.0.0.1:" + port, "leader", List.of()));
        assertTrue(ask(second, "status").startsWith("role=leader term=3 "));
        assertEquals("ok epoch 3", ask(second, "move 0 relay-1"));
        await("the change of the new term", () -> at(relay, 3));
    }

    @Test
    void bytesThatAreNoFrameEndTheirConnectionAndNoOther() throws Exception {
        ControlService leader = leader();
        FleetMembership relay = relay("relay-1", List.of(address(leader)), new Counters());
        await("the first map", () -> at(relay, 1));
        try (Socket socket = new Socket("127.0.0.1", leader.listening().getPort())) {
            socket.setSoTimeout((int) TimeUnit.SECONDS.toMillis(PATIENCE));
            socket.getOutputStream().write("GET / HTTP/1.1\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
            assertEquals(-1, socket.getInputStream().read(), "closed without an answer");
        }
        assertEquals("ok epoch 2", ask(leader, "move 0 relay-2"));
        await("the change", () -> at(relay, 2));
    }

    @Test
    void changesOfOneBurstShareEpochsAndAllOfThemAreMade() throws Exception {
        ControlService leader = leader();
        FleetMembership relay = relay("relay-1", List.of(address(leader)), new Counters());
        StringBuilder lines = new StringBuilder();
        int changes = 2_000;
        for (int i = 0; i < changes; i++) {
            lines.append(i % 2 == 0 ? "move 0 relay-2\n" : "move 0 relay-1\n");
        }
        String last = "";
        try (Socket socket = new Socket("127.0.0.1", leader.operator().getPort())) {
            socket.setSoTimeout((int) TimeUnit.SECONDS.toMillis(PATIENCE));
            socket.getOutputStream().write(lines.toString().getBytes(StandardCharsets.UTF_8));
            BufferedReader answers =
                    new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.UTF_8));
            for (int i = 0; i < changes; i++) {
                last = answers.readLine();
                assertTrue(last.startsWith("ok epoch "), last);
            }
        }
        long epoch = Long.parseLong(last.substring("ok epoch ".length()));
        assertTrue(epoch < changes, "shared: " + epoch);
        await("the last epoch", () -> at(relay, epoch));
        assertEquals("relay-1", relay.map().ownerOf(0));
    }

    @Test
    void aRelayThatReachesNobodyUsesTheMapOfItsFolder() throws Exception {
        ControlService leader = leader();
        String control = address(leader);
        try (FleetMembership relay = relay("relay-1", List.of(control), new Counters())) {
            await("the first map", () -> at(relay, 1));
        }
        leader.close();
        FleetMembership again = relay("relay-1", List.of(control), new Counters());
        await("the saved map", () -> at(again, 1));
        assertTrue(again.age() < 60 && again.age() >= 0, "age " + again.age());
        Files.write(folder.resolve("relay-1").resolve(MapFile.NAME), new byte[40]);
        FleetMembership without = relay("relay-1", List.of(control), new Counters());
        assertFalse(at(without, 1));
        assertEquals(Double.POSITIVE_INFINITY, without.age());
    }

    @Test
    void aLeaderWithWrongInputSaysSoInOneLine() throws Exception {
        Files.writeString(folder.resolve("relays"), "relay-1 north a 1\nrelay-2 north\n");
        String two = assertThrows(IllegalArgumentException.class, this::leader).getMessage();
        assertTrue(two.contains("relays:2: expected 'NAME REGION ZONE WEIGHT'"), two);
        Files.writeString(folder.resolve("relays"), "relay-1 north a 1\nrelay-1 north a 1\n");
        String twice =
                assertThrows(IllegalArgumentException.class, this::leader).getMessage();
        assertTrue(twice.contains("relays:2: relay 'relay-1' is named twice"), twice);
        Files.delete(folder.resolve("relays"));
        String none = assertThrows(IllegalArgumentException.class, this::leader).getMessage();
        assertTrue(none.contains("'control.relays'") && none.contains("there is no such file"), none);
    }

    @Test
    void aLeaderDoesNotBeginAnewOverADamagedMap() throws Exception {
        ControlService leader = leader();
        assertEquals("ok epoch 2", ask(leader, "move 0 relay-2"));
        leader.close();
        Files.write(folder.resolve("leader").resolve(MapFile.NAME), new byte[] {1, 2, 3});
        String said = assertThrows(IllegalArgumentException.class, this::leader).getMessage();
        assertTrue(said.contains("the leader's map cannot be read"), said);
    }
}
