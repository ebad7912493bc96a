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
 * Assigns the ranges of a map to the available relays, separately for each region. Deterministic: the same map and
 * relays always give the same plan. Stateless and safe to share between threads.
 *
 * <p>After the steps of a plan, every range of a region that has an available relay is owned by an available relay of
 * that region, and the load of each available relay is within {@link LoadBounds}, rounded outward to whole
 * destinations. The load of a relay is the number of its destinations. The plan moves few destinations more than the
 * lower bound {@link AssignmentPlan#minMovedDestinations}. It splits a range if no whole range fits.
 *
 * <p>The plan changes nothing in a region without an available relay. A region that is disconnected looks from outside
 * like one that has failed, but its relays continue to work with the map that they have. If their ranges were
 * assigned to others, destinations would have two owners, and all ranges would move twice.
 */
public final class AssignmentPlanner {
    private final LoadBounds bounds;

    /** Creates an assignment that keeps the load of each relay within the bounds. */
    public AssignmentPlanner(LoadBounds bounds) {
        this.bounds = bounds;
    }

    /**
     * Computes the steps that assign the ranges to the available relays.
     *
     * @param available the names of the available relays
     * @throws IllegalArgumentException if one of them is not in the map
     */
    public AssignmentPlan plan(ShardMap map, Set<String> available) {
        Map<String, List<RelayInfo>> relays = availableRelaysByRegion(map, available);
        Map<String, List<ShardRange>> ranges = new TreeMap<>();
        map.ranges()
                .forEach(range -> ranges.computeIfAbsent(range.region(), any -> new ArrayList<>())
                        .add(range));
        List<ShardMapStep> steps = new ArrayList<>();
        List<String> unavailableRegions = new ArrayList<>();
        long moved = 0;
        long minMoved = 0;
        for (Map.Entry<String, List<ShardRange>> region : ranges.entrySet()) {
            List<RelayInfo> owners = relays.getOrDefault(region.getKey(), List.of());
            if (owners.isEmpty()) {
                unavailableRegions.add(region.getKey());
                continue;
            }
            RegionPlanner planner = new RegionPlanner(bounds, owners, region.getValue());
            minMoved += planner.minMovedDestinations();
            planner.assign();
            moved += planner.movedDestinations();
            steps.addAll(planner.steps());
        }
        return new AssignmentPlan(List.copyOf(steps), moved, minMoved, List.copyOf(unavailableRegions));
    }

    private static Map<String, List<RelayInfo>> availableRelaysByRegion(ShardMap map, Set<String> available) {
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
     * Creates a map of epoch 1. The destinations of each region are divided into ranges of equal size, which are
     * assigned to all of the region's relays.
     *
     * @param from the first destination
     * @param regions the number of destinations of each region, in the order of the destinations
     * @param relays all relays of the map
     * @param rangesPerRelay the number of ranges per relay; there are fewer if a region has too few destinations
     */
    public ShardMap createFirstMap(int from, Map<String, Integer> regions, List<RelayInfo> relays, int rangesPerRelay) {
        List<ShardRange> ranges = new ArrayList<>();
        int nextDestination = from;
        for (Map.Entry<String, Integer> region : regions.entrySet()) {
            long relayCount = relays.stream()
                    .filter(relay -> relay.region().equals(region.getKey()))
                    .count();
            int size = region.getValue();
            long rangeCount = Math.max(1, Math.min(size, relayCount * rangesPerRelay));
            for (long i = 0; i < rangeCount; i++) {
                int start = nextDestination + (int) (size * i / rangeCount);
                int end = nextDestination + (int) (size * (i + 1) / rangeCount);
                ranges.add(ShardRange.unowned(start, end, region.getKey(), 0));
            }
            nextDestination += size;
        }
        ShardMap unowned = ShardMap.of(0, from, nextDestination, relays, ranges);
        Set<String> relayNames = new TreeSet<>();
        relays.forEach(relay -> relayNames.add(relay.name()));
        // Merges are left out to keep the number of ranges that the caller asked for.
        List<ShardMapStep> steps = plan(unowned, relayNames).steps().stream()
                .filter(step -> !(step instanceof ShardMapStep.Merge))
                .toList();
        return unowned.withSteps(steps);
    }
}
