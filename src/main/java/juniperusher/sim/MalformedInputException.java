package juniperusher.sim;

/** Malformed input from the simulator, or malformed settings; the message says what is wrong and where. */
public final class MalformedInputException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    /** Creates the exception with a description for the operator. */
    public MalformedInputException(String message) {
        super(message);
    }
}
