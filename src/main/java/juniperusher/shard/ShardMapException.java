package juniperusher.shard;

/** Whatever the shard map refuses. The message is one line that says what was expected. */
public abstract class ShardMapException extends RuntimeException {
    private static final long serialVersionUID = 1;

    ShardMapException(String message) {
        super(message);
    }

    ShardMapException(String message, Throwable cause) {
        super(message, cause);
    }
}
