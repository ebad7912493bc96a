package juniperusher.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import juniperusher.Protocol.Phase;
import juniperusher.Protocol.Target;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;

/**
 * Runs {@link Membership} through thousands of random sequences of events and compares it with a model of two
 * discovery agents that number their lists independently. A failing sequence is shrunk and printed with its seed.
 */
class MembershipPropertyTest {
    private static final String SEED = "20261201";
    private static final WatchTiming TIMING = WatchTiming.DEFAULT;
    private static final double SLACK = 1e-6;

    /** Model of a discovery agent: its current list and the changes by version. */
    private static final class Agent {
        private final InetSocketAddress address;
        private final TreeMap<Long, EndpointEntry> changes = new TreeMap<>();
        private final Map<String, EndpointEntry> endpoints = new HashMap<>();
        private long version;

        Agent(int port, long first) {
            address = new InetSocketAddress("127.0.0.1", port);
            version = first;
        }

        void change(EndpointEntry entry) {
            changes.put(++version, entry);
            endpoints.put(entry.id(), entry);
            endpoints.values().removeIf(one -> one.phase() == Phase.GONE);
        }

        EndpointUpdate fullList() {
            return new EndpointUpdate(true, version, List.copyOf(endpoints.values()), Set.of());
        }

        EndpointUpdate changesAfter(long index) {
            return new EndpointUpdate(
                    false, version, List.copyOf(changes.tailMap(index, false).values()), Set.of());
        }
    }

    /** Carries out the steps and checks the invariants. */
    private static final class World {
        private final Agent[] agents = {new Agent(1, 0), new Agent(2, 1_000)};
        private final Membership membership = new Membership(TIMING, List.of(), 7);
        private final Map<Integer, Step.Open> open = new HashMap<>();
        private final Map<Integer, Long> lastVersions = new HashMap<>();
        private final Map<Integer, Target> moduleTargets = new HashMap<>();
        private final Map<Integer, String> idsByNumber = new HashMap<>();
        private final Map<String, Phase> lastPhases = new HashMap<>();
        private final List<Snapshot> published = new ArrayList<>();
        private final List<String> publishedText = new ArrayList<>();
        private double now;
        private int opened;
        private int currentAgent;

        World() {
            membership.initialize(new EndpointUpdate(true, 7, List.of(), Set.of()), List.of(), 0);
            carryOut(membership.discoveryMoved(agents[0].address, now));
        }

        void carryOut(List<Step> steps) {
            for (Step step : steps) {
                if (step instanceof Step.Open watch) {
                    assertTrue(open.size() <= 2, "another watch is opened in addition to " + open);
                    open.put(watch.watchNumber(), watch);
                    lastVersions.put(watch.watchNumber(), watch.afterVersion());
                    opened++;
                } else if (step instanceof Step.Abandon watch) {
                    assertTrue(open.remove(watch.watchNumber()) != null, "abandoned a watch that is not open");
                } else if (step instanceof Step.Publish change) {
                    change.changedTargets().targets().forEach(target -> moduleTargets.put(target.id(), target));
                    change.snapshot()
                            .endpoints()
                            .forEach((number, endpoint) -> assertEquals(
                                    endpoint.id(),
                                    idsByNumber.computeIfAbsent(number, key -> endpoint.id()),
                                    "number reused for another endpoint"));
                    published.add(change.snapshot());
                    publishedText.add(change.snapshot().endpoints().toString());
                }
            }
        }

        Agent agent() {
            return agents[currentAgent];
        }

        /** Delivers the current agent's answer on a watch, or an outdated list if the watch is closed. */
        void deliver(int watch) {
            Step.Open request = open.get(watch);
            if (request == null) { // late data on a closed watch, with all endpoints ready
                carryOut(membership.updateReceived(
                        watch, new EndpointUpdate(true, 99, List.of(entry(0, Phase.READY, 9)), Set.of()), now));
                return;
            }
            EndpointUpdate update =
                    request.fullList() ? agent().fullList() : agent().changesAfter(lastVersions.get(watch));
            lastVersions.put(watch, update.version());
            if (update.fullList()) {
                open.remove(watch); // the answer is complete
                lastPhases.clear();
            }
            update.entries().forEach(entry -> lastPhases.put(entry.id(), entry.phase()));
            carryOut(membership.updateReceived(watch, update, now));
        }

        void check() {
            assertTrue(membership.currentWatch() == 0 || open.containsKey(membership.currentWatch()));
            assertTrue(
                    membership.nextTickAt() <= now + TIMING.silenceTimeoutSeconds() + SLACK,
                    "due at " + membership.nextTickAt());
            if (membership.currentWatch() == 0) {
                assertTrue(
                        membership.nextTickAt() <= now + TIMING.maxBackoffSeconds() + SLACK,
                        "no watch is open or scheduled");
            }
            Snapshot snapshot = membership.snapshot();
            moduleTargets.forEach((number, target) -> assertTrue(
                    target.equals(snapshot.target(number))
                            || snapshot.target(number) == null && target.phase() == Phase.GONE,
                    "the module has " + target + ", the snapshot " + snapshot.target(number)));
            snapshot.endpoints().values().forEach(one -> {
                assertEquals(one.target(), moduleTargets.get(one.target().id()));
                if (one.target().phase() == Phase.READY) {
                    assertEquals(
                            Phase.READY,
                            lastPhases.get(one.id()),
                            one.id() + " is ready although the last entry says otherwise");
                }
            });
        }

        void checkPublishedUnchanged() {
            for (int i = 0; i < published.size(); i++) {
                assertEquals(
                        publishedText.get(i),
                        published.get(i).endpoints().toString(),
                        "a published snapshot has changed");
            }
        }
    }

    private static EndpointEntry entry(int id, Phase phase, int port) {
        return new EndpointEntry(
                "s-" + id, new InetSocketAddress("127.0.0.1", 100 + port), id % 3, 0, 0, 1 + id, phase);
    }

    private static void apply(World world, int code) {
        int kind = code % 10;
        int rest = code / 10;
        int watch = world.membership.currentWatch();
        switch (kind) {
            case 0, 1, 2 ->
                world.agents[rest % 2].change(entry(rest / 2 % 6, Phase.values()[rest / 12 % 3], rest / 36 % 3));
            case 3, 4 -> world.deliver(watch);
            case 5 -> world.deliver(1 + rest % Math.max(1, world.opened)); // may be closed already
            case 6 -> {
                if (rest % 2 == 0) {
                    world.open.remove(watch);
                    world.carryOut(world.membership.watchEnded(watch, world.now));
                } else if (rest % 4 == 1) {
                    world.carryOut(world.membership.unreadableDataReceived(watch, world.now));
                } else {
                    world.carryOut(world.membership.watchRefused(watch, 0, world.now));
                }
            }
            case 7 -> {
                world.currentAgent = rest % 2;
                world.carryOut(world.membership.discoveryMoved(world.agent().address, world.now));
            }
            case 8 -> world.carryOut(world.membership.dataReceived(1 + rest % Math.max(1, world.opened), world.now));
            default -> {
                world.now += rest % 200 / 100.0;
                world.carryOut(world.membership.tick(world.now));
            }
        }
    }

    @Property(tries = 4_000, seed = SEED)
    void invariantsHoldForRandomEvents(@ForAll @Size(max = 120) List<@IntRange(max = 9_999) Integer> script) {
        World world = new World();
        for (int code : script) {
            apply(world, code);
            world.check();
        }
        // Discovery does not answer: watches have to be reopened repeatedly.
        int openedBefore = world.opened;
        double until = world.now + 30;
        while (world.now < until) {
            world.now += 0.1;
            world.carryOut(world.membership.tick(world.now));
            world.check();
        }
        double longest = TIMING.silenceTimeoutSeconds() + TIMING.maxBackoffSeconds() + 0.2;
        assertTrue(
                world.opened - openedBefore >= (int) (30 / longest),
                "opened " + (world.opened - openedBefore) + " times");
        // The current agent answers: the snapshot has to agree with its list.
        while (world.membership.currentWatch() == 0
                || world.open.get(world.membership.currentWatch()).fullList()) {
            world.now += 0.1;
            world.carryOut(world.membership.tick(world.now));
            world.deliver(world.membership.currentWatch());
        }
        world.deliver(world.membership.currentWatch());
        world.check();
        world.checkPublishedUnchanged();
        Map<String, Phase> believed = new TreeMap<>();
        world.membership.snapshot().endpoints().values().stream()
                .filter(one -> one.target().phase() != Phase.GONE)
                .forEach(one -> believed.put(one.id(), one.target().phase()));
        Map<String, Phase> listed = new TreeMap<>();
        world.agent().endpoints.forEach((id, entry) -> listed.put(id, entry.phase()));
        assertEquals(listed, believed);
        world.agent()
                .endpoints
                .forEach((id, entry) -> assertEquals(
                        entry.address(),
                        world.membership.snapshot().endpoints().values().stream()
                                .filter(one ->
                                        one.id().equals(id) && one.target().phase() != Phase.GONE)
                                .findFirst()
                                .orElseThrow()
                                .address(),
                        id + " has another address"));
    }

    /** Lets the current watch fail in one of several ways while discovery is unreachable. */
    private static void failWatch(World world, int code) {
        int watch = world.membership.currentWatch();
        double retryAfterSeconds = new double[] {0, 0.3, 3, 1e9}[code / 8 % 4];
        switch (code % 8) {
            case 0, 1 -> world.carryOut(world.membership.watchRefused(watch, retryAfterSeconds, world.now));
            case 2 -> {
                world.open.remove(watch);
                world.carryOut(world.membership.watchEnded(watch, world.now));
            }
            case 3 -> world.carryOut(world.membership.unreadableDataReceived(watch, world.now));
            case 4 ->
                world.carryOut(world.membership.dataReceived(watch, world.now)); // a response header and nothing more
            case 5 -> world.now += code / 32 % 100 / 50.0;
            default -> world.now = Math.max(world.now, world.membership.nextTickAt() + 0.01); // silence or backoff
        }
        world.carryOut(world.membership.tick(world.now));
    }

    /**
     * Once discovery is reachable and has a change, the relay receives it within the notification limit, regardless of
     * how earlier calls and one later call fail and whether the address of discovery has changed. No data arrives on
     * watches that were open before.
     */
    @Property(tries = 4_000, seed = SEED)
    void changesAreReceivedWithinTheNotificationLimit(
            @ForAll @Size(max = 40) List<@IntRange(max = 9_999) Integer> before,
            @ForAll boolean served,
            @ForAll @IntRange(max = 9_999) int after,
            @ForAll @IntRange(max = 3) int moves) {
        World world = new World();
        if (served) { // otherwise the full list is requested
            world.deliver(1);
            world.deliver(world.membership.currentWatch());
        }
        for (int i = 0; i < before.size(); i++) {
            failWatch(world, before.get(i));
            if (moves > 0 && before.get(i) % 13 == 0) {
                world.currentAgent = 1 - world.currentAgent;
                world.carryOut(world.membership.discoveryMoved(world.agent().address, world.now));
            }
        }
        double reachableFrom = world.now;
        world.agent().change(entry(1, Phase.DRAINING, 0));
        Set<Integer> unresponsive = Set.copyOf(world.open.keySet());
        boolean refused = after % 2 == 0;
        while (world.membership.snapshot().endpoints().isEmpty()) {
            int watch = world.membership.currentWatch();
            if (watch != 0 && !unresponsive.contains(watch) && refused) {
                refused = false;
                world.carryOut(world.membership.watchRefused(watch, after / 2 % 5, world.now));
            } else if (watch != 0 && !unresponsive.contains(watch)) {
                world.deliver(watch);
            } else {
                world.now = Math.max(world.now, world.membership.nextTickAt()) + 0.01;
                world.carryOut(world.membership.tick(world.now));
            }
            assertTrue(
                    world.now - reachableFrom < WatchTiming.NOTIFICATION_LIMIT_SECONDS - 0.3,
                    "change not received after " + (world.now - reachableFrom) + " s");
        }
    }

    /** The most cautious phase wins regardless of which source states it and in which order. */
    @Property(tries = 2_000, seed = SEED)
    void mostCautiousPhaseOfAllSourcesWins(@ForAll @Size(max = 60) List<@IntRange(max = 9_999) Integer> script) {
        List<String> sources = List.of(Membership.DISCOVERY, "second", "third");
        EndpointRegistry roster = new EndpointRegistry(sources, 30);
        Map<String, Map<String, Phase>> phases = new HashMap<>();
        double now = 0;
        for (int code : script) {
            now += 0.1;
            String source = sources.get(code % 3);
            int id = code / 3 % 4;
            Phase phase = Phase.values()[code / 12 % 3];
            boolean whole = code / 36 % 4 == 0;
            List<EndpointEntry> entries = List.of(entry(id, phase, 0));
            if (whole) {
                phases.forEach(
                        (name, phaseBySource) -> phaseBySource.computeIfPresent(source, (key, last) -> Phase.GONE));
            }
            phases.computeIfAbsent("s-" + id, key -> new HashMap<>()).put(source, phase);
            phases.values()
                    .removeIf(phaseBySource ->
                            phaseBySource.values().stream().allMatch(phaseOfSource -> phaseOfSource == Phase.GONE));
            roster.apply(source, new EndpointUpdate(whole, code, entries, Set.of()), source, true, now);
            Snapshot snapshot = roster.snapshot();
            Map<String, Phase> actual = new HashMap<>();
            snapshot.endpoints().values().stream()
                    .filter(one -> one.target().phase() != Phase.GONE)
                    .forEach(one -> assertFalse(
                            actual.put(one.id(), one.target().phase()) != null, "two endpoints with one id"));
            Map<String, Phase> expected = new HashMap<>();
            phases.forEach((name, phaseBySource) -> expected.put(
                    name, phaseBySource.values().stream().max(Phase::compareTo).orElseThrow()));
            expected.values().removeIf(phaseOfSource -> phaseOfSource == Phase.GONE);
            assertEquals(expected, actual);
        }
    }
}
