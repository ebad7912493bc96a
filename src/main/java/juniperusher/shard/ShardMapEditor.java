package juniperusher.shard;

import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * Applies the steps of one epoch. Keeps only the ranges that change, by their first destination, over the base map;
 * a pass over both makes the next map, so many steps cost little more than one.
 */
final class ShardMapEditor {
    private final ShardMap base;
    private final long epoch;
    private final TreeMap<Integer, Draft> drafts = new TreeMap<>();
    private TreeMap<String, RelayInfo> changedRelays; // all relays by their names; null while they are the base's

    /** A range after some steps; {@code merged} if it has become part of the one before. */
    private record Draft(int from, int to, String owner, String region, long movedAt, boolean merged) {
        Draft ownedBy(String name, long epoch) {
            return new Draft(from, to, name, region, epoch, false);
        }

        Draft between(int first, int end) {
            return new Draft(first, end, owner, region, movedAt, false);
        }
    }

    ShardMapEditor(ShardMap base) {
        this.base = base;
        epoch = base.epoch() + 1;
    }

    ShardMap next(List<ShardMapStep> steps) {
        if (steps.isEmpty()) {
            throw new InvalidStepException("at least one step was expected");
        }
        steps.forEach(this::apply);
        try {
            return build();
        } catch (InvalidMapException broken) {
            throw new InvalidStepException(broken);
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
            relaysToChange().put(put.relay().name(), put.relay());
        } else if (step instanceof ShardMapStep.RemoveRelay remove) {
            if (relaysToChange().remove(remove.name()) == null) {
                throw new InvalidStepException(step, "no relay of that name is known");
            }
        }
    }

    private TreeMap<String, RelayInfo> relaysToChange() {
        if (changedRelays == null) {
            changedRelays = new TreeMap<>();
            base.relays().forEach(relay -> changedRelays.put(relay.name(), relay));
        }
        return changedRelays;
    }

    private RelayInfo relay(String name) {
        return changedRelays == null ? base.relay(name) : changedRelays.get(name);
    }

    private void move(ShardMapStep.Move move) {
        Draft range = at(move, move.from());
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
        drafts.put(range.from(), range.ownedBy(move.owner(), epoch));
    }

    private void release(ShardMapStep.Release release) {
        Draft range = at(release, release.from());
        if (range.owner() == null) {
            throw new InvalidStepException(release, "nobody owns the range");
        }
        drafts.put(range.from(), range.ownedBy(null, epoch));
    }

    private void split(ShardMapStep.Split split) {
        Draft range = at(split, split.from());
        if (split.at() <= range.from() || split.at() >= range.to()) {
            throw new InvalidStepException(
                    split,
                    "a destination inside of the range from " + range.from() + " to " + range.to() + " was expected");
        }
        drafts.put(range.from(), range.between(range.from(), split.at()));
        drafts.put(split.at(), range.between(split.at(), range.to()));
    }

    private void merge(ShardMapStep.Merge merge) {
        Draft first = at(merge, merge.from());
        if (first.to() == base.to()) {
            throw new InvalidStepException(merge, "there is no range behind it");
        }
        Draft second = at(merge, first.to());
        if (!first.region().equals(second.region()) || !Objects.equals(first.owner(), second.owner())) {
            throw new InvalidStepException(merge, "the range behind it has another owner or region");
        }
        long movedAt = Math.max(first.movedAt(), second.movedAt());
        drafts.put(first.from(), new Draft(first.from(), second.to(), first.owner(), first.region(), movedAt, false));
        drafts.put(
                second.from(), new Draft(second.from(), second.to(), second.owner(), second.region(), movedAt, true));
    }

    /** The range that begins at that destination, as it stands now. */
    private Draft at(ShardMapStep step, int from) {
        Draft draft = drafts.get(from);
        if (draft == null && from >= base.from() && from < base.to()) {
            ShardRange range = base.rangeOf(from);
            if (range.from() == from) {
                draft = new Draft(from, range.to(), range.owner(), range.region(), range.movedAt(), false);
            }
        }
        if (draft == null || draft.merged()) {
            throw new InvalidStepException(step, "no range begins at " + from);
        }
        return draft;
    }

    private ShardMap build() {
        RelayTable table = changedRelays == null ? base.table() : newTable();
        int[] owners = newOwners(table);
        int[] regions = newRegions(table);
        RangeColumns old = base.columns();
        RangeColumns columns = new RangeColumns(old.size() + drafts.size());
        Map.Entry<Integer, Draft> draft = drafts.firstEntry();
        for (int i = 0; i < old.size(); i++) {
            int start = old.start(i);
            while (draft != null && draft.getKey() < start) {
                add(columns, table, draft.getValue());
                draft = drafts.higherEntry(draft.getKey());
            }
            if (draft != null && draft.getKey() == start) {
                add(columns, table, draft.getValue());
                draft = drafts.higherEntry(start);
            } else {
                int owner = old.owner(i) == RangeColumns.UNOWNED ? RangeColumns.UNOWNED : owners[old.owner(i)];
                if (owner == RelayTable.UNKNOWN) {
                    throw removedOwner(base.table().relay(old.owner(i)).name(), start);
                }
                columns.add(start, owner, regions[old.region(i)], old.movedAt(i));
            }
        }
        while (draft != null) {
            add(columns, table, draft.getValue());
            draft = drafts.higherEntry(draft.getKey());
        }
        return new ShardMap(epoch, base.from(), base.to(), table, columns);
    }

    private RelayTable newTable() {
        TreeSet<String> rangeRegions = new TreeSet<>();
        for (int i = 0; i < base.columns().size(); i++) {
            rangeRegions.add(base.table().region(base.columns().region(i)));
        }
        return new RelayTable(changedRelays.values(), rangeRegions);
    }

    /** For each relay of the base its index in the next map. */
    private int[] newOwners(RelayTable table) {
        int[] indexes = new int[base.table().size()];
        for (int i = 0; i < indexes.length; i++) {
            indexes[i] = table == base.table()
                    ? i
                    : table.indexOf(base.table().relay(i).name());
        }
        return indexes;
    }

    /** For each region of the base its index in the next map. */
    private int[] newRegions(RelayTable table) {
        int[] indexes = new int[base.table().regionCount()];
        for (int i = 0; i < indexes.length; i++) {
            indexes[i] = table.regionIndex(base.table().region(i));
        }
        return indexes;
    }

    private static void add(RangeColumns columns, RelayTable table, Draft draft) {
        if (draft.merged()) {
            return;
        }
        int owner = draft.owner() == null ? RangeColumns.UNOWNED : table.indexOf(draft.owner());
        if (owner == RelayTable.UNKNOWN) {
            throw removedOwner(draft.owner(), draft.from());
        }
        columns.add(draft.from(), owner, table.regionIndex(draft.region()), draft.movedAt());
    }

    private static InvalidMapException removedOwner(String owner, int from) {
        return new InvalidMapException("relay '" + owner + "' is removed and owns the range from " + from + " on");
    }
}
