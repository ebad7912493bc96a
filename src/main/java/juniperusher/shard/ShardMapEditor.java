package juniperusher.shard;

import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * Applies the steps of one epoch to a base map. The editor stores only the changed ranges. After the last step, one
 * pass over the base map and the changed ranges builds the next map, so that many steps cost little more than a single
 * one. An instance is used for one call of {@link #next}, by one thread.
 */
final class ShardMapEditor {
    private final ShardMap base;
    private final long nextEpoch;

    /** The changed ranges by their first destination. */
    private final TreeMap<Integer, EditedRange> editedRanges = new TreeMap<>();

    private TreeMap<String, RelayInfo> editedRelays; // all relays by name; null until a step changes one

    /**
     * A range that some step has changed.
     *
     * @param merged whether the range was merged into the preceding range and therefore no longer exists
     */
    private record EditedRange(int from, int to, String owner, String region, long movedAt, boolean merged) {
        EditedRange withOwner(String newOwner, long epoch) {
            return new EditedRange(from, to, newOwner, region, epoch, false);
        }

        EditedRange subrange(int newFrom, int newTo) {
            return new EditedRange(newFrom, newTo, owner, region, movedAt, false);
        }
    }

    ShardMapEditor(ShardMap base) {
        this.base = base;
        nextEpoch = base.epoch() + 1;
    }

    /**
     * Applies the steps in the given order and returns the map of the next epoch.
     *
     * @throws InvalidStepException if a step cannot be applied, the list is empty, or the result is not a valid map
     */
    ShardMap next(List<ShardMapStep> steps) {
        if (steps.isEmpty()) {
            throw new InvalidStepException("at least one step was expected");
        }
        steps.forEach(this::apply);
        try {
            return build();
        } catch (InvalidMapException invalid) {
            throw new InvalidStepException(invalid);
        }
    }

    private void apply(ShardMapStep step) {
        if (step instanceof ShardMapStep.Move move) {
            move(move);
        } else if (step instanceof ShardMapStep.Release release) {
            release(release);
        } else if (step instanceof ShardMapStep.Split split) {
            split(split);
        } else if (step instanceof ShardMapStep.Merge merge) {
            merge(merge);
        } else if (step instanceof ShardMapStep.PutRelay put) {
            editableRelays().put(put.relay().name(), put.relay());
        } else if (step instanceof ShardMapStep.RemoveRelay remove) {
            if (editableRelays().remove(remove.name()) == null) {
                throw new InvalidStepException(step, "no relay of that name is known");
            }
        }
    }

    private TreeMap<String, RelayInfo> editableRelays() {
        if (editedRelays == null) {
            editedRelays = new TreeMap<>();
            base.relays().forEach(relay -> editedRelays.put(relay.name(), relay));
        }
        return editedRelays;
    }

    private RelayInfo relay(String name) {
        return editedRelays == null ? base.relay(name) : editedRelays.get(name);
    }

    private void move(ShardMapStep.Move move) {
        EditedRange range = rangeStartingAt(move, move.from());
        RelayInfo owner = relay(move.owner());
        if (owner == null) {
            throw new InvalidStepException(move, "no relay of that name is known");
        }
        if (!owner.region().equals(range.region())) {
            throw new InvalidStepException(
                    move, "the range is of region '" + range.region() + "', the relay of '" + owner.region() + "'");
        }
        if (move.owner().equals(range.owner())) {
            throw new InvalidStepException(move, "the relay owns the range already");
        }
        editedRanges.put(range.from(), range.withOwner(move.owner(), nextEpoch));
    }

    private void release(ShardMapStep.Release release) {
        EditedRange range = rangeStartingAt(release, release.from());
        if (range.owner() == null) {
            throw new InvalidStepException(release, "nobody owns the range");
        }
        editedRanges.put(range.from(), range.withOwner(null, nextEpoch));
    }

    private void split(ShardMapStep.Split split) {
        EditedRange range = rangeStartingAt(split, split.from());
        if (split.at() <= range.from() || split.at() >= range.to()) {
            throw new InvalidStepException(
                    split,
                    "a destination inside of the range from " + range.from() + " to " + range.to() + " was expected");
        }
        editedRanges.put(range.from(), range.subrange(range.from(), split.at()));
        editedRanges.put(split.at(), range.subrange(split.at(), range.to()));
    }

    private void merge(ShardMapStep.Merge merge) {
        EditedRange first = rangeStartingAt(merge, merge.from());
        if (first.to() == base.to()) {
            throw new InvalidStepException(merge, "there is no range behind it");
        }
        EditedRange second = rangeStartingAt(merge, first.to());
        if (!first.region().equals(second.region()) || !Objects.equals(first.owner(), second.owner())) {
            throw new InvalidStepException(merge, "the range behind it has another owner or region");
        }
        long movedAt = Math.max(first.movedAt(), second.movedAt());
        editedRanges.put(
                first.from(),
                new EditedRange(first.from(), second.to(), first.owner(), first.region(), movedAt, false));
        editedRanges.put(
                second.from(),
                new EditedRange(second.from(), second.to(), second.owner(), second.region(), movedAt, true));
    }

    /** Returns the range that starts at the destination after the steps applied so far. */
    private EditedRange rangeStartingAt(ShardMapStep step, int from) {
        EditedRange edited = editedRanges.get(from);
        if (edited == null && from >= base.from() && from < base.to()) {
            ShardRange range = base.rangeOf(from);
            if (range.from() == from) {
                edited = new EditedRange(from, range.to(), range.owner(), range.region(), range.movedAt(), false);
            }
        }
        if (edited == null || edited.merged()) {
            throw new InvalidStepException(step, "no range begins at " + from);
        }
        return edited;
    }

    private ShardMap build() {
        RelayTable table = editedRelays == null ? base.table() : newTable();
        int[] owners = ownerIndexes(table);
        int[] regions = regionIndexes(table);
        RangeColumns baseColumns = base.columns();
        RangeColumns columns = new RangeColumns(baseColumns.size() + editedRanges.size());
        Map.Entry<Integer, EditedRange> edited = editedRanges.firstEntry();
        for (int i = 0; i < baseColumns.size(); i++) {
            int start = baseColumns.start(i);
            while (edited != null && edited.getKey() < start) {
                addEditedRange(columns, table, edited.getValue());
                edited = editedRanges.higherEntry(edited.getKey());
            }
            if (edited != null && edited.getKey() == start) {
                addEditedRange(columns, table, edited.getValue());
                edited = editedRanges.higherEntry(start);
            } else {
                int owner = baseColumns.owner(i) == RangeColumns.UNOWNED
                        ? RangeColumns.UNOWNED
                        : owners[baseColumns.owner(i)];
                if (owner == RelayTable.UNKNOWN) {
                    throw ownerRemovedException(
                            base.table().relay(baseColumns.owner(i)).name(), start);
                }
                columns.add(start, owner, regions[baseColumns.region(i)], baseColumns.movedAt(i));
            }
        }
        while (edited != null) {
            addEditedRange(columns, table, edited.getValue());
            edited = editedRanges.higherEntry(edited.getKey());
        }
        return new ShardMap(nextEpoch, base.from(), base.to(), table, columns);
    }

    private RelayTable newTable() {
        TreeSet<String> rangeRegions = new TreeSet<>();
        for (int i = 0; i < base.columns().size(); i++) {
            rangeRegions.add(base.table().region(base.columns().region(i)));
        }
        return new RelayTable(editedRelays.values(), rangeRegions);
    }

    /** Maps the index of each relay in the base map to its index in the next map. */
    private int[] ownerIndexes(RelayTable table) {
        int[] indexes = new int[base.table().size()];
        for (int i = 0; i < indexes.length; i++) {
            indexes[i] = table == base.table()
                    ? i
                    : table.indexOf(base.table().relay(i).name());
        }
        return indexes;
    }

    /** Maps the index of each region in the base map to its index in the next map. */
    private int[] regionIndexes(RelayTable table) {
        int[] indexes = new int[base.table().regionCount()];
        for (int i = 0; i < indexes.length; i++) {
            indexes[i] = table.regionIndex(base.table().region(i));
        }
        return indexes;
    }

    private static void addEditedRange(RangeColumns columns, RelayTable table, EditedRange range) {
        if (range.merged()) {
            return;
        }
        int owner = range.owner() == null ? RangeColumns.UNOWNED : table.indexOf(range.owner());
        if (owner == RelayTable.UNKNOWN) {
            throw ownerRemovedException(range.owner(), range.from());
        }
        columns.add(range.from(), owner, table.regionIndex(range.region()), range.movedAt());
    }

    private static InvalidMapException ownerRemovedException(String owner, int from) {
        return new InvalidMapException("relay '" + owner + "' is removed and owns the range from " + from + " on");
    }
}
