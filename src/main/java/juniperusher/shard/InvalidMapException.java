package juniperusher.shard;

/**
 * Thrown for relays and ranges that do not form a valid map, for example because of a gap, an overlap, an unknown owner
 * or an owner of another region.
 */
public final class InvalidMapException extends ShardMapException {
    private static final long serialVersionUID = 1;

    /** Creates an exception; the message says what is invalid. */
    public InvalidMapException(String message) {
        super(message);
    }
}
