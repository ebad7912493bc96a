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
 * Thousands of orders of events, drawn from the seed below, against a model of two agents that number their
 * lists each in its own way. A failing order is shrunk and printed with its seed.
 */
class MembershipPropertyTest {
    private static final String SEED = "20261201";
    private static final Timing TIMING = Timing.USUAL;
    private static final double SLACK = 1e-6;

    /** An agent as it really is: what it would tell, and from which version on. */
    private static final class Agent {
        private final InetSocketAddress address;
        private final TreeMap<Long, Entry> changes = new TreeMap<>();
        private final Map<String, Entry> state = new HashMap<>();
        private long version;

        Agent(int port, long first) {
            address = new InetSocketAddress("127.0.0.1", port);
            version = first;
        }

        void change(Entry entry) {
            changes.put(++version, entry);
            state.put(entry.id(), entry);
            state.values().removeIf(one -> one.phase() == Phase.GONE);
        }

        Update whole() {
            return new Update(true, version, List.copyOf(state.values()), Set.of());
        }

        Update since(long index) {
            return new Update(
                    false, version, List.copyOf(changes.tailMap(index, false).values()), Set.of());
        }
    }

    /** Carries steps out and holds what must always be true against them. */
    private static final class World {
        private final Agent[] agents = {new Agent(1, 0), new Agent(2, 1_000)};
        private final Membership membership = new Membership(TIMING, List.of(), 7);
        private final Map<Integer, Step.Open> open = new HashMap<>();
        private final Map<Integer, Long> upTo = new HashMap<>();
        private final Map<Integer, Target> module = new HashMap<>();
        private final Map<Integer, String> names = new HashMap<>();
        private final Map<String, Phase> lastWord = new HashMap<>();
        private final List<Snapshot> kept = new ArrayList<>();
        private final List<String> keptText = new ArrayList<>();
        private double now;
        private int opened;
        private int force;

        World() {
            membership.known(new Update(true, 7, List.of(), Set.of()), List.of(), 0);
            carryOut(membership.moved(agents[0].address, now));
        }

        void carryOut(List<Step> steps) {
            for (Step step : steps) {
                if (step instanceof Step.Open watch) {
                    assertTrue(open.size() <= 2, "a watch is opened beside " + open);
                    open.put(watch.watch(), watch);
                    upTo.put(watch.watch(), watch.index());
                    opened++;
                } else if (step instanceof Step.Abandon watch) {
                    assertTrue(open.remove(watch.watch()) != null, "no such watch");
                } else if (step instanceof Step.Publish change) {
                    change.told().targets().forEach(target -> module.put(target.id(), target));
                    change.snapshot()
                            .endpoints()
                            .forEach((number, endpoint) -> assertEquals(
                                    endpoint.id(),
                                    names.computeIfAbsent(number, key -> endpoint.id()),
                                    "a number is used again"));
                    kept.add(change.snapshot());
                    keptText.add(change.snapshot().endpoints().toString());
                }
            }
        }

        Agent agent() {
            return agents[force];
        }

        /** What the agent in force says on a watch, as of now; whether the watch was in force. */
        void deliver(int watch) {
            Step.Open asked = open.get(watch);
            if (asked == null) { // an old watch that still talks, of endpoints all ready
                carryOut(
                        membership.told(watch, new Update(true, 99, List.of(entry(0, Phase.READY, 9)), Set.of()), now));
                return;
            }
            Update update = asked.whole() ? agent().whole() : agent().since(upTo.get(watch));
            upTo.put(watch, update.version());
            if (update.whole()) {
                open.remove(watch); // the answer is over
                lastWord.clear();
            }
            update.entries().forEach(entry -> lastWord.put(entry.id(), entry.phase()));
            carryOut(membership.told(watch, update, now));
        }

        void check() {
            assertTrue(membership.watch() == 0 || open.containsKey(membership.watch()));
            assertTrue(membership.due() <= now + TIMING.silenceTimeoutSeconds() + SLACK, "due at " + membership.due());
            if (membership.watch() == 0) {
                assertTrue(membership.due() <= now + TIMING.maxBackoffSeconds() + SLACK, "no watch is open or due");
            }
            Snapshot snapshot = membership.snapshot();
            module.forEach((number, target) -> assertTrue(
                    target.equals(snapshot.target(number))
                            || snapshot.target(number) == null && target.phase() == Phase.GONE,
                    "the module believes " + target + ", guards " + snapshot.target(number)));
            snapshot.endpoints().values().forEach(one -> {
                assertEquals(one.target(), module.get(one.target().id()));
                if (one.target().phase() == Phase.READY) {
                    assertEquals(Phase.READY, lastWord.get(one.id()), one.id() + " is ready against the last word");
                }
            });
        }

        void checkKept() {
            for (int i = 0; i < kept.size(); i++) {
                assertEquals(keptText.get(i), kept.get(i).endpoints().toString(), "a snapshot has changed");
            }
        }
    }

    private static Entry entry(int id, Phase phase, int port) {
        return new Entry("s-" + id, new InetSocketAddress("127.0.0.1", 100 + port), id % 3, 0, 0, 1 + id, phase);
    }

    private static void play(World world, int code) {
        int what = code % 10;
        int rest = code / 10;
        int watch = world.membership.watch();
        switch (what) {
            case 0, 1, 2 ->
                world.agents[rest % 2].change(entry(rest / 2 % 6, Phase.values()[rest / 12 % 3], rest / 36 % 3));
            case 3, 4 -> world.deliver(watch);
            case 5 -> world.deliver(1 + rest % Math.max(1, world.opened)); // perhaps one that is over
            case 6 -> {
                if (rest % 2 == 0) {
                    world.open.remove(watch);
                    world.carryOut(world.membership.ended(watch, world.now));
                } else if (rest % 4 == 1) {
                    world.carryOut(world.membership.damaged(watch, world.now));
                } else {
                    world.carryOut(world.membership.turnedAway(watch, 0, world.now));
                }
            }
            case 7 -> {
                world.force = rest % 2;
                world.carryOut(world.membership.moved(world.agent().address, world.now));
            }
            case 8 -> world.carryOut(world.membership.heard(1 + rest % Math.max(1, world.opened), world.now));
            default -> {
                world.now += rest % 200 / 100.0;
                world.carryOut(world.membership.tick(world.now));
            }
        }
    }

    @Property(tries = 4_000, seed = SEED)
    void noOrderOfEventsBreaksMembership(@ForAll @Size(max = 120) List<@IntRange(max = 9_999) Integer> script) {
        World world = new World();
        for (int code : script) {
            play(world, code);
            world.check();
        }
        // Nothing answers: watches are opened again and again.
        int before = world.opened;
        double until = world.now + 30;
        while (world.now < until) {
            world.now += 0.1;
            world.carryOut(world.membership.tick(world.now));
            world.check();
        }
        double longest = TIMING.silenceTimeoutSeconds() + TIMING.maxBackoffSeconds() + 0.2;
        assertTrue(world.opened - before >= (int) (30 / longest), "opened " + (world.opened - before) + " times");
        // The agent in force answers: what it says is what is believed.
        while (world.membership.watch() == 0
                || world.open.get(world.membership.watch()).whole()) {
            world.now += 0.1;
            world.carryOut(world.membership.tick(world.now));
            world.deliver(world.membership.watch());
        }
        world.deliver(world.membership.watch());
        world.check();
        world.checkKept();
        Map<String, Phase> believed = new TreeMap<>();
        world.membership.snapshot().endpoints().values().stream()
                .filter(one -> one.target().phase() != Phase.GONE)
                .forEach(one -> believed.put(one.id(), one.target().phase()));
        Map<String, Phase> truth = new TreeMap<>();
        world.agent().state.forEach((id, entry) -> truth.put(id, entry.phase()));
        assertEquals(truth, believed);
        world.agent()
                .state
                .forEach((id, entry) -> assertEquals(
                        entry.address(),
                        world.membership.snapshot().endpoints().values().stream()
                                .filter(one ->
                                        one.id().equals(id) && one.target().phase() != Phase.GONE)
                                .findFirst()
                                .orElseThrow()
                                .address(),
                        id + " is elsewhere"));
    }

    /** What becomes of the watch in force while discovery cannot be reached. */
    private static void fails(World world, int code) {
        int watch = world.membership.watch();
        double told = new double[] {0, 0.3, 3, 1e9}[code / 8 % 4];
        switch (code % 8) {
            case 0, 1 -> world.carryOut(world.membership.turnedAway(watch, told, world.now));
            case 2 -> {
                world.open.remove(watch);
                world.carryOut(world.membership.ended(watch, world.now));
            }
            case 3 -> world.carryOut(world.membership.damaged(watch, world.now));
            case 4 -> world.carryOut(world.membership.heard(watch, world.now)); // a head, and nothing more
            case 5 -> world.now += code / 32 % 100 / 50.0;
            default -> world.now = Math.max(world.now, world.membership.due() + 0.01); // silence, or a pause
        }
        world.carryOut(world.membership.tick(world.now));
    }

    /**
     * The clock itself: whatever has become of the calls before, and of one after, and whether discovery has
     * moved meanwhile, a change is heard in time from when discovery has it and can be reached. What was open
     * by then never says anything.
     */
    @Property(tries = 4_000, seed = SEED)
    void whatDiscoveryHasIsHeardWithinTheClockOnceItCanBeReached(
            @ForAll @Size(max = 40) List<@IntRange(max = 9_999) Integer> before,
            @ForAll boolean served,
            @ForAll @IntRange(max = 9_999) int after,
            @ForAll @IntRange(max = 3) int moves) {
        World world = new World();
        if (served) { // else the whole list is what is asked for
            world.deliver(1);
            world.deliver(world.membership.watch());
        }
        for (int i = 0; i < before.size(); i++) {
            fails(world, before.get(i));
            if (moves > 0 && before.get(i) % 13 == 0) {
                world.force = 1 - world.force;
                world.carryOut(world.membership.moved(world.agent().address, world.now));
            }
        }
        double from = world.now;
        world.agent().change(entry(1, Phase.DRAINING, 0));
        Set<Integer> deaf = Set.copyOf(world.open.keySet());
        boolean refused = after % 2 == 0;
        while (world.membership.snapshot().endpoints().isEmpty()) {
            int watch = world.membership.watch();
            if (watch != 0 && !deaf.contains(watch) && refused) {
                refused = false;
                world.carryOut(world.membership.turnedAway(watch, after / 2 % 5, world.now));
            } else if (watch != 0 && !deaf.contains(watch)) {
                world.deliver(watch);
            } else {
                world.now = Math.max(world.now, world.membership.due()) + 0.01;
                world.carryOut(world.membership.tick(world.now));
            }
            assertTrue(
                    world.now - from < Timing.NOTIFICATION_LIMIT_SECONDS - 0.3,
                    "not heard after " + (world.now - from) + " s");
        }
    }

    /** The cautious word prevails, whichever source says it and in whatever order. */
    @Property(tries = 2_000, seed = SEED)
    void whereSourcesDifferTheMostCautiousWordPrevails(
            @ForAll @Size(max = 60) List<@IntRange(max = 9_999) Integer> script) {
        List<String> sources = List.of(Membership.DISCOVERY, "second", "third");
        EndpointRegistry roster = new EndpointRegistry(sources, 30);
        Map<String, Map<String, Phase>> words = new HashMap<>();
        double now = 0;
        for (int code : script) {
            now += 0.1;
            String source = sources.get(code % 3);
            int id = code / 3 % 4;
            Phase phase = Phase.values()[code / 12 % 3];
            boolean whole = code / 36 % 4 == 0;
            List<Entry> entries = List.of(entry(id, phase, 0));
            if (whole) {
                words.forEach((name, said) -> said.computeIfPresent(source, (key, last) -> Phase.GONE));
            }
            words.computeIfAbsent("s-" + id, key -> new HashMap<>()).put(source, phase);
            words.values().removeIf(said -> said.values().stream().allMatch(word -> word == Phase.GONE));
            roster.apply(source, new Update(whole, code, entries, Set.of()), source, true, now);
            Snapshot snapshot = roster.snapshot();
            Map<String, Phase> standing = new HashMap<>();
            snapshot.endpoints().values().stream()
                    .filter(one -> one.target().phase() != Phase.GONE)
                    .forEach(one ->
                            assertFalse(standing.put(one.id(), one.target().phase()) != null, "named twice"));
            Map<String, Phase> expected = new HashMap<>();
            words.forEach((name, said) -> expected.put(
                    name, said.values().stream().max(Phase::compareTo).orElseThrow()));
            expected.values().removeIf(word -> word == Phase.GONE);
            assertEquals(expected, standing);
        }
    }
}
