package juniperusher.shard;

/** Bytes that are no whole, undamaged, valid snapshot or delta of a known version. Nothing of them was used. */
public final class DamagedMapException extends ShardMapException {
    private static final long serialVersionUID = 1;

    DamagedMapException(String message) {
        super(message);
    }

    DamagedMapException(String message, Throwable cause) {
        super(message + ": " + cause.getMessage(), cause);
    }
}
