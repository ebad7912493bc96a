package juniperusher.shard;

import java.util.AbstractList;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.RandomAccess;
import java.util.TreeSet;

/**
 * Which relay owns which destinations, as of one epoch. Immutable and safe to share between threads.
 *
 * <p>What holds for every instance: the ranges cover the space without gap or overlap; each has one region and at most
 * one owner, which is a known relay of that region; no range moved after the map's epoch. Two maps with equal relays,
 * ranges and epochs are equal, whatever steps led to them.
 */
public final class ShardMap {
    private final long epoch;
    private final int from;
    private final int to;
    private final RelayTable table;
    private final RangeColumns columns;
    private volatile long digest; // 0 until its first use; two threads may compute the same value

    /** For the package: checks all invariants. The columns are not changed from then on. */
    ShardMap(long epoch, int from, int to, RelayTable table, RangeColumns columns) {
        this.epoch = epoch;
        this.from = from;
        this.to = to;
        this.table = table;
        this.columns = columns;
        columns.trim();
        check();
    }

    /**
     * The map of these ranges.
     *
     * @param epoch at least 0
     * @param from the first destination of the space
     * @param to the first destination behind the space
     * @throws InvalidMapException where an invariant does not hold
     */
    public static ShardMap of(long epoch, int from, int to, Collection<RelayInfo> relays, List<ShardRange> ranges) {
        TreeSet<String> regions = new TreeSet<>();
        ranges.forEach(range -> regions.add(range.region()));
        RelayTable table = new RelayTable(relays, regions);
        RangeColumns columns = new RangeColumns(ranges.size());
        int next = from;
        for (ShardRange range : ranges) {
            if (range.from() != next || range.to() <= range.from()) {
                throw new InvalidMapException("a range from " + next + " on was expected, got " + range);
            }
            columns.add(range.from(), ownerIndex(table, range), table.regionIndex(range.region()), range.movedAt());
            next = range.to();
        }
        if (next != to) {
            throw new InvalidMapException("the ranges end at " + next + ", the space at " + to);
        }
        return new ShardMap(epoch, from, to, table, columns);
    }

    private static int ownerIndex(RelayTable table, ShardRange range) {
        if (!range.owned()) {
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

    private void check() {
        if (epoch < 0) {
            throw new InvalidMapException("an epoch of at least 0 was expected, got " + epoch);
        }
        if (from >= to || columns.size() == 0 || columns.start(0) != from) {
            throw new InvalidMapException("ranges from " + from + " to " + to + " were expected");
        }
        boolean[] used = new boolean[table.regionCount()];
        for (int i = 0; i < columns.size(); i++) {
            checkRange(i);
            used[columns.region(i)] = true;
        }
        for (int i = 0; i < table.size(); i++) {
            used[table.regionOfRelay(i)] = true;
        }
        for (int i = 0; i < used.length; i++) {
            if (!used[i]) {
                throw new InvalidMapException("region '" + table.region(i) + "' has neither relays nor ranges");
            }
        }
    }

    private void checkRange(int index) {
        int start = columns.start(index);
        int end = end(index);
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
        long moved = columns.movedAt(index);
        if (moved < 0 || moved > epoch) {
            throw new InvalidMapException(
                    "the range from " + start + " on moved at epoch " + moved + ", the map's is " + epoch);
        }
    }

    /** The map of the next epoch, after these steps in their order.
     *
     * @throws InvalidStepException where one of them does not fit, or there is none; this map stays as it is anyhow
     */
    public ShardMap next(List<ShardMapStep> steps) {
        return new ShardMapEditor(this).next(steps);
    }

    /** As {@link #next(List)}. */
    public ShardMap next(ShardMapStep... steps) {
        return next(List.of(steps));
    }

    /** The map's number, which grows by one with each {@link #next}. */
    public long epoch() {
        return epoch;
    }

    /** The first destination. */
    public int from() {
        return from;
    }

    /** The first number behind the last destination. */
    public int to() {
        return to;
    }

    /** All ranges in the order of their destinations; each element is made when it is asked for. */
    public List<ShardRange> ranges() {
        return new RangeList();
    }

    private final class RangeList extends AbstractList<ShardRange> implements RandomAccess {
        @Override
        public ShardRange get(int index) {
            return range(index);
        }

        @Override
        public int size() {
            return columns.size();
        }
    }

    /** The number of ranges. */
    public int rangeCount() {
        return columns.size();
    }

    /** All known relays in the order of their names, those that own nothing among them. */
    public List<RelayInfo> relays() {
        return table.list();
    }

    /** The relay of that name; null where it is not known. */
    public RelayInfo relay(String name) {
        int index = table.indexOf(name);
        return index < 0 ? null : table.relay(index);
    }

    /** The names of all regions that have relays or ranges, in order. */
    public List<String> regions() {
        return table.regions();
    }

    /**
     * The range that contains the destination.
     *
     * @throws IndexOutOfBoundsException where it is outside the space
     */
    public ShardRange rangeOf(int destination) {
        return range(indexOf(destination));
    }

    /** The name of the relay that owns the destination, null where nobody does; allocates nothing. */
    public String ownerOf(int destination) {
        int owner = columns.owner(indexOf(destination));
        return owner == RangeColumns.UNOWNED ? null : table.relay(owner).name();
    }

    /** The epoch at which the destination's range last moved; allocates nothing. */
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

    /** The ranges of the relay in their order, none for an unknown one; walks all ranges. */
    public List<ShardRange> ownedBy(String name) {
        int owner = table.indexOf(name);
        return owner < 0 ? List.of() : withOwner(owner);
    }

    /** The ranges that nobody owns, in their order; walks all ranges. */
    public List<ShardRange> unowned() {
        return withOwner(RangeColumns.UNOWNED);
    }

    private List<ShardRange> withOwner(int owner) {
        List<ShardRange> found = new ArrayList<>();
        for (int i = 0; i < columns.size(); i++) {
            if (columns.owner(i) == owner) {
                found.add(range(i));
            }
        }
        return found;
    }

    private ShardRange range(int index) {
        String region = table.region(columns.region(index));
        int owner = columns.owner(index);
        if (owner == RangeColumns.UNOWNED) {
            return ShardRange.unowned(columns.start(index), end(index), region, columns.movedAt(index));
        }
        RelayInfo relay = table.relay(owner);
        return new ShardRange(
                columns.start(index), end(index), region, relay.name(), relay.zone(), columns.movedAt(index));
    }

    /** The first destination behind the range of that index. */
    int end(int index) {
        return index + 1 < columns.size() ? columns.start(index + 1) : to;
    }

    RelayTable table() {
        return table;
    }

    RangeColumns columns() {
        return columns;
    }

    /** A hash of the whole content, the same in every process; tells maps of one epoch apart. Computed once. */
    public long digest() {
        long known = digest;
        if (known == 0) {
            known = computeDigest();
            digest = known;
        }
        return known;
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

    /** The finalizer of splitmix64 over the sum; order matters. */
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
