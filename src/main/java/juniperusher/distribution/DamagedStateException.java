package juniperusher.distribution;

/** An encoded state is invalid, or a delta does not apply to the state. It is refused as a whole. */
public final class DamagedStateException extends Exception {
    private static final long serialVersionUID = 1;

    /**
     * Creates an exception.
     *
     * @param message one line that says what is wrong and, if possible, what was expected
     */
    public DamagedStateException(String message) {
        super(message);
    }
}
