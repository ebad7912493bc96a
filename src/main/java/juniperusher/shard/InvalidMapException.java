package juniperusher.shard;

/** Relays and ranges that are no valid map: a gap, an overlap, an unknown owner, an owner of another region. */
public final class InvalidMapException extends ShardMapException {
    private static final long serialVersionUID = 1;

    /** Refused for the reason in the message. */
    public InvalidMapException(String message) {
        super(message);
    }
}
