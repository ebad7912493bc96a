package juniperusher.shard;

/** Steps that do not fit the map they are applied to. The map stays as it was. */
public final class InvalidStepException extends ShardMapException {
    private static final long serialVersionUID = 1;

    InvalidStepException(ShardMapStep step, String why) {
        super(step + ": " + why);
    }

    InvalidStepException(InvalidMapException cause) {
        super("the steps leave no valid map: " + cause.getMessage(), cause);
    }

    InvalidStepException(String why) {
        super(why);
    }
}
