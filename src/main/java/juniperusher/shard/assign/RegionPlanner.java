package juniperusher.shard.assign;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;
import juniperusher.shard.RelayInfo;
import juniperusher.shard.ShardMapStep;
import juniperusher.shard.ShardRange;

/**
 * Plans one region. First the ranges of relays that are not available, and what is above a relay's bound, go into a
 * pool. Largest first, they go to the least loaded relay each time, cut only where they do not fit. Then each relay
 * that is still below its bound is filled up to it from the most loaded relays, by pieces that move anyhow while there
 * are such. So little more moves than has to.
 */
final class RegionPlanner {
    /** No piece smaller than this part of the mean load is cut, where it can be helped: the map would grow. */
    private static final double GRAIN = 0.02;

    private final List<Piece> pieces = new ArrayList<>();
    private final List<RelayLoad> relays = new ArrayList<>();
    private final List<Piece> pool = new ArrayList<>();
    private final long grain;

    RegionPlanner(LoadBounds bounds, List<RelayInfo> available, List<ShardRange> ranges) {
        long total = ranges.stream().mapToLong(ShardRange::size).sum();
        long weights = available.stream().mapToLong(RelayInfo::weight).sum();
        Map<String, RelayLoad> byName = new TreeMap<>();
        for (RelayInfo relay : available) {
            double fairShare = (double) total * relay.weight() / weights;
            RelayLoad load = new RelayLoad(relay, bounds.lowest(fairShare), bounds.highest(fairShare));
            relays.add(load);
            byName.put(relay.name(), load);
        }
        grain = Math.max(1, (long) (GRAIN * total / available.size()));
        for (ShardRange range : ranges) {
            Piece piece = new Piece(range, range.from(), range.to(), null);
            pieces.add(piece);
            RelayLoad owner = range.owned() ? byName.get(range.owner()) : null;
            if (owner == null) {
                pool.add(piece);
            } else {
                owner.add(piece);
            }
        }
    }

    /** How many destinations every assignment within the bounds moves at least; to be asked before {@link #run}. */
    long minimum() {
        long without = pool.stream().mapToLong(Piece::size).sum();
        long above = relays.stream().mapToLong(RelayLoad::excess).sum();
        long below = relays.stream().mapToLong(RelayLoad::deficit).sum();
        return Math.max(without + above, below);
    }

    void run() {
        if (minimum() == 0) {
            return;
        }
        relays.forEach(this::relieve);
        pool.sort(Comparator.comparingLong(Piece::size).reversed().thenComparingInt(Piece::from));
        TreeSet<RelayLoad> byLoad = new TreeSet<>(RelayLoad.BY_LOAD);
        byLoad.addAll(relays);
        spread(byLoad);
        byLoad.addAll(relays); // those that were full
        relays.forEach(relay -> fill(relay, byLoad));
    }

    private void relieve(RelayLoad relay) {
        while (relay.excess() > 0) {
            long most = Math.max(relay.excess(), Math.min(grain, relay.spare()));
            pool.add(relay.give(most, pieces));
        }
    }

    private void fill(RelayLoad relay, TreeSet<RelayLoad> byLoad) {
        while (relay.deficit() > 0) {
            byLoad.remove(relay);
            RelayLoad donor = donorFor(relay, byLoad);
            byLoad.remove(donor);
            long wanted = Math.max(relay.deficit(), Math.min(grain, relay.room()));
            relay.add(donor.give(Math.min(wanted, donor.spare()), pieces));
            byLoad.add(donor);
            byLoad.add(relay);
        }
    }

    /** The most loaded relay that has pieces which move anyhow, else the most loaded one. */
    private static RelayLoad donorFor(RelayLoad relay, TreeSet<RelayLoad> byLoad) {
        RelayLoad mostLoaded = null;
        for (RelayLoad donor : byLoad.descendingSet()) {
            if (donor.spare() > 0 && donor.hasMovingPieces()) {
                return donor;
            }
            if (donor.spare() > 0 && mostLoaded == null) {
                mostLoaded = donor;
            }
        }
        if (mostLoaded == null) {
            throw new IllegalStateException("nobody can fill up " + relay.name());
        }
        return mostLoaded;
    }

    private void spread(TreeSet<RelayLoad> byLoad) {
        Deque<Piece> rest = new ArrayDeque<>(pool);
        pool.clear();
        while (!rest.isEmpty()) {
            RelayLoad least = byLoad.pollFirst();
            long room = least.room();
            if (room <= 0) {
                continue; // full for its weight, though others of larger weight are not
            }
            Piece piece = rest.pollFirst();
            if (piece.size() > room) {
                Piece behind = piece.split(equalPart(piece.size(), room));
                pieces.add(behind);
                rest.addFirst(behind);
            }
            least.add(piece);
            byLoad.add(least);
        }
    }

    /** The size of the parts if that many are cut into as few equal ones as fit. */
    private static long equalPart(long size, long most) {
        long parts = (size + most - 1) / most;
        return (size + parts - 1) / parts;
    }

    long moved() {
        return pieces.stream().filter(Piece::moves).mapToLong(Piece::size).sum();
    }

    /** The plan's steps: cuts, then moves, then merges of neighbours that have got one owner. */
    List<ShardMapStep> steps() {
        if (pieces.stream().noneMatch(Piece::moves)) {
            return List.of();
        }
        pieces.sort(Comparator.comparingInt(Piece::from));
        List<Piece> joined = joinedWithinRanges();
        List<ShardMapStep> steps = new ArrayList<>();
        for (int i = 1; i < joined.size(); i++) {
            if (joined.get(i).range() == joined.get(i - 1).range()) {
                steps.add(new ShardMapStep.Split(
                        joined.get(i - 1).from(), joined.get(i).from()));
            }
        }
        for (Piece piece : joined) {
            if (piece.moves()) {
                steps.add(new ShardMapStep.Move(piece.from(), piece.owner().name()));
            }
        }
        addMerges(joined, steps);
        return steps;
    }

    /** Neighbouring pieces of one range and one owner are one piece. */
    private List<Piece> joinedWithinRanges() {
        List<Piece> joined = new ArrayList<>();
        for (Piece piece : pieces) {
            Piece before = joined.isEmpty() ? null : joined.get(joined.size() - 1);
            if (before != null && before.range() == piece.range() && before.owner() == piece.owner()) {
                joined.set(joined.size() - 1, new Piece(piece.range(), before.from(), piece.to(), piece.owner()));
            } else {
                joined.add(piece);
            }
        }
        return joined;
    }

    /**
     * Merges neighbours that move to one owner. Others stay apart, since a merged range counts as moved when its later
     * part was, and routers with older maps would be refused for the earlier part as well.
     */
    private static void addMerges(List<Piece> joined, List<ShardMapStep> steps) {
        Piece first = joined.get(0);
        for (int i = 1; i < joined.size(); i++) {
            Piece before = joined.get(i - 1);
            Piece piece = joined.get(i);
            boolean adjacent = before.to() == piece.from();
            if (adjacent && before.owner() == piece.owner() && before.moves() && piece.moves()) {
                steps.add(new ShardMapStep.Merge(first.from()));
            } else {
                first = piece;
            }
        }
    }
}
