package juniperusher.shard.assign;

import juniperusher.shard.ShardRange;

/** A whole range of the map or a part of one, with its planned owner. Not thread-safe. */
final class Piece {
    private final ShardRange mapRange;
    private final int from;
    private int to;
    private RelayLoad owner; // null while unassigned

    Piece(ShardRange range, int from, int to, RelayLoad owner) {
        this.mapRange = range;
        this.from = from;
        this.to = to;
        this.owner = owner;
    }

    /** Shortens this piece to its first {@code firstSize} destinations, and returns the rest with the same owner. */
    Piece split(long firstSize) {
        int splitAt = (int) (from + firstSize);
        Piece rest = new Piece(mapRange, splitAt, to, owner);
        to = splitAt;
        return rest;
    }

    ShardRange mapRange() {
        return mapRange;
    }

    int from() {
        return from;
    }

    int to() {
        return to;
    }

    long size() {
        return (long) to - from;
    }

    RelayLoad owner() {
        return owner;
    }

    void setOwner(RelayLoad relay) {
        owner = relay;
    }

    /** Returns whether the planned owner differs from the owner in the map. False while the piece is unassigned. */
    boolean changesOwner() {
        return owner != null && !owner.name().equals(mapRange.owner());
    }
}
