package juniperusher.shard.assign;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import juniperusher.shard.RelayInfo;
import juniperusher.shard.ShardMap;
import juniperusher.shard.ShardMapStep;
import juniperusher.shard.ShardRange;

/**
 * Assigns the ranges of a map to the relays that are available, each region by itself. Without state and random: the
 * same map and relays give the same plan.
 *
 * <p>What holds after a plan's steps, for each region with an available relay: every range is owned by an available
 * relay of its region, and every relay's load is within the {@link LoadBounds} of its fair share, rounded outward to
 * whole destinations. The load is the number of destinations. The plan moves little more than any such assignment has
 * to, see {@link AssignmentPlan#minimum}; where no range fits, one is split.
 *
 * <p>In a region without an available relay nothing changes: from outside, a region that is cut off looks like one that
 * has failed, and its relays go on under the map that they have. Taking their ranges would make second owners, and move
 * everything twice.
 */
public final class Assignment {
    private final LoadBounds bounds;

    /** An assignment within these bounds. */
    public Assignment(LoadBounds bounds) {
        this.bounds = bounds;
    }

    /**
     * The steps to an assignment over the available relays.
     *
     * @throws IllegalArgumentException where one of them is not in the map
     */
    public AssignmentPlan plan(ShardMap map, Set<String> available) {
        Map<String, List<RelayInfo>> relays = byRegion(map, available);
        Map<String, List<ShardRange>> ranges = new TreeMap<>();
        map.ranges()
                .forEach(range -> ranges.computeIfAbsent(range.region(), any -> new ArrayList<>())
                        .add(range));
        List<ShardMapStep> steps = new ArrayList<>();
        List<String> abandoned = new ArrayList<>();
        long moved = 0;
        long minimum = 0;
        for (Map.Entry<String, List<ShardRange>> region : ranges.entrySet()) {
            List<RelayInfo> owners = relays.getOrDefault(region.getKey(), List.of());
            if (owners.isEmpty()) {
                abandoned.add(region.getKey());
                continue;
            }
            RegionPlanner planner = new RegionPlanner(bounds, owners, region.getValue());
            minimum += planner.minimum();
            planner.run();
            moved += planner.moved();
            steps.addAll(planner.steps());
        }
        return new AssignmentPlan(List.copyOf(steps), moved, minimum, List.copyOf(abandoned));
    }

    private static Map<String, List<RelayInfo>> byRegion(ShardMap map, Set<String> available) {
        for (String name : available) {
            if (map.relay(name) == null) {
                throw new IllegalArgumentException("relay '" + name + "' is not in the map of epoch " + map.epoch());
            }
        }
        Map<String, List<RelayInfo>> relays = new TreeMap<>();
        for (RelayInfo relay : map.relays()) {
            if (available.contains(relay.name())) {
                relays.computeIfAbsent(relay.region(), any -> new ArrayList<>()).add(relay);
            }
        }
        return relays;
    }

    /**
     * A first map, of epoch 1: each region's destinations in ranges of equal size, assigned to all relays.
     *
     * @param from the first destination
     * @param regions the regions in the order of their destinations, with how many each has
     * @param rangesPerRelay how many ranges there are for each of a region's relays
     */
    public ShardMap firstMap(int from, Map<String, Integer> regions, List<RelayInfo> relays, int rangesPerRelay) {
        List<ShardRange> ranges = new ArrayList<>();
        int next = from;
        for (Map.Entry<String, Integer> region : regions.entrySet()) {
            long owners = relays.stream()
                    .filter(relay -> relay.region().equals(region.getKey()))
                    .count();
            int size = region.getValue();
            long count = Math.max(1, Math.min(size, owners * rangesPerRelay));
            for (long i = 0; i < count; i++) {
                int start = next + (int) (size * i / count);
                int end = next + (int) (size * (i + 1) / count);
                ranges.add(ShardRange.unowned(start, end, region.getKey(), 0));
            }
            next += size;
        }
        ShardMap unowned = ShardMap.of(0, from, next, relays, ranges);
        Set<String> all = new TreeSet<>();
        relays.forEach(relay -> all.add(relay.name()));
        List<ShardMapStep> steps = plan(unowned, all).steps().stream()
                .filter(step -> !(step instanceof ShardMapStep.Merge)) // the ranges were cut on purpose
                .toList();
        return unowned.next(steps);
    }
}
