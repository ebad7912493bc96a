package juniperusher.shard;

import java.util.Arrays;
import java.util.Collection;
import java.util.Collections;
import java.util.List;
import java.util.TreeMap;
import java.util.TreeSet;

/** The relays of a map in the order of their names, and the names of all its regions in order. Immutable. */
final class RelayTable {
    /** The index of what is not listed. */
    static final int UNKNOWN = -2;

    private final RelayInfo[] relays;
    private final String[] names;
    private final String[] regions;
    private final short[] regionOfRelay;
    private final List<RelayInfo> list;
    private final List<String> regionList;

    /** The table of these relays; {@code rangeRegions} are the regions of the ranges, with or without relays. */
    RelayTable(Collection<RelayInfo> relays, Collection<String> rangeRegions) {
        TreeMap<String, RelayInfo> byName = new TreeMap<>();
        TreeSet<String> regionNames = new TreeSet<>(rangeRegions);
        for (RelayInfo relay : relays) {
            if (byName.put(relay.name(), relay) != null) {
                throw new InvalidMapException("relay '" + relay.name() + "' is listed twice");
            }
            regionNames.add(relay.region());
        }
        regionNames.forEach(region -> RelayInfo.checkName("a region's name", region));
        if (regionNames.size() > Short.MAX_VALUE) {
            throw new InvalidMapException("at most " + Short.MAX_VALUE + " regions, got " + regionNames.size());
        }
        this.relays = byName.values().toArray(RelayInfo[]::new);
        names = byName.keySet().toArray(String[]::new);
        regions = regionNames.toArray(String[]::new);
        list = Collections.unmodifiableList(Arrays.asList(this.relays));
        regionList = Collections.unmodifiableList(Arrays.asList(regions));
        regionOfRelay = new short[names.length];
        for (int i = 0; i < names.length; i++) {
            regionOfRelay[i] = (short) regionIndex(this.relays[i].region());
        }
    }

    int size() {
        return relays.length;
    }

    RelayInfo relay(int index) {
        return relays[index];
    }

    /** The relay's index, or {@link #UNKNOWN}. */
    int indexOf(String name) {
        return knownOr(Arrays.binarySearch(names, name));
    }

    int regionCount() {
        return regions.length;
    }

    String region(int index) {
        return regions[index];
    }

    /** The region's index, or {@link #UNKNOWN}. */
    int regionIndex(String region) {
        return knownOr(Arrays.binarySearch(regions, region));
    }

    private static int knownOr(int found) {
        return found < 0 ? UNKNOWN : found;
    }

    int regionOfRelay(int index) {
        return regionOfRelay[index];
    }

    List<RelayInfo> list() {
        return list;
    }

    List<String> regions() {
        return regionList;
    }

    boolean sameRegions(RelayTable other) {
        return Arrays.equals(regions, other.regions);
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof RelayTable table && Arrays.equals(relays, table.relays) && sameRegions(table);
    }

    @Override
    public int hashCode() {
        return 31 * Arrays.hashCode(relays) + Arrays.hashCode(regions);
    }
}
