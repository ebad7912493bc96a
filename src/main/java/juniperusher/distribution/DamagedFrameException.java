package juniperusher.distribution;

/** Bytes that are no frame of this protocol. The connection that they came on is of no more use. */
public final class DamagedFrameException extends Exception {
    private static final long serialVersionUID = 1;

    /** What is wrong with the frame. */
    public enum Fault {
        LENGTH,
        VERSION,
        TYPE,
        CHECKSUM,
        CONTENT
    }

    private final Fault fault;

    /** Says in one line what is wrong and what was expected. */
    public DamagedFrameException(Fault fault, String message) {
        super(message);
        this.fault = fault;
    }

    /** What is wrong. */
    public Fault fault() {
        return fault;
    }
}
