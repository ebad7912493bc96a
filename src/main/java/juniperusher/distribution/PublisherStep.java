package juniperusher.distribution;

/** Something that the adapter of a {@link Publisher} is to do; steps are carried out in their order. */
public sealed interface PublisherStep {
    /** Send the message on that connection. One message object may go to many: its frame can be shared. */
    record Send(long connection, ControlMessage message) implements PublisherStep {}

    /** Close that connection once what was to be sent on it is sent; it is forgotten here. */
    record Close(long connection) implements PublisherStep {}

    /** A newer term than this process's own leads: it publishes no more and is to give up its lease. */
    record Deposed(long term) implements PublisherStep {}

    /** A subscriber has seen a newer term: the process's own {@link Subscriber} is to be told. */
    record NewerTerm(long term) implements PublisherStep {}
}
