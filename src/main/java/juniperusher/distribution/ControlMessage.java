package juniperusher.distribution;

import java.util.Arrays;
import java.util.List;

/**
 * What a publisher and its subscriber tell each other over one connection, which keeps the order. The term of a
 * message is the newest that its sender has seen; whoever has seen a newer one refuses the message.
 */
public sealed interface ControlMessage {
    /** The newest term that the sender has seen. */
    long term();

    /**
     * First message of a connection, from the subscriber.
     *
     * @param subscriber its name, for logs
     * @param republishes whether it passes on what it gets: then it does not wait behind those that do not
     * @param has what it holds, {@link Version#NONE} for nothing or to get the whole state
     */
    record Subscribe(String subscriber, boolean republishes, long term, Version has) implements ControlMessage {}

    /**
     * One part of a whole state; parts come in their order.
     *
     * @param checksum the CRC32C of the whole state's bytes
     */
    record SnapshotPart(long term, Version version, int part, int parts, int checksum, byte[] bytes)
            implements ControlMessage {
        /** The same part from a sender that has seen another term. */
        SnapshotPart inTerm(long other) {
            return new SnapshotPart(other, version, part, parts, checksum, bytes);
        }

        @Override
        public boolean equals(Object other) {
            return other instanceof SnapshotPart one
                    && term == one.term
                    && version.equals(one.version)
                    && part == one.part
                    && parts == one.parts
                    && checksum == one.checksum
                    && Arrays.equals(bytes, one.bytes);
        }

        @Override
        public int hashCode() {
            return 31 * version.hashCode() + part;
        }

        @Override
        public String toString() {
            return "SnapshotPart[" + version + " " + part + " of " + parts + "]";
        }
    }

    /** Consecutive changes, one or more, from that version on. */
    record Delta(long term, Version from, List<Change> changes) implements ControlMessage {
        /** Checks that there is a change and that they follow each other. */
        public Delta {
            changes = List.copyOf(changes);
            if (changes.isEmpty()) {
                throw new IllegalArgumentException("a delta needs a change");
            }
            Version last = from;
            for (Change change : changes) {
                if (change.version().revision() != last.revision() + 1
                        || change.version().term() < last.term()) {
                    throw new IllegalArgumentException("a delta leads from " + last + " to " + change.version());
                }
                last = change.version();
            }
        }

        /** The version that it leads to. */
        public Version to() {
            return changes.get(changes.size() - 1).version();
        }
    }

    /**
     * The publisher lives.
     *
     * @param newest the newest version that it has
     * @param sent the version that the subscriber has once it has all that was sent on this connection
     * @param age seconds for which the publisher may itself be out of date; infinite if it does not know
     * @param acknowledged the last {@link Acknowledge#received} that it has heard on this connection, 0 for none
     * @param since seconds between its hearing that, or the subscription, and this message
     */
    record Heartbeat(long term, Version newest, Version sent, double age, long acknowledged, double since)
            implements ControlMessage {}

    /** The publisher cannot serve the subscriber now; it closes the connection. Not to be asked before. */
    record Busy(long term, double retryAfter) implements ControlMessage {}

    /**
     * From the subscriber, for each message that it has dealt with.
     *
     * @param has the version that it holds
     * @param received messages received on this connection so far
     */
    record Acknowledge(long term, Version has, long received) implements ControlMessage {}
}
