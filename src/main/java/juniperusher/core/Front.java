package juniperusher.core;

/** A wire on which RPCs come in and on which their ends are told. */
public interface Front {
    /** The name under which the journal and the counters know it. */
    String name();

    /** Whether this end is told to somebody; if not, it is over once it is in the journal. */
    boolean tells(RpcEnd end);

    /**
     * Tells the end, again and again until it is acknowledged; then runs {@code acknowledged} once.
     *
     * @param again an earlier process may have told it already
     */
    void report(RpcEnd end, boolean again, Runnable acknowledged);

    /**
     * Whether an end that is told counts for those behind it in its order only once it is acknowledged; else
     * as soon as it is told.
     */
    default boolean overOnceAcknowledged() {
        return true;
    }
}
