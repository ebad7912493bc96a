package juniperusher.shard;

/**
 * A range of destination numbers as it stands in one {@link ShardMap}.
 *
 * @param from the first destination
 * @param to the first destination behind it
 * @param region the region that all its destinations belong to
 * @param owner the name of the relay that owns it; null while nobody does
 * @param zone the owner's zone; null while nobody owns it
 * @param movedAt the epoch at which its owner last changed; an upper bound where ranges were merged
 */
public record ShardRange(int from, int to, String region, String owner, String zone, long movedAt) {
    /** A range that nobody owns. */
    public static ShardRange unowned(int from, int to, String region, long movedAt) {
        return new ShardRange(from, to, region, null, null, movedAt);
    }

    /** Whether a relay owns it. */
    public boolean owned() {
        return owner != null;
    }

    /** The number of its destinations. */
    public long size() {
        return (long) to - from;
    }

    /** Whether the destination is one of its own. */
    public boolean contains(int destination) {
        return from <= destination && destination < to;
    }

    @Override
    public String toString() {
        return "[" + from + ", " + to + ") of " + region + (owned() ? " owned by " + owner : " unowned")
                + " since epoch " + movedAt;
    }
}
