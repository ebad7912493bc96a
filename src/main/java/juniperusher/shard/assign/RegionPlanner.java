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
 * Plans the assignment of one region, in four steps that move few destinations more than necessary:
 *
 * <ol>
 *   <li>Unowned ranges and the ranges of unavailable relays become unassigned.
 *   <li>Relays above their upper bound give away pieces until they are within it; these become unassigned as well.
 *   <li>The unassigned pieces are assigned, the largest first, each to the relay that is the least loaded for its
 *       weight. A piece is split only if it does not fit.
 *   <li>Relays that are still below their lower bound receive pieces from the most loaded relays, preferably pieces
 *       that have already got another owner in this plan.
 * </ol>
 *
 * <p>An instance plans once, in one thread.
 */
final class RegionPlanner {
    /**
     * The smallest size of a split-off piece, as a share of the mean load of the available relays. Smaller pieces are
     * split off only if the bounds require it, since many small ranges make the map larger.
     */
    private static final double MIN_PIECE_SHARE = 0.02;

    private final List<Piece> pieces = new ArrayList<>();
    private final List<RelayLoad> relays = new ArrayList<>();
    private final List<Piece> unassignedPieces = new ArrayList<>();
    private final long minPieceSize;

    RegionPlanner(LoadBounds bounds, List<RelayInfo> available, List<ShardRange> ranges) {
        long total = ranges.stream().mapToLong(ShardRange::size).sum();
        long totalWeight = available.stream().mapToLong(RelayInfo::weight).sum();
        Map<String, RelayLoad> byName = new TreeMap<>();
        for (RelayInfo relay : available) {
            double fairShare = (double) total * relay.weight() / totalWeight;
            RelayLoad load = new RelayLoad(relay, bounds.minLoad(fairShare), bounds.maxLoad(fairShare));
            relays.add(load);
            byName.put(relay.name(), load);
        }
        minPieceSize = Math.max(1, (long) (MIN_PIECE_SHARE * total / available.size()));
        for (ShardRange range : ranges) {
            Piece piece = new Piece(range, range.from(), range.to(), null);
            pieces.add(piece);
            RelayLoad owner = range.isOwned() ? byName.get(range.owner()) : null;
            if (owner == null) {
                unassignedPieces.add(piece);
            } else {
                owner.add(piece);
            }
        }
    }

    /**
     * Returns a lower bound of the number of destinations that any assignment within the bounds moves. Only valid
     * before {@link #assign}.
     */
    long minMovedDestinations() {
        long unassigned = unassignedPieces.stream().mapToLong(Piece::size).sum();
        long totalExcess = relays.stream().mapToLong(RelayLoad::excess).sum();
        long totalDeficit = relays.stream().mapToLong(RelayLoad::deficit).sum();
        return Math.max(unassigned + totalExcess, totalDeficit);
    }

    /** Assigns all pieces of the region to relays, unless the current owners already satisfy the bounds. */
    void assign() {
        if (minMovedDestinations() == 0) {
            return;
        }
        relays.forEach(this::removeExcess);
        unassignedPieces.sort(Comparator.comparingLong(Piece::size).reversed().thenComparingInt(Piece::from));
        TreeSet<RelayLoad> byLoad = new TreeSet<>(RelayLoad.BY_RELATIVE_LOAD);
        byLoad.addAll(relays);
        assignPieces(byLoad);
        byLoad.addAll(relays); // assignPieces removed the relays that were full
        relays.forEach(relay -> fillDeficit(relay, byLoad));
    }

    private void removeExcess(RelayLoad relay) {
        while (relay.excess() > 0) {
            long maxSize = Math.max(relay.excess(), Math.min(minPieceSize, relay.removableLoad()));
            unassignedPieces.add(relay.removePiece(maxSize, pieces));
        }
    }

    private void fillDeficit(RelayLoad relay, TreeSet<RelayLoad> byLoad) {
        while (relay.deficit() > 0) {
            byLoad.remove(relay);
            RelayLoad donor = donorFor(relay, byLoad);
            byLoad.remove(donor);
            long maxSize = Math.max(relay.deficit(), Math.min(minPieceSize, relay.remainingCapacity()));
            relay.add(donor.removePiece(Math.min(maxSize, donor.removableLoad()), pieces));
            byLoad.add(donor);
            byLoad.add(relay);
        }
    }

    /**
     * Returns the most loaded relay that has pieces which already change their owner in this plan, or the most loaded
     * relay if there is none. Only relays above their lower bound are considered.
     */
    private static RelayLoad donorFor(RelayLoad relay, TreeSet<RelayLoad> byLoad) {
        RelayLoad mostLoaded = null;
        for (RelayLoad donor : byLoad.descendingSet()) {
            if (donor.removableLoad() > 0 && donor.hasMovingPieces()) {
                return donor;
            }
            if (donor.removableLoad() > 0 && mostLoaded == null) {
                mostLoaded = donor;
            }
        }
        if (mostLoaded == null) {
            throw new IllegalStateException("no relay can give destinations to " + relay.name());
        }
        return mostLoaded;
    }

    private void assignPieces(TreeSet<RelayLoad> byLoad) {
        Deque<Piece> remaining = new ArrayDeque<>(unassignedPieces);
        unassignedPieces.clear();
        while (!remaining.isEmpty()) {
            RelayLoad leastLoaded = byLoad.pollFirst();
            long capacity = leastLoaded.remainingCapacity();
            if (capacity <= 0) {
                continue; // this relay is full; relays with a larger weight may still have capacity
            }
            Piece piece = remaining.pollFirst();
            if (piece.size() > capacity) {
                Piece remainder = piece.split(equalPartSize(piece.size(), capacity));
                pieces.add(remainder);
                remaining.addFirst(remainder);
            }
            leastLoaded.add(piece);
            byLoad.add(leastLoaded);
        }
    }

    /** Divides {@code size} into as few equal parts of at most {@code maxPartSize} as possible; returns their size. */
    private static long equalPartSize(long size, long maxPartSize) {
        long parts = (size + maxPartSize - 1) / maxPartSize;
        return (size + parts - 1) / parts;
    }

    /** Returns the number of destinations that get another owner. Only valid after {@link #assign}. */
    long movedDestinations() {
        return pieces.stream()
                .filter(Piece::changesOwner)
                .mapToLong(Piece::size)
                .sum();
    }

    /** Returns the steps of the plan: all splits, then all moves, then the merges of adjacent moved ranges. */
    List<ShardMapStep> steps() {
        if (pieces.stream().noneMatch(Piece::changesOwner)) {
            return List.of();
        }
        pieces.sort(Comparator.comparingInt(Piece::from));
        List<Piece> joined = joinPiecesOfOneRange();
        List<ShardMapStep> steps = new ArrayList<>();
        for (int i = 1; i < joined.size(); i++) {
            if (joined.get(i).mapRange() == joined.get(i - 1).mapRange()) {
                steps.add(new ShardMapStep.Split(
                        joined.get(i - 1).from(), joined.get(i).from()));
            }
        }
        for (Piece piece : joined) {
            if (piece.changesOwner()) {
                steps.add(new ShardMapStep.Move(piece.from(), piece.owner().name()));
            }
        }
        addMerges(joined, steps);
        return steps;
    }

    /** Joins adjacent pieces of the same range that have the same owner. */
    private List<Piece> joinPiecesOfOneRange() {
        List<Piece> joined = new ArrayList<>();
        for (Piece piece : pieces) {
            Piece previous = joined.isEmpty() ? null : joined.get(joined.size() - 1);
            if (previous != null && previous.mapRange() == piece.mapRange() && previous.owner() == piece.owner()) {
                joined.set(joined.size() - 1, new Piece(piece.mapRange(), previous.from(), piece.to(), piece.owner()));
            } else {
                joined.add(piece);
            }
        }
        return joined;
    }

    /**
     * Adds merges of adjacent pieces that move to the same owner. A moved range is not merged with one that has not
     * moved: the merged range would take the later epoch of the two, and routers that use an older map would then also
     * be refused for the destinations that have not moved.
     */
    private static void addMerges(List<Piece> joined, List<ShardMapStep> steps) {
        Piece mergeTarget = joined.get(0);
        for (int i = 1; i < joined.size(); i++) {
            Piece previous = joined.get(i - 1);
            Piece piece = joined.get(i);
            boolean adjacent = previous.to() == piece.from();
            if (adjacent && previous.owner() == piece.owner() && previous.changesOwner() && piece.changesOwner()) {
                steps.add(new ShardMapStep.Merge(mergeTarget.from()));
            } else {
                mergeTarget = piece;
            }
        }
    }
}
