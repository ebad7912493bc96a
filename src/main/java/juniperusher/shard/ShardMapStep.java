package juniperusher.shard;

/**
 * A change to a {@link ShardMap}. A step refers to a range by its first destination; the preceding steps of the same
 * epoch are already applied. {@link ShardMap#withSteps} applies either all steps of an epoch or none. Immutable.
 */
public sealed interface ShardMapStep {
    /** Assigns the range that starts at {@code from} to another relay, which must be of the range's region. */
    record Move(int from, String owner) implements ShardMapStep {}

    /** Makes the range that starts at {@code from} unowned. */
    record Release(int from) implements ShardMapStep {}

    /**
     * Splits the range that starts at {@code from} into two. The second one starts at {@code at}. The owner and the
     * epoch of the last move stay the same.
     */
    record Split(int from, int at) implements ShardMapStep {}

    /**
     * Merges the range that starts at {@code from} with the next one. Both must have the same owner and region. The
     * epoch of the last move is the later one of the two.
     */
    record Merge(int from) implements ShardMapStep {}

    /** Adds a relay, or replaces the one with the same name. The region of a relay that owns ranges must not change. */
    record PutRelay(RelayInfo relay) implements ShardMapStep {}

    /** Removes a relay from the map. It must not own any range after all steps of the epoch. */
    record RemoveRelay(String name) implements ShardMapStep {}
}
