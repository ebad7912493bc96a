package juniperusher.shard;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;

/**
 * What makes one map of another, over one epoch or several. Immutable. It applies only to the very map that it was made
 * from, and its result is compared with the map that it was made for.
 */
public final class ShardMapDelta {
    /**
     * Consecutive ranges of the base that others replace.
     *
     * @param kept how many ranges of the base stand unchanged before it, since the last edit
     * @param dropped how many ranges of the base it replaces
     * @param added how many ranges of {@link #added} stand in their place
     */
    record Edit(int kept, int dropped, int added) {}

    private final long fromEpoch;
    private final long toEpoch;
    private final long fromDigest;
    private final long toDigest;
    private final List<String> removedRelays;
    private final List<RelayInfo> putRelays;
    private final List<String> regions; // of the result; null where they are those of the base
    private final List<Edit> edits;
    // Starts count from the edit's first destination, owners by their index in the result; regions of unowned ranges
    // only.
    private final RangeColumns added;

    /** For the package. */
    ShardMapDelta(
            long fromEpoch,
            long toEpoch,
            long fromDigest,
            long toDigest,
            List<String> removedRelays,
            List<RelayInfo> putRelays,
            List<String> regions,
            List<Edit> edits,
            RangeColumns added) {
        this.fromEpoch = fromEpoch;
        this.toEpoch = toEpoch;
        this.fromDigest = fromDigest;
        this.toDigest = toDigest;
        this.removedRelays = removedRelays;
        this.putRelays = putRelays;
        this.regions = regions;
        this.edits = edits;
        this.added = added;
    }

    /**
     * The delta from one map to another of a later epoch.
     *
     * @throws IllegalArgumentException where the epoch is not later, or the space another
     */
    public static ShardMapDelta between(ShardMap base, ShardMap result) {
        if (base.from() != result.from() || base.to() != result.to()) {
            throw new IllegalArgumentException("the maps are of different spaces: " + base + "; " + result);
        }
        if (base.epoch() >= result.epoch()) {
            throw new IllegalArgumentException(
                    "a later epoch than " + base.epoch() + " was expected, got " + result.epoch());
        }
        List<String> removed = new ArrayList<>();
        List<RelayInfo> put = new ArrayList<>();
        compareRelays(base.table(), result.table(), removed, put);
        List<Edit> edits = new ArrayList<>();
        RangeColumns added = new RangeColumns(0);
        new Comparison(base, result).run(edits, added);
        added.trim();
        return new ShardMapDelta(
                base.epoch(),
                result.epoch(),
                base.digest(),
                result.digest(),
                removed,
                put,
                base.table().sameRegions(result.table()) ? null : result.regions(),
                edits,
                added);
    }

    private static void compareRelays(RelayTable base, RelayTable result, List<String> removed, List<RelayInfo> put) {
        if (base == result) {
            return;
        }
        for (RelayInfo relay : base.list()) {
            if (result.indexOf(relay.name()) == RelayTable.UNKNOWN) {
                removed.add(relay.name());
            }
        }
        for (RelayInfo relay : result.list()) {
            int index = base.indexOf(relay.name());
            if (index == RelayTable.UNKNOWN || !base.relay(index).equals(relay)) {
                put.add(relay);
            }
        }
    }

    /** Walks the ranges of two maps side by side. */
    private static final class Comparison {
        private final ShardMap base;
        private final ShardMap result;
        private int i;
        private int j;

        Comparison(ShardMap base, ShardMap result) {
            this.base = base;
            this.result = result;
        }

        void run(List<Edit> edits, RangeColumns added) {
            int kept = 0;
            while (i < base.rangeCount()) {
                if (same()) {
                    kept++;
                    i++;
                    j++;
                    continue;
                }
                int firstOfBase = i;
                int firstOfResult = j;
                toNextCommonEnd();
                edits.add(new Edit(kept, i - firstOfBase, j - firstOfResult));
                kept = 0;
                for (int k = firstOfResult; k < j; k++) {
                    RangeColumns columns = result.columns();
                    int owner = columns.owner(k);
                    int region = owner == RangeColumns.UNOWNED ? columns.region(k) : 0;
                    added.add(columns.start(k) - columns.start(firstOfResult), owner, region, columns.movedAt(k));
                }
            }
        }

        private boolean same() {
            return base.end(i) == result.end(j)
                    && base.columns().movedAt(i) == result.columns().movedAt(j)
                    && sameOwner()
                    && regionOf(base, i).equals(regionOf(result, j));
        }

        private boolean sameOwner() {
            int owner = base.columns().owner(i);
            int newOwner = result.columns().owner(j);
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

        private void toNextCommonEnd() {
            while (base.end(i) != result.end(j)) {
                if (base.end(i) < result.end(j)) {
                    i++;
                } else {
                    j++;
                }
            }
            i++;
            j++;
        }
    }

    /**
     * The map that this delta was made for.
     *
     * @throws WrongBaseException where the map is not the one that it was made from
     * @throws DamagedMapException where what comes of it is not the map that it was made for
     */
    public ShardMap applyTo(ShardMap base) {
        if (base.epoch() != fromEpoch || base.digest() != fromDigest) {
            throw new WrongBaseException(fromEpoch, base.epoch());
        }
        try {
            ShardMap result = apply(base);
            if (result.digest() != toDigest) {
                throw new DamagedMapException("the delta does not lead to the map of epoch " + toEpoch);
            }
            return result;
        } catch (InvalidMapException broken) {
            throw new DamagedMapException("the delta leads to no valid map", broken);
        }
    }

    private ShardMap apply(ShardMap base) {
        RelayTable table = newTable(base);
        RangeColumns old = base.columns();
        RangeColumns columns = new RangeColumns(old.size() + added.size());
        Reindexing reindexing = new Reindexing(base.table(), table);
        int next = 0;
        int nextAdded = 0;
        for (Edit edit : edits) {
            if (edit.kept() + (long) edit.dropped() > old.size() - next) {
                throw new DamagedMapException("the delta replaces ranges that the map does not have");
            }
            next = reindexing.copy(old, next, next + edit.kept(), columns);
            for (int i = 0; i < edit.added(); i++, nextAdded++) {
                add(nextAdded, old.start(next), table, columns);
            }
            next += edit.dropped();
        }
        reindexing.copy(old, next, old.size(), columns);
        return new ShardMap(toEpoch, base.from(), base.to(), table, columns);
    }

    private void add(int index, int firstStart, RelayTable table, RangeColumns columns) {
        int owner = added.owner(index);
        if (owner >= table.size()) {
            throw new DamagedMapException("the delta names a relay that the map does not have");
        }
        int region = owner == RangeColumns.UNOWNED ? added.region(index) : table.regionOfRelay(owner);
        columns.add(firstStart + added.start(index), owner, region, added.movedAt(index));
    }

    private RelayTable newTable(ShardMap base) {
        if (removedRelays.isEmpty() && putRelays.isEmpty() && regions == null) {
            return base.table();
        }
        TreeMap<String, RelayInfo> relays = new TreeMap<>();
        base.relays().forEach(relay -> relays.put(relay.name(), relay));
        for (String name : removedRelays) {
            if (relays.remove(name) == null) {
                throw new DamagedMapException("the delta removes relay '" + name + "', which the map does not have");
            }
        }
        putRelays.forEach(relay -> relays.put(relay.name(), relay));
        return new RelayTable(relays.values(), regions == null ? base.regions() : regions);
    }

    /** Copies ranges from a map with one table into columns for another. */
    private static final class Reindexing {
        private final boolean sameTable;
        private final int[] owners;
        private final int[] regions;

        Reindexing(RelayTable from, RelayTable to) {
            sameTable = from == to;
            owners = new int[sameTable ? 0 : from.size()];
            for (int i = 0; i < owners.length; i++) {
                owners[i] = to.indexOf(from.relay(i).name());
            }
            regions = new int[sameTable ? 0 : from.regionCount()];
            for (int i = 0; i < regions.length; i++) {
                regions[i] = to.regionIndex(from.region(i));
            }
        }

        int copy(RangeColumns from, int first, int end, RangeColumns to) {
            for (int i = first; i < end; i++) {
                int owner = from.owner(i);
                boolean asItIs = sameTable || owner == RangeColumns.UNOWNED;
                int region = from.region(i);
                to.add(
                        from.start(i),
                        asItIs ? owner : owners[owner],
                        sameTable ? region : regions[region],
                        from.movedAt(i));
            }
            return end;
        }
    }

    /** The epoch of the map that it applies to. */
    public long fromEpoch() {
        return fromEpoch;
    }

    /** The epoch of the map that it leads to. */
    public long toEpoch() {
        return toEpoch;
    }

    /** How many ranges of the result are not in the base. */
    public int changedRanges() {
        return added.size();
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

    List<RelayInfo> putRelays() {
        return putRelays;
    }

    List<String> regions() {
        return regions;
    }

    List<Edit> edits() {
        return edits;
    }

    RangeColumns added() {
        return added;
    }

    @Override
    public String toString() {
        return "from epoch " + fromEpoch + " to " + toEpoch + ": " + added.size() + " ranges, "
                + (removedRelays.size() + putRelays.size()) + " relays";
    }
}
