package juniperusher.shard;

/** Thrown for steps that cannot be applied to a map. The map does not change. */
public final class InvalidStepException extends ShardMapException {
    private static final long serialVersionUID = 1;

    InvalidStepException(ShardMapStep step, String reason) {
        super(step + ": " + reason);
    }

    InvalidStepException(InvalidMapException cause) {
        super("the steps leave no valid map: " + cause.getMessage(), cause);
    }

    InvalidStepException(String reason) {
        super(reason);
    }
}
