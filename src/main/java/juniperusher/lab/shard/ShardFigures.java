package juniperusher.lab.shard;

import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Supplier;
import juniperusher.shard.RelayInfo;
import juniperusher.shard.ShardMap;
import juniperusher.shard.ShardMapCodec;
import juniperusher.shard.ShardMapStep;
import juniperusher.shard.ShardRange;
import juniperusher.shard.assign.AssignmentPlan;
import juniperusher.shard.assign.AssignmentPlanner;
import juniperusher.shard.assign.LoadBounds;

/**
 * Measures the shard map at the size of the fleet to come: memory, sizes, times, and what the assignment moves. Prints
 * tables; takes some minutes. Times are the calling thread's processor time, without garbage collection, so that a busy
 * machine changes them less. They are medians after warming up, but for those of digests and plans, which are single
 * calls.
 */
public final class ShardFigures {
    private static final long SEED = 20261202;
    private static final int[] RANGES_PER_RELAY = {4, 8, 16};
    private static final int BURST = 11_000;
    private static final int RACK = 20;
    private static final int COPIES = 64;
    private static final int REPEATS = 31;
    private static final int LOOKUPS = 2_000_000;
    private static final int DAYS = 100;
    private static final int LOSSES_A_DAY = 15;
    private static final int AWAY_AT_ONCE = 15;
    private static final double NANOS_PER_MILLI = 1e6;
    private static final ThreadMXBean THREADS = ManagementFactory.getThreadMXBean();

    private final ShardMapCodec codec = new ShardMapCodec();
    private final AssignmentPlanner planner = new AssignmentPlanner(LoadBounds.DEFAULT);
    private volatile Object sink; // so that no work is left out

    private ShardFigures() {}

    /** Prints all figures; arguments are not expected. */
    public static void main(String[] arguments) {
        ShardFigures figures = new ShardFigures();
        System.out.println(FleetShape.TARGET + ", seed " + SEED + ", Java " + Runtime.version());
        for (int rangesPerRelay : RANGES_PER_RELAY) {
            figures.sizesAndTimes(rangesPerRelay);
        }
        for (int rangesPerRelay : RANGES_PER_RELAY) {
            figures.losses(rangesPerRelay);
        }
        figures.months(RANGES_PER_RELAY[0]);
    }

    private static void row(String what, Object value) {
        System.out.println("| " + what + " | " + value + " |");
    }

    // ---- sizes and times ----

    private void sizesAndTimes(int rangesPerRelay) {
        ShardMap map = FleetShape.TARGET.agedMap(rangesPerRelay, SEED);
        System.out.println("\n## " + rangesPerRelay + " ranges a relay: " + map);
        byte[] snapshot = codec.encode(map);
        row("heap of a decoded map, bytes", heapOfOne(snapshot));
        row("snapshot, bytes", snapshot.length);
        row("encode, ms", median(() -> codec.encode(map)));
        row("decode, ms", median(() -> codec.decode(snapshot)));
        row("lookup ownerOf, ns", lookup(map, false));
        row("lookup rangeOf, ns", lookup(map, true));
        delta("one move", map, map.withSteps(moves(map, 1)));
        delta("11,000 moves in one epoch", map, map.withSteps(moves(map, BURST)));
        delta("11,000 epochs of one move, coalesced", map, oneByOne(map));
        row("next, one move, ms", median(() -> map.withSteps(moves(map, 1))));
        List<ShardMapStep> burst = moves(map, BURST);
        row("next, 11,000 moves, ms", median(() -> map.withSteps(burst)));
        ShardMap copy = codec.decode(snapshot);
        long start = processorNanos();
        copy.digest();
        row("digest of a map, the first time, ms", millis(processorNanos() - start));
    }

    private void delta(String what, ShardMap base, ShardMap result) {
        byte[] delta = codec.encodeDelta(base, result);
        row("delta of " + what + ", bytes", delta.length);
        row("its encoding, ms", median(() -> codec.encodeDelta(base, result)));
        row("its application, ms", median(() -> codec.apply(base, delta)));
    }

    private ShardMap oneByOne(ShardMap map) {
        ShardMap next = map;
        for (ShardMapStep step : moves(map, BURST)) {
            next = next.withSteps(step);
        }
        return next;
    }

    /** Moves of that many ranges, each to another relay of its region. */
    private static List<ShardMapStep> moves(ShardMap map, int count) {
        SplittableRandom random = new SplittableRandom(SEED);
        Map<String, List<String>> relays = new HashMap<>();
        for (RelayInfo relay : map.relays()) {
            relays.computeIfAbsent(relay.region(), any -> new ArrayList<>()).add(relay.name());
        }
        Set<Integer> moved = new HashSet<>();
        List<ShardMapStep> steps = new ArrayList<>();
        while (steps.size() < count) {
            ShardRange range = map.ranges().get(random.nextInt(map.rangeCount()));
            List<String> owners = relays.get(range.region());
            String owner = owners.get(random.nextInt(owners.size()));
            if (!owner.equals(range.owner()) && moved.add(range.from())) {
                steps.add(new ShardMapStep.Move(range.from(), owner));
            }
        }
        return steps;
    }

    private long heapOfOne(byte[] snapshot) {
        List<ShardMap> copies = new ArrayList<>(COPIES);
        copies.add(codec.decode(snapshot));
        long before = usedHeap();
        for (int i = 0; i < COPIES; i++) {
            copies.add(codec.decode(snapshot));
        }
        long bytes = (usedHeap() - before) / COPIES;
        sink = copies;
        return bytes;
    }

    private static long usedHeap() {
        Runtime runtime = Runtime.getRuntime();
        for (int i = 0; i < 3; i++) {
            System.gc();
        }
        return runtime.totalMemory() - runtime.freeMemory();
    }

    private String lookup(ShardMap map, boolean whole) {
        int[] destinations =
                new SplittableRandom(SEED).ints(1 << 20, map.from(), map.to()).toArray();
        long nanos = medianNanos(() -> {
            Object last = null;
            for (int i = 0; i < LOOKUPS; i++) {
                int destination = destinations[i & (destinations.length - 1)];
                last = whole ? map.rangeOf(destination) : map.ownerOf(destination);
                sink = last;
            }
            return last;
        });
        return "%.0f".formatted((double) nanos / LOOKUPS);
    }

    private String median(Supplier<Object> work) {
        return millis(medianNanos(work));
    }

    private long medianNanos(Supplier<Object> work) {
        long warmUntil = System.nanoTime() + 1_000_000_000L;
        while (System.nanoTime() < warmUntil) {
            sink = work.get();
        }
        long[] times = new long[REPEATS];
        for (int i = 0; i < REPEATS; i++) {
            long start = processorNanos();
            sink = work.get();
            times[i] = processorNanos() - start;
        }
        Arrays.sort(times);
        return times[REPEATS / 2];
    }

    private static long processorNanos() {
        return THREADS.getCurrentThreadCpuTime();
    }

    private static String millis(long nanos) {
        return "%.2f".formatted(nanos / NANOS_PER_MILLI);
    }

    // ---- assignment ----

    private void losses(int rangesPerRelay) {
        ShardMap map = FleetShape.TARGET.firstMap(rangesPerRelay);
        System.out.println("\n## Assignment, " + rangesPerRelay + " ranges a relay");
        System.out.println("| event | moved | minimum | least load | most load | ranges after | steps | delta, bytes |"
                + " plan, ms |");
        String first = map.relays().get(0).name();
        String zone = map.relays().get(0).zone();
        String region = map.relays().get(0).region();
        Set<String> rack = new HashSet<>();
        map.relays().stream()
                .filter(relay -> relay.zone().equals(zone) && rack.size() < RACK)
                .forEach(relay -> rack.add(relay.name()));
        lossAndReturn("one relay", map, Set.of(first));
        lossAndReturn("a rack of " + RACK, map, rack);
        lossAndReturn("a zone", map, namesWhere(map, zone, null));
        lossAndReturn("a region", map, namesWhere(map, null, region));
    }

    private static Set<String> namesWhere(ShardMap map, String zone, String region) {
        Set<String> names = new HashSet<>();
        for (RelayInfo relay : map.relays()) {
            if (relay.zone().equals(zone) || relay.region().equals(region)) {
                names.add(relay.name());
            }
        }
        return names;
    }

    private void lossAndReturn(String what, ShardMap map, Set<String> lost) {
        Set<String> available = FleetShape.names(map);
        available.removeAll(lost);
        ShardMap without = planned(what + " lost", map, available);
        available.addAll(lost);
        planned(what + " back", without, available);
    }

    private ShardMap planned(String what, ShardMap map, Set<String> available) {
        long start = processorNanos();
        AssignmentPlan plan = planner.plan(map, available);
        long nanos = processorNanos() - start;
        ShardMap next = plan.applyTo(map);
        double[] spread = loads(next, available);
        int delta = next == map ? 0 : codec.encodeDelta(map, next).length;
        System.out.println("| %s | %d | %d | %.3f | %.3f | %d | %d | %d | %s |"
                .formatted(
                        what,
                        plan.movedDestinations(),
                        plan.minMovedDestinations(),
                        spread[0],
                        spread[1],
                        next.rangeCount(),
                        plan.steps().size(),
                        delta,
                        millis(nanos)));
        return next;
    }

    /** The least and the most load of an available relay, as parts of its fair share; all weights are equal. */
    private static double[] loads(ShardMap map, Set<String> available) {
        Map<String, Long> loads = new HashMap<>();
        Map<String, Long> totals = new HashMap<>();
        Map<String, Integer> relays = new HashMap<>();
        available.forEach(name -> relays.merge(map.relay(name).region(), 1, Integer::sum));
        for (ShardRange range : map.ranges()) {
            loads.merge(range.owner(), range.size(), Long::sum);
            totals.merge(range.region(), range.size(), Long::sum);
        }
        double least = Double.POSITIVE_INFINITY;
        double most = 0;
        for (String name : available) {
            String region = map.relay(name).region();
            double part = (double) loads.getOrDefault(name, 0L) * relays.get(region) / totals.get(region);
            least = Math.min(least, part);
            most = Math.max(most, part);
        }
        return new double[] {least, most};
    }

    /** Some months of single losses; each lost relay is back when so many others have been lost. */
    private void months(int rangesPerRelay) {
        ShardMap map = FleetShape.TARGET.firstMap(rangesPerRelay);
        System.out.println("\n## " + DAYS + " days of " + LOSSES_A_DAY + " losses and returns, " + rangesPerRelay
                + " ranges a relay at first");
        SplittableRandom random = new SplittableRandom(SEED);
        List<String> away = new ArrayList<>();
        Set<String> available = FleetShape.names(map);
        long moved = 0;
        long minimum = 0;
        for (int loss = 0; loss < DAYS * LOSSES_A_DAY; loss++) {
            String lost = map.relays().get(random.nextInt(map.relays().size())).name();
            if (available.remove(lost)) {
                away.add(lost);
            }
            if (away.size() > AWAY_AT_ONCE) {
                available.add(away.remove(0));
            }
            AssignmentPlan plan = planner.plan(map, available);
            map = plan.applyTo(map);
            moved += plan.movedDestinations();
            minimum += plan.minMovedDestinations();
        }
        row("moved", moved);
        row("minimum", minimum);
        row("ranges at the end", map.rangeCount());
        row("snapshot, bytes", codec.encode(map).length);
        row("most ranges of a relay", mostRanges(map));
    }

    private static int mostRanges(ShardMap map) {
        Map<String, Integer> counts = new HashMap<>();
        map.ranges().forEach(range -> counts.merge(range.owner(), 1, Integer::sum));
        return counts.values().stream().mapToInt(Integer::intValue).max().orElse(0);
    }
}
