package juniperusher.shard;

/** Thrown for a snapshot or delta that is truncated, damaged, invalid or of an unknown version. It has no effect. */
public final class DamagedMapException extends ShardMapException {
    private static final long serialVersionUID = 1;

    DamagedMapException(String message) {
        super(message);
    }

    DamagedMapException(String message, Throwable cause) {
        super(message + ": " + cause.getMessage(), cause);
    }
}
