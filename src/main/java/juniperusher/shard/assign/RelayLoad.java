package juniperusher.shard.assign;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import juniperusher.shard.RelayInfo;

/** An available relay, the pieces that it is to own, and its bounds. */
final class RelayLoad {
    /** By load for the weight; relays of equal load by their names. */
    static final Comparator<RelayLoad> BY_LOAD = (one, other) -> {
        int byLoad = Long.compare(one.load * other.relay.weight(), other.load * one.relay.weight());
        return byLoad != 0 ? byLoad : one.name().compareTo(other.name());
    };

    private final RelayInfo relay;
    private final long lowest;
    private final long highest;
    private final List<Piece> pieces = new ArrayList<>();
    private long load;

    RelayLoad(RelayInfo relay, long lowest, long highest) {
        this.relay = relay;
        this.lowest = lowest;
        this.highest = highest;
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
     * Gives away a piece of at most {@code most} destinations, and of at least half of them unless it has no more: a
     * whole one where one fits, else part of the smallest that is larger. Pieces that move anyhow go first.
     */
    Piece give(long most, List<Piece> allPieces) {
        List<Piece> moving = pieces.stream().filter(Piece::moves).toList();
        Piece given = choose(moving.isEmpty() ? pieces : moving, most);
        if (given.size() > most) {
            Piece rest = given.split(most);
            allPieces.add(rest);
            pieces.add(rest);
        }
        pieces.remove(given);
        load -= given.size();
        given.setOwner(null);
        return given;
    }

    /** The largest that fits, or the smallest that does not where no other makes up half. */
    private static Piece choose(List<Piece> from, long most) {
        Piece fitting = null;
        Piece larger = null;
        for (Piece piece : from) {
            if (piece.size() <= most) {
                fitting = fitting == null || piece.size() > fitting.size() ? piece : fitting;
            } else {
                larger = larger == null || piece.size() < larger.size() ? piece : larger;
            }
        }
        return larger == null || fitting != null && 2 * fitting.size() >= most ? fitting : larger;
    }

    boolean hasMovingPieces() {
        return pieces.stream().anyMatch(Piece::moves);
    }

    long deficit() {
        return Math.max(0, lowest - load);
    }

    long excess() {
        return Math.max(0, load - highest);
    }

    /** What it may give away before it falls below its bound. */
    long spare() {
        return load - lowest;
    }

    /** What it may take before it rises above its bound. */
    long room() {
        return highest - load;
    }
}
