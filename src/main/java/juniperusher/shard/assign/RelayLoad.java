package juniperusher.shard.assign;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import juniperusher.shard.RelayInfo;

/** The planned pieces and load of an available relay, with its load bounds in destinations. Not thread-safe. */
final class RelayLoad {
    /** Orders relays by the ratio of load to weight, then by name. */
    static final Comparator<RelayLoad> BY_RELATIVE_LOAD = (one, other) -> {
        int byLoad = Long.compare(one.load * other.relay.weight(), other.load * one.relay.weight());
        return byLoad != 0 ? byLoad : one.name().compareTo(other.name());
    };

    private final RelayInfo relay;
    private final long minLoad;
    private final long maxLoad;
    private final List<Piece> pieces = new ArrayList<>();
    private long load;

    RelayLoad(RelayInfo relay, long minLoad, long maxLoad) {
        this.relay = relay;
        this.minLoad = minLoad;
        this.maxLoad = maxLoad;
    }

    String name() {
        return relay.name();
    }

    void add(Piece piece) {
        piece.setOwner(this);
        pieces.add(piece);
        load += piece.size();
    }

    /**
     * Removes a piece of at most {@code maxSize} destinations and returns it without an owner. If some pieces already
     * change their owner in this plan, only these are candidates. A whole piece is removed if it has at least half of
     * {@code maxSize} destinations, or if no candidate is larger. Otherwise the smallest larger candidate is split.
     *
     * @param allPieces receives the remainder of a piece that is split
     */
    Piece removePiece(long maxSize, List<Piece> allPieces) {
        List<Piece> movingPieces = pieces.stream().filter(Piece::changesOwner).toList();
        Piece removed = choosePiece(movingPieces.isEmpty() ? pieces : movingPieces, maxSize);
        if (removed.size() > maxSize) {
            Piece remainder = removed.split(maxSize);
            allPieces.add(remainder);
            pieces.add(remainder);
        }
        pieces.remove(removed);
        load -= removed.size();
        removed.setOwner(null);
        return removed;
    }

    /**
     * Returns the largest candidate of at most {@code maxSize} destinations. If it has less than half of them, returns
     * the smallest larger candidate, if there is one.
     */
    private static Piece choosePiece(List<Piece> candidates, long maxSize) {
        Piece largestFitting = null;
        Piece smallestTooLarge = null;
        for (Piece piece : candidates) {
            if (piece.size() <= maxSize) {
                largestFitting =
                        largestFitting == null || piece.size() > largestFitting.size() ? piece : largestFitting;
            } else {
                smallestTooLarge =
                        smallestTooLarge == null || piece.size() < smallestTooLarge.size() ? piece : smallestTooLarge;
            }
        }
        return smallestTooLarge == null || largestFitting != null && 2 * largestFitting.size() >= maxSize
                ? largestFitting
                : smallestTooLarge;
    }

    boolean hasMovingPieces() {
        return pieces.stream().anyMatch(Piece::changesOwner);
    }

    /** Returns the number of destinations that the relay lacks to reach its lower bound, 0 if none. */
    long deficit() {
        return Math.max(0, minLoad - load);
    }

    /** Returns the number of destinations above the upper bound, 0 if none. */
    long excess() {
        return Math.max(0, load - maxLoad);
    }

    /** Returns the load that can be removed before the relay is below its lower bound; negative if it already is. */
    long removableLoad() {
        return load - minLoad;
    }

    /** Returns the load that can be added before the relay is above its upper bound; negative if it already is. */
    long remainingCapacity() {
        return maxLoad - load;
    }
}
