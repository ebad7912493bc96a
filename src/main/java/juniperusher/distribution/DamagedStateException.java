package juniperusher.distribution;

/** An encoded state or a delta that cannot be what was published; it is refused whole. */
public final class DamagedStateException extends Exception {
    private static final long serialVersionUID = 1;

    /** Says in one line what is wrong and, where there is one, what was expected. */
    public DamagedStateException(String message) {
        super(message);
    }
}
