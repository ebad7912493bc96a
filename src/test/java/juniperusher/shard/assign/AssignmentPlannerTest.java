package juniperusher.shard.assign;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Collectors;
import juniperusher.shard.RelayInfo;
import juniperusher.shard.ShardMap;
import juniperusher.shard.ShardMapStep;
import juniperusher.shard.ShardRange;
import org.junit.jupiter.api.Test;

/** Tests that loads stay within bounds and few ranges move when relays, zones and regions fail and recover. */
class AssignmentPlannerTest {
    private static final int ZONES = 3;
    private static final AssignmentPlanner PLANNER = new AssignmentPlanner(LoadBounds.DEFAULT);

    /** Creates the relays of regions r0, r1, ..., the same number for each, spread over the zones of the region. */
    static List<RelayInfo> relays(int regions, int relaysPerRegion) {
        List<RelayInfo> relays = new ArrayList<>();
        for (int region = 0; region < regions; region++) {
            for (int i = 0; i < relaysPerRegion; i++) {
                String zone = "r" + region + "z" + i % ZONES;
                relays.add(new RelayInfo("relay-%d-%04d".formatted(region, i), "r" + region, zone, 1));
            }
        }
        return relays;
    }

    static ShardMap map(List<RelayInfo> relays, int regions, int destinationsPerRegion, int rangesPerRelay) {
        Map<String, Integer> sizes = new LinkedHashMap<>();
        for (int region = 0; region < regions; region++) {
            sizes.put("r" + region, destinationsPerRegion);
        }
        return PLANNER.createFirstMap(0, sizes, relays, rangesPerRelay);
    }

    static Set<String> names(List<RelayInfo> relays) {
        return relays.stream().map(RelayInfo::name).collect(Collectors.toCollection(TreeSet::new));
    }

    /**
     * Asserts that all ranges of regions with available relays have an available owner, and that the loads are within
     * the bounds. Computes loads and fair shares from the map, independently of the planner.
     */
    static void assertWithinBounds(ShardMap map, Set<String> available, LoadBounds bounds) {
        Map<String, Long> loads = new HashMap<>();
        Map<String, Long> totals = new HashMap<>();
        Map<String, Long> weights = new HashMap<>();
        for (String name : available) {
            weights.merge(map.relay(name).region(), (long) map.relay(name).weight(), Long::sum);
        }
        for (ShardRange range : map.ranges()) {
            if (weights.containsKey(range.region())) {
                assertTrue(
                        range.isOwned() && available.contains(range.owner()),
                        () -> "not owned by an available relay: " + range);
                loads.merge(range.owner(), range.size(), Long::sum);
                totals.merge(range.region(), range.size(), Long::sum);
            }
        }
        for (String name : available) {
            RelayInfo relay = map.relay(name);
            double fair =
                    (double) totals.getOrDefault(relay.region(), 0L) * relay.weight() / weights.get(relay.region());
            long load = loads.getOrDefault(name, 0L);
            assertTrue(
                    load >= Math.floor(bounds.minLoadRatio() * fair) && load <= Math.ceil(bounds.maxLoadRatio() * fair),
                    () -> relay + " has " + load + ", its fair share is " + fair);
        }
    }

    private static long countMoved(ShardMap before, ShardMap after) {
        long moved = 0;
        for (int i = before.from(); i < before.to(); i++) {
            moved += Objects.equals(before.ownerOf(i), after.ownerOf(i)) ? 0 : 1;
        }
        return moved;
    }

    /**
     * Plans for the available relays and applies the plan. Asserts that the loads are within the bounds, that the plan
     * reports the right number of moved destinations, and that this is at most the given multiple of the minimum.
     */
    private static ShardMap applyCheckedPlan(ShardMap map, Set<String> available, double maxMovedToMinimumRatio) {
        AssignmentPlan plan = PLANNER.plan(map, available);
        ShardMap next = plan.applyTo(map);
        assertWithinBounds(next, available, LoadBounds.DEFAULT);
        assertEquals(countMoved(map, next), plan.movedDestinations());
        assertTrue(
                plan.movedDestinations() >= plan.minMovedDestinations(),
                plan.movedDestinations() + " of at least " + plan.minMovedDestinations());
        assertTrue(
                plan.movedDestinations() <= maxMovedToMinimumRatio * plan.minMovedDestinations(),
                plan.movedDestinations() + " moved, minimum " + plan.minMovedDestinations());
        return next;
    }

    @Test
    void firstMapGivesEachRelayItsShareAndRangeCount() {
        List<RelayInfo> relays = relays(2, 30);
        ShardMap map = map(relays, 2, 9_000, 8);
        assertEquals(1, map.epoch());
        assertWithinBounds(map, names(relays), LoadBounds.DEFAULT);
        assertEquals(8, map.rangesOwnedBy("relay-1-0007").size());
        assertEquals(List.of(), PLANNER.plan(map, names(relays)).steps(), "a second plan must not change anything");
    }

    @Test
    void lossMovesOnlyTheRangesOfTheLostRelayAndItsReturnFewMore() {
        List<RelayInfo> relays = relays(2, 30);
        Set<String> available = names(relays);
        ShardMap map = map(relays, 2, 9_000, 4);
        available.remove("relay-0-0003");
        ShardMap without = applyCheckedPlan(map, available, 1);
        assertEquals(300, countMoved(map, without));
        assertEquals(List.of(), without.rangesOwnedBy("relay-0-0003"));
        assertEquals(
                map.rangesOwnedBy("relay-1-0003"),
                without.rangesOwnedBy("relay-1-0003"),
                "a relay of another region keeps its ranges");
        available.add("relay-0-0003");
        ShardMap again = applyCheckedPlan(without, available, 1.05);
        assertTrue(again.rangesOwnedBy("relay-0-0003").stream()
                        .mapToLong(ShardRange::size)
                        .sum()
                >= 270);
    }

    @Test
    void failedZoneIsSpreadOverTheOtherZonesOfItsRegion() {
        List<RelayInfo> relays = relays(2, 30);
        Set<String> available = names(relays);
        ShardMap map = map(relays, 2, 9_000, 4);
        available.removeIf(name -> map.relay(name).zone().equals("r0z1"));
        assertEquals(50, available.size());
        ShardMap without = applyCheckedPlan(map, available, 1);
        available.addAll(names(relays));
        applyCheckedPlan(without, available, 1.05);
    }

    @Test
    void regionWithoutAvailableRelayKeepsItsOwners() {
        List<RelayInfo> relays = relays(2, 30);
        Set<String> available = names(relays);
        ShardMap map = map(relays, 2, 9_000, 4);
        available.removeIf(name -> map.relay(name).region().equals("r0"));
        AssignmentPlan plan = PLANNER.plan(map, available);
        assertEquals(List.of("r0"), plan.unavailableRegions());
        assertEquals(map, plan.applyTo(map));
    }

    @Test
    void loadFollowsWeightAndItsChanges() {
        List<RelayInfo> relays = relays(1, 12);
        Set<String> available = names(relays);
        ShardMap map = map(relays, 1, 12_000, 8);
        ShardMap heavier = map.withSteps(new ShardMapStep.PutRelay(new RelayInfo("relay-0-0000", "r0", "r0z0", 5)));
        ShardMap next = applyCheckedPlan(heavier, available, 1.05);
        assertTrue(next.rangesOwnedBy("relay-0-0000").stream()
                        .mapToLong(ShardRange::size)
                        .sum()
                >= 3_375);
    }

    @Test
    void unownedRangesAndRangesOfARemovedRelayAreAssigned() {
        List<RelayInfo> relays = relays(1, 10);
        ShardMap map = map(relays, 1, 1_000, 4);
        ShardMap released = map.withSteps(map.rangesOwnedBy("relay-0-0001").stream()
                .map(range -> (ShardMapStep) new ShardMapStep.Release(range.from()))
                .toList());
        ShardMap removed = released.withSteps(new ShardMapStep.RemoveRelay("relay-0-0001"));
        Set<String> available = names(removed.relays());
        applyCheckedPlan(removed, available, 1);
        assertThrows(IllegalArgumentException.class, () -> PLANNER.plan(removed, Set.of("relay-0-0001")));
    }

    @Test
    void regionMayHaveFewerDestinationsThanRelays() {
        List<RelayInfo> relays = relays(1, 10);
        Set<String> available = names(relays);
        ShardMap map = map(relays, 1, 3, 4);
        assertEquals(3, map.rangeCount());
        available.remove(map.ownerOf(0));
        applyCheckedPlan(map, available, 1);
    }

    @Test
    void theSameMapAndRelaysGiveTheSamePlan() {
        List<RelayInfo> relays = relays(2, 30);
        ShardMap map = map(relays, 2, 9_000, 4);
        Set<String> available = names(relays);
        available.removeIf(name -> map.relay(name).zone().equals("r1z2"));
        assertEquals(PLANNER.plan(map, available), PLANNER.plan(map, Set.copyOf(available)));
    }

    @Test
    void unsatisfiableBoundsAreRefused() {
        assertThrows(IllegalArgumentException.class, () -> new LoadBounds(1.1, 1.2));
        assertThrows(IllegalArgumentException.class, () -> new LoadBounds(0.9, 0.99));
        assertThrows(IllegalArgumentException.class, () -> new LoadBounds(Double.NaN, 1.1));
    }
}
