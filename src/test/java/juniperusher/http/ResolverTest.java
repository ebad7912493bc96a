package juniperusher.http;

import static juniperusher.http.FakeAgent.list;
import static juniperusher.http.FakeAgent.server;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import com.eclipsesource.json.Json;
import com.eclipsesource.json.JsonObject;
import com.eclipsesource.json.WriterConfig;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Set;
import java.util.TreeMap;
import juniperusher.Protocol.Phase;
import juniperusher.core.Counters;
import juniperusher.http.FakeAgent.Behavior;
import juniperusher.membership.WatchTiming;
import juniperusher.net.HttpPool;
import juniperusher.net.Network;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** The resolver over sockets, with two agents that the tests make fail. */
class ResolverTest {
    private static final WatchTiming TIMING = new WatchTiming(1.5, 0.4, 0.2, 0.4, 0.4, 30);

    private final Counters counters = new Counters();
    private FakeAgent firstAgent;
    private FakeAgent secondAgent;
    private Network network;
    private Resolver resolver;
    private volatile boolean listenerFails;

    @BeforeEach
    void start() throws Exception {
        firstAgent = new FakeAgent(list(41, true, server("a", 10, "up"), server("b", 11, "up")));
        secondAgent = new FakeAgent(list(3, true, server("a", 10, "up"), server("b", 11, "up")));
        network = new Network(1);
        Path file = Files.createTempDirectory("resolver").resolve("c.json");
        JsonObject json = Json.parse(Files.readString(Path.of("src/main/resources/selftest.json")))
                .asObject();
        Files.writeString(
                file,
                json.set("listen", "127.0.0.1:1")
                        .set("discovery", "127.0.0.1:1")
                        .toString());
        resolver =
                new Resolver(Config.read(file), TIMING, new HttpPool(network, 5, 8), counters, (snapshot, changes) -> {
                    if (listenerFails) {
                        throw new IllegalStateException("listener failure injected by the test");
                    }
                });
    }

    @AfterEach
    void end() throws Exception {
        resolver.stop();
        network.close();
        firstAgent.close();
        secondAgent.close();
    }

    private void startResolver(InetSocketAddress address) {
        resolver.loadKnownList(Json.parse(list(7, true)).asObject(), List.of());
        resolver.start(address);
    }

    private TreeMap<String, Phase> knownPhases() {
        TreeMap<String, Phase> out = new TreeMap<>();
        resolver.snapshot().endpoints().values().stream()
                .filter(endpoint -> endpoint.target().phase() != Phase.GONE)
                .forEach(endpoint -> out.put(endpoint.id(), endpoint.target().phase()));
        return out;
    }

    private void awaitPhases(String expected) throws InterruptedException {
        FakeServer.await(expected, () -> knownPhases().toString().equals(expected));
    }

    private void awaitWatch(FakeAgent agent) throws InterruptedException {
        FakeServer.await("a watch", () -> agent.watchCount() == 1);
    }

    @Test
    void theListIsReadThenAChangeThatArrivesInPieces() throws Exception {
        startResolver(firstAgent.address());
        awaitWatch(firstAgent);
        assertEquals(List.of("/discovery/hosts", "/discovery/hosts?stream=1&index=41"), firstAgent.requestPaths);
        firstAgent.send(list(42, false, server("b", 11, "draining")), 1);
        awaitPhases("{a=READY, b=DRAINING}");
    }

    @Test
    void theOldAddressIsIgnoredAfterAMoveAndTheNewAgentsVersionsCount() throws Exception {
        startResolver(firstAgent.address());
        awaitWatch(firstAgent);
        resolver.discoveryMoved(secondAgent.address());
        awaitWatch(secondAgent);
        assertEquals("/discovery/hosts?stream=1&index=3", secondAgent.requestPaths.get(1));
        firstAgent.send(list(43, false, server("a", 10, "removed")));
        secondAgent.send(list(4, false, server("b", 11, "draining")));
        awaitPhases("{a=READY, b=DRAINING}");
        assertEquals(4, resolver.snapshot().version());
        FakeServer.await("the old watch is closed", () -> firstAgent.watchCount() == 0);
    }

    @Test
    void anOldAddressThatIsUnresponsiveOrClosesDoesNotDelayAMove() throws Exception {
        firstAgent.behavior = Behavior.NO_RESPONSE;
        startResolver(firstAgent.address());
        FakeServer.await("asked", () -> !firstAgent.requestPaths.isEmpty());
        resolver.discoveryMoved(secondAgent.address());
        firstAgent.closeConnections();
        awaitWatch(secondAgent);
        awaitPhases("{a=READY, b=READY}");
    }

    @Test
    void aNewAddressThatAnswersLateIsAccepted() throws Exception {
        startResolver(firstAgent.address());
        awaitWatch(firstAgent);
        secondAgent.listDelayMillis = 900; // longer than the first timeout of a request for the full list
        secondAgent.list = list(3, true, server("a", 10, "draining"));
        resolver.discoveryMoved(secondAgent.address());
        awaitPhases("{a=DRAINING}");
        secondAgent.listDelayMillis = 0;
    }

    @Test
    void aListThatFailsRemovesNoEndpointsAndIsRequestedAgain() throws Exception {
        startResolver(firstAgent.address());
        awaitWatch(firstAgent);
        for (Behavior mood : List.of(
                Behavior.CUT_IN_HALF, Behavior.NOT_JSON, Behavior.REFUSED, Behavior.NO_RESPONSE, Behavior.NO_ADDRESS)) {
            secondAgent.behavior = mood;
            secondAgent.requestPaths.clear();
            resolver.discoveryMoved(secondAgent.address());
            FakeServer.await("asked twice though " + mood, () -> secondAgent.requestPaths.size() > 1);
            assertEquals("{a=READY, b=READY}", knownPhases().toString(), mood.name());
        }
        secondAgent.behavior = Behavior.NORMAL;
        secondAgent.list = list(9, true, server("b", 11, "up"), server("c", 12, "up"));
        awaitPhases("{a=READY, b=READY}");
        secondAgent.closeConnections();
        resolver.discoveryMoved(secondAgent.address());
        awaitPhases("{b=READY, c=READY}");
    }

    @Test
    void aTruncatedChangeIsReplacedByTheFullList() throws Exception {
        startResolver(firstAgent.address());
        awaitWatch(firstAgent);
        firstAgent.list = list(44, true, server("a", 10, "draining"), server("b", 11, "up"));
        firstAgent.send("{\"version\":44,\"full\":false,\"servers\":[{\"id\":\"a\",");
        awaitPhases("{a=DRAINING, b=READY}");
        assertEquals(1, counters.get("watch_damaged_total"));
    }

    @Test
    void anIndentedChangeIsReadAndAMalformedOneDoesNotAffectItsNeighbors() throws Exception {
        startResolver(firstAgent.address());
        awaitWatch(firstAgent);
        firstAgent.behavior = Behavior.NO_RESPONSE; // so that the full list cannot replace the changes
        firstAgent.send(
                Json.parse(list(42, false, server("b", 11, "draining"))).toString(WriterConfig.PRETTY_PRINT), 7);
        awaitPhases("{a=READY, b=DRAINING}");
        assertEquals(0, counters.get("watch_damaged_total"));
        firstAgent.send(list(43, false, server("c", 12, "up")) + "\n{\"version\" 44}\n"
                + list(45, false, server("a", 10, "draining")));
        awaitPhases("{a=DRAINING, b=DRAINING, c=READY}");
        assertEquals(1, counters.get("watch_damaged_total"));
    }

    @Test
    void aRefusedWatchReopensAtItsIndex() throws Exception {
        startResolver(firstAgent.address());
        awaitWatch(firstAgent);
        firstAgent.behavior = Behavior.BUSY;
        int before = firstAgent.requestPaths.size();
        firstAgent.closeConnections();
        FakeServer.await("the refusal", () -> counters.get("watch_turned_away_total") > 1);
        assertEquals(
                Set.of("/discovery/hosts?stream=1&index=41"),
                Set.copyOf(firstAgent.requestPaths.subList(before, firstAgent.requestPaths.size())));
        assertEquals("{a=READY, b=READY}", knownPhases().toString());
        firstAgent.behavior = Behavior.NORMAL;
        awaitWatch(firstAgent);
        firstAgent.send(list(42, false, server("b", 11, "draining")));
        awaitPhases("{a=READY, b=DRAINING}");
        assertEquals(0, counters.get("watch_damaged_total"));
    }

    @Test
    void threeMovesWithinASecondEndAtTheLastAddress() throws Exception {
        startResolver(firstAgent.address());
        awaitWatch(firstAgent);
        secondAgent.list = list(3, true, server("c", 12, "up"));
        resolver.discoveryMoved(secondAgent.address());
        Thread.sleep(50);
        resolver.discoveryMoved(firstAgent.address());
        Thread.sleep(50);
        resolver.discoveryMoved(secondAgent.address());
        awaitPhases("{c=READY}");
        FakeServer.await("one watch", () -> secondAgent.watchCount() == 1 && firstAgent.watchCount() == 0);
    }

    @Test
    void aFailingListenerDoesNotEndTheWatch() throws Exception {
        startResolver(firstAgent.address());
        awaitWatch(firstAgent);
        listenerFails = true;
        firstAgent.send(list(42, false, server("a", 10, "draining")));
        FakeServer.await("the failure", () -> counters.get("membership_failures_total") > 0);
        listenerFails = false;
        firstAgent.send(list(43, false, server("b", 11, "draining")));
        awaitPhases("{a=DRAINING, b=DRAINING}");
    }

    @Test
    void aWatchThatClosesOrBecomesUnresponsiveIsReopened() throws Exception {
        startResolver(firstAgent.address());
        awaitWatch(firstAgent);
        firstAgent.closeConnections();
        awaitWatch(firstAgent);
        int before = firstAgent.requestPaths.size();
        // The agent sends nothing, not even a blank line.
        FakeServer.await("opened again after silence", () -> firstAgent.requestPaths.size() > before);
        assertFalse(
                firstAgent.requestPaths.get(before).equals("/discovery/hosts"),
                "the watch was reopened without its index");
    }
}
