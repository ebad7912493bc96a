package juniperusher.shard;

import java.util.Arrays;
import java.util.Collection;
import java.util.Collections;
import java.util.List;
import java.util.TreeMap;
import java.util.TreeSet;

/** The relays of a map ordered by name, and the names of all its regions in ascending order. Immutable. */
final class RelayTable {
    /** The index of a relay or region that the table does not contain; differs from {@link RangeColumns#UNOWNED}. */
    static final int UNKNOWN = -2;

    private final RelayInfo[] relays;
    private final String[] names;
    private final String[] regions;
    private final short[] regionOfRelay; // region index by relay index
    private final List<RelayInfo> relayList;
    private final List<String> regionList;

    /**
     * Creates a table of these relays.
     *
     * @param rangeRegions the regions of the map's ranges, which may include regions without relays
     * @throws InvalidMapException if two relays have the same name, a region's name is invalid, or there are too many
     *     regions
     */
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
        relayList = Collections.unmodifiableList(Arrays.asList(this.relays));
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

    /** Returns the relay's index, or {@link #UNKNOWN}. */
    int indexOf(String name) {
        return indexOrUnknown(Arrays.binarySearch(names, name));
    }

    int regionCount() {
        return regions.length;
    }

    String region(int index) {
        return regions[index];
    }

    /** Returns the region's index, or {@link #UNKNOWN}. */
    int regionIndex(String region) {
        return indexOrUnknown(Arrays.binarySearch(regions, region));
    }

    private static int indexOrUnknown(int searchResult) {
        return searchResult < 0 ? UNKNOWN : searchResult;
    }

    int regionOfRelay(int index) {
        return regionOfRelay[index];
    }

    List<RelayInfo> relays() {
        return relayList;
    }

    List<String> regions() {
        return regionList;
    }

    /** Returns whether both tables have the same regions, and therefore the same region indexes. */
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
