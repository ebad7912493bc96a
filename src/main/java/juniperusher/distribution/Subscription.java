package juniperusher.distribution;

import java.util.ArrayDeque;

/**
 * A publisher's state of one subscriber's connection: the version up to which data was sent, and the sizes of the
 * unacknowledged messages, but not the messages themselves.
 */
final class Subscription {
    private final long connection;
    private final String name;
    private final boolean republishes;
    private final ArrayDeque<InFlight> inFlight = new ArrayDeque<>();
    private Version sentVersion;
    private int inFlightBytes;
    private long sentMessages;
    private long acknowledgedMessages;
    private double lastReceivedAt;
    private double lastProgressAt; // last acknowledgement, or last message sent with none in flight
    private boolean confirmedCurrent;
    private EncodedState activeSnapshot; // the snapshot in progress, or null
    private int nextPartIndex;
    private double snapshotStartedAt;

    /** An unacknowledged message: its number on this connection, from 1, and its size. */
    private record InFlight(long number, int bytes) {}

    Subscription(long connection, ControlMessage.Subscribe subscribe, double time) {
        this.connection = connection;
        name = subscribe.subscriber();
        republishes = subscribe.republishes();
        sentVersion = subscribe.version();
        lastReceivedAt = time;
    }

    long connection() {
        return connection;
    }

    String name() {
        return name;
    }

    /** Whether the subscriber is a control process, which republishes the state. */
    boolean republishes() {
        return republishes;
    }

    // ---- messages in flight ----

    boolean hasWindowRoom(Limits limits) {
        return inFlightBytes < limits.windowBytes() && inFlight.size() < limits.maxWindowMessages();
    }

    boolean hasRoomForHeartbeat(Limits limits) {
        return inFlight.size() < limits.maxWindowMessages();
    }

    boolean hasAcknowledgedAll() {
        return inFlight.isEmpty();
    }

    int inFlightBytes() {
        return inFlightBytes;
    }

    void messageSent(int bytes, double time) {
        if (inFlight.isEmpty()) {
            lastProgressAt = time;
        }
        sentMessages++;
        inFlight.add(new InFlight(sentMessages, bytes));
        inFlightBytes += bytes;
    }

    /**
     * Handles an acknowledgement of that many received messages. The number exceeds that of sent messages if the
     * network duplicated a message; then all messages are acknowledged.
     */
    void acknowledge(long receivedMessages, double time) {
        acknowledgedMessages = receivedMessages;
        lastReceivedAt = time;
        while (!inFlight.isEmpty() && inFlight.peek().number() <= receivedMessages) {
            inFlightBytes -= inFlight.poll().bytes();
            lastProgressAt = time;
        }
    }

    /** The number of received messages in the last acknowledgement, 0 if there was none. */
    long acknowledgedMessages() {
        return acknowledgedMessages;
    }

    /** When the last acknowledgement was received or, if there was none, the subscription. */
    double lastReceivedAt() {
        return lastReceivedAt;
    }

    /** Whether messages are in flight and none was acknowledged within the timeout. */
    boolean isStalled(double timeoutSeconds, double time) {
        return !inFlight.isEmpty() && time > lastProgressAt + timeoutSeconds;
    }

    // ---- version ----

    /** The version that the subscriber has once it has received everything that was sent. */
    Version sentVersion() {
        return sentVersion;
    }

    void setSentVersion(Version version) {
        sentVersion = version;
    }

    /** Whether a heartbeat has told the subscriber at least once that it is up to date. */
    boolean isConfirmedCurrent() {
        return confirmedCurrent;
    }

    void markConfirmedCurrent() {
        confirmedCurrent = true;
    }

    // ---- snapshot ----

    void beginSnapshot(EncodedState state, double time) {
        activeSnapshot = state;
        nextPartIndex = 0;
        snapshotStartedAt = time;
    }

    /** The snapshot in progress, or null. */
    EncodedState activeSnapshot() {
        return activeSnapshot;
    }

    void abandonSnapshot() {
        activeSnapshot = null;
    }

    /** Returns the index of the part to be sent and moves on to the next one; the last part ends the snapshot. */
    int advancePart() {
        int partIndex = nextPartIndex++;
        if (nextPartIndex == activeSnapshot.parts().size()) {
            sentVersion = activeSnapshot.version();
            activeSnapshot = null;
        }
        return partIndex;
    }

    /** When the last snapshot was started. */
    double snapshotStartedAt() {
        return snapshotStartedAt;
    }

    /**
     * Whether this subscriber counts towards the limit on concurrent snapshots. Control processes and snapshots that
     * take longer than {@code maxSlotSeconds} do not count.
     */
    boolean usesSnapshotSlot(double maxSlotSeconds, double time) {
        return activeSnapshot != null && !republishes && time < snapshotStartedAt + maxSlotSeconds;
    }
}
