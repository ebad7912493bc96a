package juniperusher.distribution;

/** Received bytes are not a valid frame of the control protocol. The connection has to be closed. */
public final class DamagedFrameException extends Exception {
    private static final long serialVersionUID = 1;

    /** The part of the frame that is invalid. */
    public enum Fault {
        LENGTH,
        VERSION,
        TYPE,
        CHECKSUM,
        CONTENT
    }

    private final Fault fault;

    /**
     * Creates an exception.
     *
     * @param message one line that says what is wrong and, if possible, what was expected
     */
    public DamagedFrameException(Fault fault, String message) {
        super(message);
        this.fault = fault;
    }

    /** The part of the frame that is invalid. */
    public Fault fault() {
        return fault;
    }
}
