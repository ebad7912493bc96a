package juniperusher.shard;

/**
 * A range of consecutive destinations in a {@link ShardMap}. Immutable.
 *
 * @param from the first destination
 * @param to the end of the range, exclusive
 * @param region the region of all its destinations
 * @param owner the name of the relay that owns the range; null if it is unowned
 * @param zone the owner's zone; null if the range is unowned
 * @param movedAt the epoch of the last change of owner; after a merge, the later epoch of the merged ranges
 */
public record ShardRange(int from, int to, String region, String owner, String zone, long movedAt) {
    /** Creates an unowned range. */
    public static ShardRange unowned(int from, int to, String region, long movedAt) {
        return new ShardRange(from, to, region, null, null, movedAt);
    }

    /** Returns whether a relay owns the range. */
    public boolean isOwned() {
        return owner != null;
    }

    /** Returns the number of destinations. */
    public long size() {
        return (long) to - from;
    }

    /** Returns whether the destination is in the range. */
    public boolean contains(int destination) {
        return from <= destination && destination < to;
    }

    @Override
    public String toString() {
        return "[" + from + ", " + to + ") of " + region + (isOwned() ? " owned by " + owner : " unowned")
                + " since epoch " + movedAt;
    }
}
