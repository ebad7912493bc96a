package juniperusher.distribution;

import java.util.List;

/**
 * An action that the adapter of a {@link Subscriber} has to carry out, or an event that it may pass on. Steps are
 * carried out in order.
 *
 * @param <S> the state
 */
public sealed interface SubscriberStep<S> {
    /**
     * Connect to a source. The adapter reports the result, and later events, with the number of this connection.
     */
    record Connect<S>(long connection, String source) implements SubscriberStep<S> {}

    /** Send a message. */
    record Send<S>(long connection, ControlMessage message) implements SubscriberStep<S> {}

    /** Close a connection or abort the attempt to connect. No further events of it have to be reported. */
    record Disconnect<S>(long connection, Reason reason) implements SubscriberStep<S> {}

    /** A snapshot has replaced the active state. */
    record Replaced<S>(Version version, S state) implements SubscriberStep<S> {}

    /**
     * Changes were applied to the active state.
     *
     * @param fromVersion version before the changes
     * @param state the active state after the changes
     */
    record Advanced<S>(Version fromVersion, List<Change> changes, S state) implements SubscriberStep<S> {
        /** The active version after the changes. */
        public Version toVersion() {
            return changes.get(changes.size() - 1).version();
        }
    }

    /** A damaged snapshot or delta was refused as a whole; the active state is unchanged. Should be logged. */
    record Refused<S>(Version version, String reason) implements SubscriberStep<S> {}

    /** Why a connection was closed. */
    enum Reason {
        /** The process stopped following, or its new sources do not include this one. */
        STOPPED,
        /** The connection could not be opened in time. */
        NOT_CONNECTED,
        /** The source or the network closed it. */
        CLOSED,
        /** No message was received for the silence timeout. */
        SILENCE,
        /** A message is missing, or a delta does not follow the active version. */
        GAP,
        /** The source has not seen the newest term that this process knows. */
        OUTDATED_TERM,
        /** The source's own state has been out of date for too long. */
        STALE_SOURCE,
        /** The connection was to a fallback; the preferred source is tried again. */
        PREFERENCE,
        /** The source rejected the subscription with a retry-after delay. */
        BUSY,
        /** A snapshot or a delta was damaged. */
        DAMAGED,
        /** The source sent a message that only subscribers send. */
        PROTOCOL
    }
}
