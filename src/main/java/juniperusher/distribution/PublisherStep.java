package juniperusher.distribution;

/** An action that the adapter of a {@link Publisher} has to carry out. Steps are carried out in order. */
public sealed interface PublisherStep {
    /** Send a message. The same object may be sent on many connections, so its encoded frame can be reused. */
    record Send(long connection, ControlMessage message) implements PublisherStep {}

    /**
     * Close a connection after its outstanding messages are written. The publisher has already dropped its state, so
     * the adapter does not report the end of the connection.
     */
    record Close(long connection) implements PublisherStep {}

    /** Release the lease: another process leads in that newer term, and this process has stopped publishing. */
    record Deposed(long term) implements PublisherStep {}

    /** Pass a newer term, which a subscriber has seen, to the {@link Subscriber} of this process. */
    record NewerTerm(long term) implements PublisherStep {}
}
