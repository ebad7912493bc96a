package juniperusher.shard;

import java.util.AbstractList;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.RandomAccess;
import java.util.TreeSet;

/**
 * The assignment of all destinations to relays at one epoch. Destinations are numbered; the space of numbers is divided
 * into ranges, and each range is owned by at most one relay. Immutable and safe to share between threads.
 *
 * <p>The constructor enforces these invariants: the ranges cover the space without gap or overlap; each range has one
 * region; the owner of a range is a relay of the map and of the range's region; no range moved at a later epoch than
 * the map's. Maps with equal spaces, relays, regions, ranges and epochs are equal, even if different steps produced
 * them.
 */
public final class ShardMap {
    private final long epoch;
    private final int from;
    private final int to;
    private final RelayTable table;
    private final RangeColumns columns;
    private volatile long digest; // 0 until it is computed; two threads may both compute it, with the same result

    /** Checks all invariants. The caller must not change the columns afterwards. */
    ShardMap(long epoch, int from, int to, RelayTable table, RangeColumns columns) {
        this.epoch = epoch;
        this.from = from;
        this.to = to;
        this.table = table;
        this.columns = columns;
        columns.trim();
        checkInvariants();
    }

    /**
     * Creates a map from its ranges.
     *
     * @param epoch the map's epoch, at least 0
     * @param from the first destination of the space
     * @param to the end of the space, exclusive
     * @param relays all relays of the map, in any order; some may own no range
     * @param ranges the ranges in ascending order of their destinations
     * @throws InvalidMapException if an invariant does not hold
     */
    public static ShardMap of(long epoch, int from, int to, Collection<RelayInfo> relays, List<ShardRange> ranges) {
        TreeSet<String> regions = new TreeSet<>();
        ranges.forEach(range -> regions.add(range.region()));
        RelayTable table = new RelayTable(relays, regions);
        RangeColumns columns = new RangeColumns(ranges.size());
        int expectedStart = from;
        for (ShardRange range : ranges) {
            if (range.from() != expectedStart || range.to() <= range.from()) {
                throw new InvalidMapException("a range from " + expectedStart + " on was expected, got " + range);
            }
            columns.add(range.from(), ownerIndex(table, range), table.regionIndex(range.region()), range.movedAt());
            expectedStart = range.to();
        }
        if (expectedStart != to) {
            throw new InvalidMapException("the ranges end at " + expectedStart + ", the space at " + to);
        }
        return new ShardMap(epoch, from, to, table, columns);
    }

    private static int ownerIndex(RelayTable table, ShardRange range) {
        if (!range.isOwned()) {
            return RangeColumns.UNOWNED;
        }
        int index = table.indexOf(range.owner());
        if (index < 0) {
            throw new InvalidMapException("the owner is no known relay: " + range);
        }
        if (!table.relay(index).zone().equals(range.zone())) {
            throw new InvalidMapException("zone '" + range.zone() + "' is not that of the owner, '"
                    + table.relay(index).zone() + "': " + range);
        }
        return index;
    }

    private void checkInvariants() {
        if (epoch < 0) {
            throw new InvalidMapException("an epoch of at least 0 was expected, got " + epoch);
        }
        if (from >= to || columns.size() == 0 || columns.start(0) != from) {
            throw new InvalidMapException("ranges from " + from + " to " + to + " were expected");
        }
        boolean[] regionUsed = new boolean[table.regionCount()];
        for (int i = 0; i < columns.size(); i++) {
            checkRange(i);
            regionUsed[columns.region(i)] = true;
        }
        for (int i = 0; i < table.size(); i++) {
            regionUsed[table.regionOfRelay(i)] = true;
        }
        for (int i = 0; i < regionUsed.length; i++) {
            if (!regionUsed[i]) {
                throw new InvalidMapException("region '" + table.region(i) + "' has neither relays nor ranges");
            }
        }
    }

    private void checkRange(int index) {
        int start = columns.start(index);
        int end = rangeEnd(index);
        if (start >= end) {
            throw new InvalidMapException("a range from " + start + " to " + end + " is empty or overlaps");
        }
        int region = columns.region(index);
        if (region < 0 || region >= table.regionCount()) {
            throw new InvalidMapException("the range from " + start + " on is of an unknown region");
        }
        int owner = columns.owner(index);
        if (owner < RangeColumns.UNOWNED || owner >= table.size()) {
            throw new InvalidMapException("the range from " + start + " on has an unknown owner");
        }
        if (owner != RangeColumns.UNOWNED && table.regionOfRelay(owner) != region) {
            throw new InvalidMapException("relay '" + table.relay(owner).name() + "' of region '"
                    + table.relay(owner).region() + "' owns the range from " + start + " on, of region '"
                    + table.region(region) + "'");
        }
        long movedAt = columns.movedAt(index);
        if (movedAt < 0 || movedAt > epoch) {
            throw new InvalidMapException(
                    "the range from " + start + " on moved at epoch " + movedAt + ", the map's is " + epoch);
        }
    }

    /**
     * Returns the map of the next epoch, which results from applying the steps in the given order. This map does not
     * change.
     *
     * @throws InvalidStepException if a step cannot be applied, the list is empty, or the result is not a valid map
     */
    public ShardMap withSteps(List<ShardMapStep> steps) {
        return new ShardMapEditor(this).next(steps);
    }

    /** Does the same as {@link #withSteps(List)}. */
    public ShardMap withSteps(ShardMapStep... steps) {
        return withSteps(List.of(steps));
    }

    /** Returns the map's version number; {@link #withSteps} increases it by one. */
    public long epoch() {
        return epoch;
    }

    /** Returns the first destination of the space. */
    public int from() {
        return from;
    }

    /** Returns the end of the space, exclusive. */
    public int to() {
        return to;
    }

    /** Returns a view of all ranges in ascending order; each call of its {@code get} creates the range object. */
    public List<ShardRange> ranges() {
        return new RangeList();
    }

    private final class RangeList extends AbstractList<ShardRange> implements RandomAccess {
        @Override
        public ShardRange get(int index) {
            return rangeAt(index);
        }

        @Override
        public int size() {
            return columns.size();
        }
    }

    /** Returns the number of ranges. */
    public int rangeCount() {
        return columns.size();
    }

    /** Returns all relays of the map, ordered by name, including those that own no range. */
    public List<RelayInfo> relays() {
        return table.relays();
    }

    /** Returns the relay with the given name, or null if the map has none. */
    public RelayInfo relay(String name) {
        int index = table.indexOf(name);
        return index < 0 ? null : table.relay(index);
    }

    /** Returns the names of all regions that have relays or ranges, in ascending order. */
    public List<String> regions() {
        return table.regions();
    }

    /**
     * Returns the range that contains the destination.
     *
     * @throws IndexOutOfBoundsException if the destination is outside the space
     */
    public ShardRange rangeOf(int destination) {
        return rangeAt(indexOf(destination));
    }

    /**
     * Returns the name of the relay that owns the destination, or null if it is unowned. Allocates no memory.
     *
     * @throws IndexOutOfBoundsException if the destination is outside the space
     */
    public String ownerOf(int destination) {
        int owner = columns.owner(indexOf(destination));
        return owner == RangeColumns.UNOWNED ? null : table.relay(owner).name();
    }

    /**
     * Returns {@link ShardRange#movedAt} of the range that contains the destination. Allocates no memory.
     *
     * @throws IndexOutOfBoundsException if the destination is outside the space
     */
    public long movedAt(int destination) {
        return columns.movedAt(indexOf(destination));
    }

    private int indexOf(int destination) {
        if (destination < from || destination >= to) {
            throw new IndexOutOfBoundsException(
                    "destination " + destination + " is outside of the space from " + from + " to " + to);
        }
        return columns.indexOf(destination);
    }

    /**
     * Returns the ranges that the relay owns, in ascending order; empty if the map has no relay with that name. Takes
     * time proportional to the number of all ranges.
     */
    public List<ShardRange> rangesOwnedBy(String name) {
        int owner = table.indexOf(name);
        return owner < 0 ? List.of() : rangesWithOwner(owner);
    }

    /** Returns the unowned ranges in ascending order. Takes time proportional to the number of all ranges. */
    public List<ShardRange> unownedRanges() {
        return rangesWithOwner(RangeColumns.UNOWNED);
    }

    private List<ShardRange> rangesWithOwner(int owner) {
        List<ShardRange> found = new ArrayList<>();
        for (int i = 0; i < columns.size(); i++) {
            if (columns.owner(i) == owner) {
                found.add(rangeAt(i));
            }
        }
        return found;
    }

    private ShardRange rangeAt(int index) {
        String region = table.region(columns.region(index));
        int owner = columns.owner(index);
        if (owner == RangeColumns.UNOWNED) {
            return ShardRange.unowned(columns.start(index), rangeEnd(index), region, columns.movedAt(index));
        }
        RelayInfo relay = table.relay(owner);
        return new ShardRange(
                columns.start(index), rangeEnd(index), region, relay.name(), relay.zone(), columns.movedAt(index));
    }

    /** Returns the end, exclusive, of the range with the given index. */
    int rangeEnd(int index) {
        return index + 1 < columns.size() ? columns.start(index + 1) : to;
    }

    RelayTable table() {
        return table;
    }

    RangeColumns columns() {
        return columns;
    }

    /**
     * Returns a 64-bit hash of the whole content, which is the same in every process. It distinguishes different maps
     * of the same epoch. Computed on the first call and then cached.
     */
    public long digest() {
        long cached = digest;
        if (cached == 0) {
            cached = computeDigest();
            digest = cached;
        }
        return cached;
    }

    private long computeDigest() {
        long hash = mix(epoch, ((long) from << 32) ^ to);
        for (int i = 0; i < table.size(); i++) {
            RelayInfo relay = table.relay(i);
            hash = mix(
                    hash, ((long) relay.name().hashCode() << 32) ^ relay.zone().hashCode());
            hash = mix(hash, ((long) relay.region().hashCode() << 32) ^ relay.weight());
        }
        for (String region : table.regions()) {
            hash = mix(hash, region.hashCode());
        }
        for (int i = 0; i < columns.size(); i++) {
            hash = mix(hash, ((long) columns.start(i) << 32) ^ columns.owner(i));
            hash = mix(hash, columns.movedAt(i) ^ ((long) columns.region(i) << 48));
        }
        return hash;
    }

    /** Combines the hash with a value by the finalizer of splitmix64. The order of the values matters. */
    private static long mix(long hash, long value) {
        long mixed = hash * 31 + value + 0x9E3779B97F4A7C15L;
        mixed = (mixed ^ (mixed >>> 30)) * 0xBF58476D1CE4E5B9L;
        mixed = (mixed ^ (mixed >>> 27)) * 0x94D049BB133111EBL;
        return mixed ^ (mixed >>> 31);
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof ShardMap map
                && epoch == map.epoch
                && from == map.from
                && to == map.to
                && table.equals(map.table)
                && columns.equals(map.columns);
    }

    @Override
    public int hashCode() {
        return Long.hashCode(digest());
    }

    @Override
    public String toString() {
        return "epoch " + epoch + ": " + columns.size() + " ranges from " + from + " to " + to + ", " + table.size()
                + " relays";
    }
}
