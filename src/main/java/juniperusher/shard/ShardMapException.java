package juniperusher.shard;

/** Base class of all exceptions of this package. The message is a single line that describes the problem. */
public abstract class ShardMapException extends RuntimeException {
    private static final long serialVersionUID = 1;

    ShardMapException(String message) {
        super(message);
    }

    ShardMapException(String message, Throwable cause) {
        super(message, cause);
    }
}
