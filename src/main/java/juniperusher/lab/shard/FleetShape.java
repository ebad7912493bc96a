package juniperusher.lab.shard;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeSet;
import juniperusher.shard.RelayInfo;
import juniperusher.shard.ShardMap;
import juniperusher.shard.ShardRange;
import juniperusher.shard.assign.AssignmentPlanner;
import juniperusher.shard.assign.LoadBounds;

/**
 * The size of a fleet, and the maps of it.
 *
 * @param zones of all regions together
 * @param epoch of the aged map
 */
record FleetShape(int destinations, int relayCount, int regions, int zones, long epoch) {
    /** What the operators expect within two years, at 11,000 changes a day. */
    static final FleetShape TARGET = new FleetShape(1_200_000, 4_300, 6, 18, 2 * 365 * 11_000L);

    List<RelayInfo> relays() {
        List<RelayInfo> relays = new ArrayList<>();
        for (int i = 0; i < relayCount; i++) {
            int zone = i % zones;
            String name = "relay-%04d.zone-%02d".formatted(i, zone);
            relays.add(new RelayInfo(name, "region-" + zone % regions, "zone-%02d".formatted(zone), 1));
        }
        return relays;
    }

    /** The first map of this fleet. */
    ShardMap firstMap(int rangesPerRelay) {
        Map<String, Integer> sizes = new LinkedHashMap<>();
        for (int region = 0; region < regions; region++) {
            sizes.put("region-" + region, destinations / regions);
        }
        return new AssignmentPlanner(LoadBounds.DEFAULT).createFirstMap(0, sizes, relays(), rangesPerRelay);
    }

    /** The same, after two years: the last moves of its ranges lie anywhere in that time. */
    ShardMap agedMap(int rangesPerRelay, long seed) {
        ShardMap first = firstMap(rangesPerRelay);
        SplittableRandom random = new SplittableRandom(seed);
        List<ShardRange> ranges = new ArrayList<>();
        for (ShardRange range : first.ranges()) {
            long movedAt = random.nextLong(epoch);
            ranges.add(new ShardRange(range.from(), range.to(), range.region(), range.owner(), range.zone(), movedAt));
        }
        return ShardMap.of(epoch, first.from(), first.to(), first.relays(), ranges);
    }

    static Set<String> names(ShardMap map) {
        Set<String> names = new TreeSet<>();
        map.relays().forEach(relay -> names.add(relay.name()));
        return names;
    }
}
