package juniperusher.core;

/** A protocol over which clients submit RPCs and receive their ends. Methods may be called by any thread. */
public interface Front {
    /** Name of this front in the journal and in metric labels; it must not change between versions. */
    String name();

    /** Whether this end is reported to the client. If not, the RPC is finished once its end is in the journal. */
    boolean reportsEnd(RpcEnd end);

    /**
     * Reports the end, repeatedly until the receiver acknowledges it, then runs {@code acknowledged} once.
     *
     * @param maybeRepeated whether an earlier process may have reported it already
     */
    void report(RpcEnd end, boolean maybeRepeated, Runnable acknowledged);

    /** Whether the end is reported once more if a message that has ended comes again. */
    default boolean reportsEndAgain() {
        return false;
    }

    /**
     * Whether later messages with the same order key wait until the receiver has acknowledged this end. If false, they
     * wait only until the report has been started.
     */
    default boolean orderWaitsForAcknowledgement() {
        return true;
    }
}
