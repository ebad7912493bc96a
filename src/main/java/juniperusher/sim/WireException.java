package juniperusher.sim;

/** Input that does not keep to the wire; the message says what and where. */
public final class WireException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    /** An error with the given plain description. */
    public WireException(String message) {
        super(message);
    }
}
