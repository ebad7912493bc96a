package juniperusher.distribution;

import java.util.List;

/**
 * Something that the adapter of a {@link Subscriber} is to do; steps are carried out in their order.
 *
 * @param <S> the state
 */
public sealed interface SubscriberStep<S> {
    /** Connect to that source; what comes of it is told with the connection's number. */
    record Connect<S>(long connection, String source) implements SubscriberStep<S> {}

    /** Send the message on that connection. */
    record Send<S>(long connection, ControlMessage message) implements SubscriberStep<S> {}

    /** Close that connection, or give up connecting; nothing more of it needs to be told. */
    record Disconnect<S>(long connection, Reason reason) implements SubscriberStep<S> {}

    /** The state of that version is in force in place of the one before, whatever that was. */
    record Replaced<S>(Version version, S state) implements SubscriberStep<S> {}

    /** The state is in force to which the changes have led from the version before. */
    record Advanced<S>(Version from, List<Change> changes, S state) implements SubscriberStep<S> {
        /** The version in force. */
        public Version to() {
            return changes.get(changes.size() - 1).version();
        }
    }

    /** A state or a change was refused whole; what was in force stays so. Worth one line in the log. */
    record Refused<S>(Version version, String why) implements SubscriberStep<S> {}

    /** Why a connection is closed. */
    enum Reason {
        /** The process wants no more, or has other sources now. */
        STOPPED,
        /** The source did not answer in time. */
        NOT_CONNECTED,
        /** The other side closed it, or the network. */
        CLOSED,
        /** A heartbeat is overdue. */
        SILENCE,
        /** A message is missing. */
        GAP,
        /** The source is behind a leader that this process knows of. */
        OUTDATED_TERM,
        /** The source has not been current itself for too long. */
        STALE_SOURCE,
        /** Another source is preferred and may be back. */
        PREFERENCE,
        /** The source has no room now and said when to come again. */
        BUSY,
        /** A state or a change was damaged. */
        DAMAGED,
        /** A message that a publisher never sends. */
        PROTOCOL
    }
}
