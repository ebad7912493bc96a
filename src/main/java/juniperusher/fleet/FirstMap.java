package juniperusher.fleet;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import juniperusher.shard.RelayInfo;
import juniperusher.shard.ShardMap;
import juniperusher.shard.ShardRange;

/**
 * Creates the first shard map of a fleet. Each region gets a contiguous interval of destinations, in proportion to the
 * total weight of its relays. Every relay owns the same number of ranges, which are spread over the interval of its
 * region; their size is in proportion to the relay's weight.
 */
public final class FirstMap {
    private FirstMap() {}

    /**
     * Creates the map of epoch 1.
     *
     * @param destinations number of destinations
     * @throws IllegalArgumentException with a one-line message if there are no relays or fewer destinations than ranges
     */
    public static ShardMap of(Collection<RelayInfo> relays, int destinations, int rangesPerRelay) {
        if (relays.isEmpty()) {
            throw new IllegalArgumentException("the list of relays is empty");
        }
        if (destinations < (long) relays.size() * rangesPerRelay) {
            throw new IllegalArgumentException("destinations = " + destinations + ": expected at least "
                    + (long) relays.size() * rangesPerRelay + ", one for each of " + rangesPerRelay + " ranges of "
                    + relays.size() + " relays");
        }
        List<RelayInfo> slots = new ArrayList<>();
        byRegion(relays).values().forEach(region -> {
            for (int i = 0; i < rangesPerRelay; i++) {
                slots.addAll(region);
            }
        });
        return ShardMap.of(1, 0, destinations, relays, ranges(slots, destinations));
    }

    private static Map<String, List<RelayInfo>> byRegion(Collection<RelayInfo> relays) {
        Map<String, List<RelayInfo>> regions = new TreeMap<>();
        for (RelayInfo relay : relays) {
            regions.computeIfAbsent(relay.region(), name -> new ArrayList<>()).add(relay);
        }
        regions.values().forEach(region -> region.sort(Comparator.comparing(RelayInfo::name)));
        return regions;
    }

    /** One range per slot. It has one destination, plus a share of the remaining ones in proportion to its weight. */
    private static List<ShardRange> ranges(List<RelayInfo> slots, int destinations) {
        long weights = slots.stream().mapToLong(RelayInfo::weight).sum();
        long shared = destinations - slots.size();
        List<ShardRange> ranges = new ArrayList<>(slots.size());
        long weightBefore = 0;
        int start = 0;
        for (int i = 0; i < slots.size(); i++) {
            RelayInfo owner = slots.get(i);
            weightBefore += owner.weight();
            int end = (int) (i + 1 + shared * weightBefore / weights);
            ranges.add(new ShardRange(start, end, owner.region(), owner.name(), owner.zone(), 1));
            start = end;
        }
        return ranges;
    }
}
