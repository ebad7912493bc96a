package juniperusher.distribution;

import java.util.ArrayDeque;

/**
 * What a publisher knows of one subscriber's connection: the version that it is brought to, and which messages are on
 * their way to it. Holds no message.
 */
final class Subscription {
    private final long connection;
    private final String name;
    private final boolean republishes;
    private final ArrayDeque<InFlight> inFlight = new ArrayDeque<>();
    private Version sent;
    private int inFlightBytes;
    private long messages;
    private long acknowledged;
    private double heardAt;
    private double progressAt; // when something was acknowledged, or sent while nothing was on its way
    private boolean confirmed;
    private EncodedState snapshot; // under way, or null
    private int nextPart;
    private double snapshotAt;

    /** A message on its way. */
    private record InFlight(long number, int bytes) {}

    Subscription(long connection, ControlMessage.Subscribe subscribe, double time) {
        this.connection = connection;
        name = subscribe.subscriber();
        republishes = subscribe.republishes();
        sent = subscribe.has();
        heardAt = time;
    }

    long connection() {
        return connection;
    }

    String name() {
        return name;
    }

    /** Whether it is a control process, which passes on what it gets. */
    boolean republishes() {
        return republishes;
    }

    // ---- what is on its way ----

    boolean hasRoom(Limits limits) {
        return inFlightBytes < limits.windowBytes() && inFlight.size() < limits.windowMessages();
    }

    boolean hasRoomForHeartbeat(Limits limits) {
        return inFlight.size() < limits.windowMessages();
    }

    boolean hasAcknowledgedAll() {
        return inFlight.isEmpty();
    }

    int inFlightBytes() {
        return inFlightBytes;
    }

    void sending(int bytes, double time) {
        if (inFlight.isEmpty()) {
            progressAt = time;
        }
        messages++;
        inFlight.add(new InFlight(messages, bytes));
        inFlightBytes += bytes;
    }

    /** It has received so many messages; more than were sent, where one came doubled, are no more than all. */
    void acknowledged(long received, double time) {
        acknowledged = received;
        heardAt = time;
        while (!inFlight.isEmpty() && inFlight.peek().number() <= received) {
            inFlightBytes -= inFlight.poll().bytes();
            progressAt = time;
        }
    }

    /** The last acknowledgement's number, 0 for none. */
    long acknowledged() {
        return acknowledged;
    }

    /** When the last acknowledgement came, or the subscription. */
    double heardAt() {
        return heardAt;
    }

    /** Whether nothing of what is on its way was acknowledged for longer than that. */
    boolean isStuck(double patience, double time) {
        return !inFlight.isEmpty() && time > progressAt + patience;
    }

    // ---- the version ----

    /** The version that it has once it has all that was sent. */
    Version sent() {
        return sent;
    }

    void bringTo(Version version) {
        sent = version;
    }

    /** Whether it was told that it is current, since it first was. */
    boolean isConfirmed() {
        return confirmed;
    }

    void confirm() {
        confirmed = true;
    }

    // ---- a whole state ----

    void beginSnapshot(EncodedState state, double time) {
        snapshot = state;
        nextPart = 0;
        snapshotAt = time;
    }

    /** The whole state that is under way, or null. */
    EncodedState snapshot() {
        return snapshot;
    }

    void abandonSnapshot() {
        snapshot = null;
    }

    /** The number of the part that is to be sent now; after the last one no state is under way. */
    int takePart() {
        int part = nextPart++;
        if (nextPart == snapshot.parts().size()) {
            sent = snapshot.version();
            snapshot = null;
        }
        return part;
    }

    /** When the last whole state was begun. */
    double snapshotAt() {
        return snapshotAt;
    }

    /** Whether it takes one of the places for whole states: a relay that gets one and is not slow. */
    boolean takesPlace(double seconds, double time) {
        return snapshot != null && !republishes && time < snapshotAt + seconds;
    }
}
