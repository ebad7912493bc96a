package juniperusher.shard;

/** A delta was applied to another map than the one that it was made from. That map stays as it was. */
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

    /** The epoch that the delta was made from. */
    public long expectedEpoch() {
        return expectedEpoch;
    }

    /** The epoch of the map that it was to be applied to. */
    public long actualEpoch() {
        return actualEpoch;
    }
}
