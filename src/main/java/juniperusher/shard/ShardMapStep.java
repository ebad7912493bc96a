package juniperusher.shard;

/**
 * One change on the way from an epoch to the next. Ranges are named by their first destination, as they stand after
 * the steps before. {@link ShardMap#next} takes all steps of an epoch or none.
 */
public sealed interface ShardMapStep {
    /** The range that begins at {@code from} gets another owner, of the range's region. */
    record Move(int from, String owner) implements ShardMapStep {}

    /** The range that begins at {@code from} is owned by nobody from now on. */
    record Release(int from) implements ShardMapStep {}

    /** The range that begins at {@code from} becomes two, the second from {@code at} on; neither has moved. */
    record Split(int from, int at) implements ShardMapStep {}

    /**
     * The range that begins at {@code from} and the one behind it become one; both have the same owner and region. It
     * counts as moved when the later of the two was.
     */
    record Merge(int from) implements ShardMapStep {}

    /** A relay joins, or has another zone or weight; its region may change only while it owns nothing. */
    record PutRelay(RelayInfo relay) implements ShardMapStep {}

    /** A relay that owns nothing at the end of the epoch's steps is no longer known. */
    record RemoveRelay(String name) implements ShardMapStep {}
}
