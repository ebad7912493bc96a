package juniperusher.shard.assign;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import juniperusher.shard.RelayInfo;
import juniperusher.shard.ShardMap;
import juniperusher.shard.ShardMapStep;
import juniperusher.shard.ShardRange;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;

/**
 * Plans assignments after random losses and returns of relays, zones and regions, and after changes of weight. jqwik
 * prints the seed.
 */
class AssignmentPlannerPropertyTest {
    private static final String SEED = "20261202";
    private static final int REGIONS = 3;
    private static final int ZONES = 3;
    private static final int RELAYS = 45;
    private static final int MAX_WEIGHT = 4;
    private static final AssignmentPlanner PLANNER = new AssignmentPlanner(LoadBounds.DEFAULT);

    /** The load that a plan may move beyond the minimum, as a share of the mean load of a relay. */
    private static final double MAX_EXTRA_SHARE = 0.25;

    /** The destinations that a plan may always move beyond the minimum, for relays that have only a few. */
    private static final long MIN_EXTRA_DESTINATIONS = 2;

    private static List<RelayInfo> relays(boolean weighted) {
        List<RelayInfo> relays = new ArrayList<>();
        for (int i = 0; i < RELAYS; i++) {
            relays.add(relay(i, weighted ? 1 + i % MAX_WEIGHT : 1));
        }
        return relays;
    }

    private static RelayInfo relay(int number, int weight) {
        int region = number % REGIONS;
        int zone = number / REGIONS % ZONES;
        return new RelayInfo("relay-%02d".formatted(number), "r" + region, "r" + region + "z" + zone, weight);
    }

    private static Map<String, Integer> regionSizes(int destinations) {
        Map<String, Integer> sizes = new LinkedHashMap<>();
        for (int region = 0; region < REGIONS; region++) {
            sizes.put("r" + region, destinations * (1 + region));
        }
        return sizes;
    }

    /**
     * Applies the change that the number encodes: either a change of the available relays, or another weight of a
     * relay, which leads to a new map.
     */
    private static ShardMap applyCode(ShardMap map, Set<String> available, int code) {
        RelayInfo relay = map.relays().get(code / 10 % RELAYS);
        switch (code % 10) {
            case 0, 1, 2 -> available.remove(relay.name());
            case 3, 4, 5 -> available.add(relay.name());
            case 6 -> available.removeIf(name -> map.relay(name).zone().equals(relay.zone()));
            case 7 -> available.removeIf(name -> map.relay(name).region().equals(relay.region()));
            case 8 ->
                map.relays().stream()
                        .filter(one -> one.region().equals(relay.region()))
                        .forEach(one -> available.add(one.name()));
            default -> {
                int weight = 1 + code / 1_000 % MAX_WEIGHT;
                return map.withSteps(
                        new ShardMapStep.PutRelay(new RelayInfo(relay.name(), relay.region(), relay.zone(), weight)));
            }
        }
        return map;
    }

    private static long countMoved(ShardMap before, ShardMap after) {
        long moved = 0;
        for (int i = before.from(); i < before.to(); i++) {
            moved += before.ownerOf(i).equals(after.ownerOf(i)) ? 0 : 1;
        }
        return moved;
    }

    private static void checkPlan(ShardMap before, AssignmentPlan plan, Set<String> available) {
        ShardMap after = plan.applyTo(before);
        AssignmentPlannerTest.assertWithinBounds(after, available, LoadBounds.DEFAULT);
        assertEquals(countMoved(before, after), plan.movedDestinations());
        assertTrue(plan.movedDestinations() >= plan.minMovedDestinations());
        for (ShardRange range : after.ranges()) {
            if (plan.unavailableRegions().contains(range.region())) {
                assertEquals(
                        range,
                        before.rangeOf(range.from()),
                        "a range of a region without available relays has changed");
            }
        }
        long extra =
                Math.max(MIN_EXTRA_DESTINATIONS, (long) (MAX_EXTRA_SHARE * (before.to() - before.from()) / RELAYS));
        assertTrue(
                plan.movedDestinations() <= plan.minMovedDestinations() + extra,
                () -> plan.movedDestinations() + " moved, the minimum is " + plan.minMovedDestinations());
        assertEquals(List.of(), PLANNER.plan(after, available).steps(), "a second plan must not change anything");
    }

    @Property(tries = 300, seed = SEED)
    void loadsStayWithinBoundsAndMovesNearTheMinimum(
            @ForAll @Size(max = 20) List<@IntRange(max = 99_999) Integer> script,
            @ForAll @IntRange(min = 1, max = 3_000) int destinations,
            @ForAll @IntRange(min = 1, max = 16) int rangesPerRelay,
            @ForAll boolean weighted) {
        List<RelayInfo> relays = relays(weighted);
        Set<String> available = new TreeSet<>(AssignmentPlannerTest.names(relays));
        ShardMap map = PLANNER.createFirstMap(0, regionSizes(destinations), relays, rangesPerRelay);
        AssignmentPlannerTest.assertWithinBounds(map, available, LoadBounds.DEFAULT);
        for (int code : script) {
            map = applyCode(map, available, code);
            AssignmentPlan plan = PLANNER.plan(map, available);
            checkPlan(map, plan, available);
            map = plan.applyTo(map);
        }
    }
}
