package juniperusher.shard;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;

/**
 * The difference between a base map and a result map, which may be several epochs apart. A delta can only be applied to
 * a map that equals the base; the base and the result are checked by their digests. Immutable and safe to share between
 * threads.
 */
public final class ShardMapDelta {
    /**
     * Replaces consecutive ranges of the base map.
     *
     * @param keptCount number of unchanged base ranges between the previous edit and this one
     * @param removedCount number of base ranges that are replaced
     * @param addedCount number of ranges that replace them, the next ones in {@link ShardMapDelta#addedRanges}
     */
    record Edit(int keptCount, int removedCount, int addedCount) {}

    private final long fromEpoch;
    private final long toEpoch;
    private final long fromDigest;
    private final long toDigest;
    private final List<String> removedRelays;
    private final List<RelayInfo> changedRelays; // added ones, and those with another region, zone or weight
    private final List<String> resultRegions; // null if the base has the same regions
    private final List<Edit> edits;
    /**
     * The new ranges of all edits. Starts are relative to the first destination of the edit, and owners are indexes in
     * the result map. The region is only set for unowned ranges; that of an owned range is the region of its owner.
     */
    private final RangeColumns addedRanges;

    ShardMapDelta(
            long fromEpoch,
            long toEpoch,
            long fromDigest,
            long toDigest,
            List<String> removedRelays,
            List<RelayInfo> changedRelays,
            List<String> resultRegions,
            List<Edit> edits,
            RangeColumns addedRanges) {
        this.fromEpoch = fromEpoch;
        this.toEpoch = toEpoch;
        this.fromDigest = fromDigest;
        this.toDigest = toDigest;
        this.removedRelays = removedRelays;
        this.changedRelays = changedRelays;
        this.resultRegions = resultRegions;
        this.edits = edits;
        this.addedRanges = addedRanges;
    }

    /**
     * Computes the delta from a base map to a result map of a later epoch. The result need not be derived from the
     * base.
     *
     * @throws IllegalArgumentException if the epoch of the result is not later, or the maps cover different spaces
     */
    public static ShardMapDelta between(ShardMap base, ShardMap result) {
        if (base.from() != result.from() || base.to() != result.to()) {
            throw new IllegalArgumentException("the maps are of different spaces: " + base + "; " + result);
        }
        if (base.epoch() >= result.epoch()) {
            throw new IllegalArgumentException(
                    "a later epoch than " + base.epoch() + " was expected, got " + result.epoch());
        }
        List<String> removedRelays = new ArrayList<>();
        List<RelayInfo> changedRelays = new ArrayList<>();
        compareRelays(base.table(), result.table(), removedRelays, changedRelays);
        List<Edit> edits = new ArrayList<>();
        RangeColumns addedRanges = new RangeColumns(0);
        new RangeComparison(base, result).collectEdits(edits, addedRanges);
        addedRanges.trim();
        return new ShardMapDelta(
                base.epoch(),
                result.epoch(),
                base.digest(),
                result.digest(),
                removedRelays,
                changedRelays,
                base.table().sameRegions(result.table()) ? null : result.regions(),
                edits,
                addedRanges);
    }

    private static void compareRelays(
            RelayTable base, RelayTable result, List<String> removedRelays, List<RelayInfo> changedRelays) {
        if (base == result) {
            return;
        }
        for (RelayInfo relay : base.relays()) {
            if (result.indexOf(relay.name()) == RelayTable.UNKNOWN) {
                removedRelays.add(relay.name());
            }
        }
        for (RelayInfo relay : result.relays()) {
            int index = base.indexOf(relay.name());
            if (index == RelayTable.UNKNOWN || !base.relay(index).equals(relay)) {
                changedRelays.add(relay);
            }
        }
    }

    /** Compares the ranges of two maps in ascending order. Both maps cover the same space. */
    private static final class RangeComparison {
        private final ShardMap base;
        private final ShardMap result;
        private int baseIndex;
        private int resultIndex;

        RangeComparison(ShardMap base, ShardMap result) {
            this.base = base;
            this.result = result;
        }

        void collectEdits(List<Edit> edits, RangeColumns addedRanges) {
            int keptCount = 0;
            while (baseIndex < base.rangeCount()) {
                if (rangesAreEqual()) {
                    keptCount++;
                    baseIndex++;
                    resultIndex++;
                    continue;
                }
                int firstOfBase = baseIndex;
                int firstOfResult = resultIndex;
                advanceToCommonEnd();
                edits.add(new Edit(keptCount, baseIndex - firstOfBase, resultIndex - firstOfResult));
                keptCount = 0;
                for (int k = firstOfResult; k < resultIndex; k++) {
                    RangeColumns columns = result.columns();
                    int owner = columns.owner(k);
                    int region = owner == RangeColumns.UNOWNED ? columns.region(k) : 0;
                    addedRanges.add(columns.start(k) - columns.start(firstOfResult), owner, region, columns.movedAt(k));
                }
            }
        }

        private boolean rangesAreEqual() {
            return base.rangeEnd(baseIndex) == result.rangeEnd(resultIndex)
                    && base.columns().movedAt(baseIndex) == result.columns().movedAt(resultIndex)
                    && ownersAreEqual()
                    && regionOf(base, baseIndex).equals(regionOf(result, resultIndex));
        }

        private boolean ownersAreEqual() {
            int owner = base.columns().owner(baseIndex);
            int newOwner = result.columns().owner(resultIndex);
            if (owner == RangeColumns.UNOWNED || newOwner == RangeColumns.UNOWNED) {
                return owner == newOwner;
            }
            return base.table()
                    .relay(owner)
                    .name()
                    .equals(result.table().relay(newOwner).name());
        }

        private static String regionOf(ShardMap map, int index) {
            return map.table().region(map.columns().region(index));
        }

        /** Advances both indexes past the next destination at which a range ends in both maps. */
        private void advanceToCommonEnd() {
            while (base.rangeEnd(baseIndex) != result.rangeEnd(resultIndex)) {
                if (base.rangeEnd(baseIndex) < result.rangeEnd(resultIndex)) {
                    baseIndex++;
                } else {
                    resultIndex++;
                }
            }
            baseIndex++;
            resultIndex++;
        }
    }

    /**
     * Applies the delta and returns the result map.
     *
     * @throws WrongBaseException if the given map is not the one that the delta was computed from
     * @throws DamagedMapException if the result is invalid, or is not the map that the delta was computed for
     */
    public ShardMap applyTo(ShardMap base) {
        if (base.epoch() != fromEpoch || base.digest() != fromDigest) {
            throw new WrongBaseException(fromEpoch, base.epoch());
        }
        try {
            ShardMap result = buildResult(base);
            if (result.digest() != toDigest) {
                throw new DamagedMapException("the delta does not result in the map of epoch " + toEpoch);
            }
            return result;
        } catch (InvalidMapException invalid) {
            throw new DamagedMapException("the delta does not result in a valid map", invalid);
        }
    }

    private ShardMap buildResult(ShardMap base) {
        RelayTable table = newTable(base);
        RangeColumns baseColumns = base.columns();
        RangeColumns columns = new RangeColumns(baseColumns.size() + addedRanges.size());
        RangeCopier copier = new RangeCopier(base.table(), table);
        int nextBaseRange = 0;
        int nextAddedRange = 0;
        for (Edit edit : edits) {
            if (edit.keptCount() + (long) edit.removedCount() > baseColumns.size() - nextBaseRange) {
                throw new DamagedMapException("the delta replaces ranges that the map does not have");
            }
            nextBaseRange = copier.copy(baseColumns, nextBaseRange, nextBaseRange + edit.keptCount(), columns);
            for (int i = 0; i < edit.addedCount(); i++, nextAddedRange++) {
                copyAddedRange(nextAddedRange, baseColumns.start(nextBaseRange), table, columns);
            }
            nextBaseRange += edit.removedCount();
        }
        copier.copy(baseColumns, nextBaseRange, baseColumns.size(), columns);
        return new ShardMap(toEpoch, base.from(), base.to(), table, columns);
    }

    private void copyAddedRange(int index, int firstStart, RelayTable table, RangeColumns columns) {
        int owner = addedRanges.owner(index);
        if (owner >= table.size()) {
            throw new DamagedMapException("the delta refers to a relay that the map does not have");
        }
        int region = owner == RangeColumns.UNOWNED ? addedRanges.region(index) : table.regionOfRelay(owner);
        columns.add(firstStart + addedRanges.start(index), owner, region, addedRanges.movedAt(index));
    }

    private RelayTable newTable(ShardMap base) {
        if (removedRelays.isEmpty() && changedRelays.isEmpty() && resultRegions == null) {
            return base.table();
        }
        TreeMap<String, RelayInfo> relays = new TreeMap<>();
        base.relays().forEach(relay -> relays.put(relay.name(), relay));
        for (String name : removedRelays) {
            if (relays.remove(name) == null) {
                throw new DamagedMapException("the delta removes relay '" + name + "', which the map does not have");
            }
        }
        changedRelays.forEach(relay -> relays.put(relay.name(), relay));
        return new RelayTable(relays.values(), resultRegions == null ? base.regions() : resultRegions);
    }

    /** Copies ranges from one map to another and translates their relay and region indexes. */
    private static final class RangeCopier {
        private final boolean sameTable;
        private final int[] newOwnerIndexes;
        private final int[] newRegionIndexes;

        RangeCopier(RelayTable from, RelayTable to) {
            sameTable = from == to;
            newOwnerIndexes = new int[sameTable ? 0 : from.size()];
            for (int i = 0; i < newOwnerIndexes.length; i++) {
                newOwnerIndexes[i] = to.indexOf(from.relay(i).name());
            }
            newRegionIndexes = new int[sameTable ? 0 : from.regionCount()];
            for (int i = 0; i < newRegionIndexes.length; i++) {
                newRegionIndexes[i] = to.regionIndex(from.region(i));
            }
        }

        /** Copies the ranges from index {@code first} up to {@code end}, exclusive, and returns {@code end}. */
        int copy(RangeColumns from, int first, int end, RangeColumns to) {
            for (int i = first; i < end; i++) {
                int owner = from.owner(i);
                boolean sameOwnerIndex = sameTable || owner == RangeColumns.UNOWNED;
                int region = from.region(i);
                to.add(
                        from.start(i),
                        sameOwnerIndex ? owner : newOwnerIndexes[owner],
                        sameTable ? region : newRegionIndexes[region],
                        from.movedAt(i));
            }
            return end;
        }
    }

    /** Returns the epoch of the base map. */
    public long fromEpoch() {
        return fromEpoch;
    }

    /** Returns the epoch of the result map. */
    public long toEpoch() {
        return toEpoch;
    }

    /** Returns the number of ranges of the result map that are not in the base map. */
    public int changedRangeCount() {
        return addedRanges.size();
    }

    long fromDigest() {
        return fromDigest;
    }

    long toDigest() {
        return toDigest;
    }

    List<String> removedRelays() {
        return removedRelays;
    }

    List<RelayInfo> changedRelays() {
        return changedRelays;
    }

    List<String> resultRegions() {
        return resultRegions;
    }

    List<Edit> edits() {
        return edits;
    }

    RangeColumns addedRanges() {
        return addedRanges;
    }

    @Override
    public String toString() {
        return "from epoch " + fromEpoch + " to " + toEpoch + ": " + addedRanges.size() + " ranges, "
                + (removedRelays.size() + changedRelays.size()) + " relays";
    }
}
