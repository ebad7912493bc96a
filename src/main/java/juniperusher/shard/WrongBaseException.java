package juniperusher.shard;

/** Thrown if a delta is applied to another map than the one that it was computed from. The map does not change. */
public final class WrongBaseException extends ShardMapException {
    private static final long serialVersionUID = 1;

    private final long expectedEpoch;
    private final long actualEpoch;

    WrongBaseException(long expectedEpoch, long actualEpoch) {
        super(
                expectedEpoch == actualEpoch
                        ? "the delta was made from another map of epoch " + actualEpoch
                        : "the delta was made from epoch " + expectedEpoch + ", not from epoch " + actualEpoch);
        this.expectedEpoch = expectedEpoch;
        this.actualEpoch = actualEpoch;
    }

    /** Returns the epoch of the map that the delta was computed from. */
    public long expectedEpoch() {
        return expectedEpoch;
    }

    /** Returns the epoch of the map that the delta was applied to. */
    public long actualEpoch() {
        return actualEpoch;
    }
}
