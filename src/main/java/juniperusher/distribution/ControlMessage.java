package juniperusher.distribution;

import java.util.Arrays;
import java.util.List;

/**
 * A message between a publisher and a subscriber over one ordered connection. Each message contains the newest term
 * that its sender has seen. A subscriber refuses messages with an older term than its own.
 */
public sealed interface ControlMessage {
    /** The newest term that the sender has seen. */
    long term();

    /**
     * The first message of a connection, from the subscriber.
     *
     * @param subscriber name of the subscriber; a new connection with the same name replaces the previous one
     * @param republishes whether the subscriber is a control process that republishes the state; such subscribers are
     *     exempt from the limits on subscribers and on concurrent snapshots
     * @param version version of the subscriber's state; {@link Version#NONE} to request a snapshot
     */
    record Subscribe(String subscriber, boolean republishes, long term, Version version) implements ControlMessage {}

    /**
     * One part of a snapshot. Parts are sent in order.
     *
     * @param version version of the snapshot's state
     * @param partIndex index of this part, from 0
     * @param partCount number of parts of the snapshot
     * @param checksum CRC32C over the encoded state, that is, over the bytes of all parts
     * @param bytes the part's bytes; must not be modified
     */
    record SnapshotPart(long term, Version version, int partIndex, int partCount, int checksum, byte[] bytes)
            implements ControlMessage {
        /** Returns a copy with another sender's term; the bytes are shared. */
        SnapshotPart withTerm(long newTerm) {
            return new SnapshotPart(newTerm, version, partIndex, partCount, checksum, bytes);
        }

        @Override
        public boolean equals(Object other) {
            return other instanceof SnapshotPart that
                    && term == that.term
                    && version.equals(that.version)
                    && partIndex == that.partIndex
                    && partCount == that.partCount
                    && checksum == that.checksum
                    && Arrays.equals(bytes, that.bytes);
        }

        @Override
        public int hashCode() {
            return 31 * version.hashCode() + partIndex;
        }

        @Override
        public String toString() {
            return "SnapshotPart[" + version + " " + partIndex + " of " + partCount + "]";
        }
    }

    /**
     * One or more consecutive changes.
     *
     * @param fromVersion version of the state to which the first change applies
     */
    record Delta(long term, Version fromVersion, List<Change> changes) implements ControlMessage {
        /** Checks that there is at least one change and that the versions are consecutive. */
        public Delta {
            changes = List.copyOf(changes);
            if (changes.isEmpty()) {
                throw new IllegalArgumentException("delta without a change");
            }
            Version last = fromVersion;
            for (Change change : changes) {
                if (change.version().revision() != last.revision() + 1
                        || change.version().term() < last.term()) {
                    throw new IllegalArgumentException(
                            "delta is not consecutive: after " + last + " comes " + change.version());
                }
                last = change.version();
            }
        }

        /** The version of the state after the last change. */
        public Version toVersion() {
            return changes.get(changes.size() - 1).version();
        }
    }

    /**
     * Sent by the publisher after the subscription, at a regular interval, and when a subscriber has become up to date.
     *
     * @param newestVersion the publisher's newest version
     * @param sentVersion the version that the subscriber has once it has received all earlier messages
     * @param ageSeconds for how many seconds the publisher's own state may have been out of date; infinite if not known
     * @param acknowledgedMessages the last {@link Acknowledge#receivedMessages} that the publisher received on this
     *     connection, 0 for none
     * @param secondsSinceAcknowledge seconds since the publisher received that acknowledgement or, if there was none,
     *     the {@link Subscribe}
     */
    record Heartbeat(
            long term,
            Version newestVersion,
            Version sentVersion,
            double ageSeconds,
            long acknowledgedMessages,
            double secondsSinceAcknowledge)
            implements ControlMessage {}

    /**
     * Sent by the publisher before it closes the connection, because it cannot serve the subscriber now.
     *
     * @param retryAfterSeconds delay before the subscriber may connect again
     */
    record Busy(long term, double retryAfterSeconds) implements ControlMessage {}

    /**
     * Sent by the subscriber after each message that it has handled.
     *
     * @param version version of the subscriber's state
     * @param receivedMessages number of messages received on this connection so far
     */
    record Acknowledge(long term, Version version, long receivedMessages) implements ControlMessage {}
}
