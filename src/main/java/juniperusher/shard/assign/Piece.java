package juniperusher.shard.assign;

import juniperusher.shard.ShardRange;

/** A part of a range of the map, or all of it, and who is to own it. */
final class Piece {
    private final ShardRange range;
    private final int from;
    private int to;
    private RelayLoad owner; // null while nobody is to own it

    Piece(ShardRange range, int from, int to, RelayLoad owner) {
        this.range = range;
        this.from = from;
        this.to = to;
        this.owner = owner;
    }

    /** Keeps the first destinations, and gives back the others as a piece of the same owner. */
    Piece split(long size) {
        int at = (int) (from + size);
        Piece rest = new Piece(range, at, to, owner);
        to = at;
        return rest;
    }

    ShardRange range() {
        return range;
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

    /** Whether its destinations get another owner. */
    boolean moves() {
        return owner != null && !owner.name().equals(range.owner());
    }
}
