package juniperusher.distribution;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

/**
 * State machine of a control process that serves a versioned state to subscribers, which are relays and other control
 * processes. It keeps the newest state and a log of recent changes. A subscriber gets the changes that follow its
 * version if the log has them, and a snapshot (the whole state) otherwise. While this process leads, it publishes
 * its own changes; while another process leads, it republishes what its own {@link Subscriber} received
 * ({@link ControlProcess} connects the two).
 *
 * <p>Memory is bounded by the log, one encoded state and the sum of the send windows. A subscriber has no queue: the
 * publisher only records the subscriber's version and the sizes of the unacknowledged messages. While the window of a
 * slow subscriber is full, no message is prepared for it; afterwards it gets everything that it missed together. All
 * snapshots in progress share one encoded state.
 *
 * <p>Not thread-safe. Times are seconds of a monotonic clock. An adapter drives the publisher as follows:
 *
 * <ul>
 *   <li>It numbers the connections that it accepts, passes each decoded message to {@link #received} and reports a
 *       connection that it did not close itself by {@link #closed}.
 *   <li>It carries out the returned steps in order before the next call.
 *   <li>It calls {@link #tick} at {@link #nextTickAt}, which any call may change.
 *   <li>It may add messages to the socket's queue without a limit of its own, because a message counts against the
 *       window until it is acknowledged.
 *   <li>It checks that its lease is valid before {@link #publish} and ticks the lease before {@link #tick}. Otherwise
 *       a leader that was suspended would report its state as current although its lease has expired.
 * </ul>
 *
 * @param <S> the state
 */
public final class Publisher<S> {
    private static final double NEVER = Double.POSITIVE_INFINITY;
    // messages kept for reuse between two changes, because many subscribers have the same version
    private static final int MAX_SHARED_DELTAS = 16;
    // weight of the newest duration in the moving average of snapshot durations
    private static final double SNAPSHOT_ESTIMATE_SMOOTHING = 0.2;
    private static final double INITIAL_SNAPSHOT_ESTIMATE_SECONDS = 0.25;

    private final Timing timing;
    private final Limits limits;
    private final StateCodec<S> codec;
    private final SplittableRandom random;
    private final DeltaLog log;
    private final Map<Long, Subscription> subscriptions = new LinkedHashMap<>();
    private final Map<String, Long> connectionsByName = new LinkedHashMap<>(); // key: subscriber name
    // key: version before the delta
    private final Map<Version, ControlMessage.Delta> sharedDeltas = new LinkedHashMap<>();
    private final Counters counters = new Counters();
    private S state; // null until there is one
    private EncodedState encodedState; // the state that current snapshots transfer, or null
    private long highestTerm; // of this process and of all messages received
    private long leadingTerm; // the term under which this process leads, 0 if it does not
    private long lastLeadingTerm; // the last term under which this process led, 0 for none
    private double lastKnownCurrentAt = Double.NEGATIVE_INFINITY; // used while this process does not lead
    private double nextFlushAt = NEVER;
    private double lastFlushAt = Double.NEGATIVE_INFINITY;
    private double nextHeartbeatAt = NEVER;
    // the latest time at which a rejected subscriber was told to expect a free snapshot slot
    private double nextSnapshotSlotAt = Double.NEGATIVE_INFINITY;
    private double snapshotEstimateSeconds = INITIAL_SNAPSHOT_ESTIMATE_SECONDS;
    private double now = Double.NEGATIVE_INFINITY;

    /** Event counts since the start, for metrics. Not thread-safe. */
    public static final class Counters {
        private long snapshotsStarted;
        private long deltasSent;
        private long rejections;
        private long acknowledgementTimeouts;
        private long encodings;

        /** Snapshots started. */
        public long snapshotsStarted() {
            return snapshotsStarted;
        }

        /** Delta messages sent. */
        public long deltasSent() {
            return deltasSent;
        }

        /** Connections rejected with {@link ControlMessage.Busy}. */
        public long rejections() {
            return rejections;
        }

        /** Connections closed because of the acknowledgement timeout. */
        public long acknowledgementTimeouts() {
            return acknowledgementTimeouts;
        }

        /** How often the state was encoded. */
        public long encodings() {
            return encodings;
        }
    }

    /**
     * Current memory use of a publisher.
     *
     * @param subscribers number of subscribers
     * @param inFlightBytes unacknowledged bytes of all subscribers
     * @param maxInFlightBytes unacknowledged bytes of the subscriber that has most of them
     * @param logChanges number of changes in the log
     * @param logBytes bytes of the changes in the log
     * @param encodedStateBytes size of the encoded state, 0 if there is none
     * @param snapshotSlotsInUse snapshot slots in use
     */
    public record Memory(
            int subscribers,
            long inFlightBytes,
            long maxInFlightBytes,
            int logChanges,
            int logBytes,
            int encodedStateBytes,
            int snapshotSlotsInUse) {}

    /**
     * Creates a publisher without a state. Until it has one, subscribers only get heartbeats.
     *
     * @param seed seed of the jitter in retry-after delays
     */
    public Publisher(Timing timing, Limits limits, StateCodec<S> codec, long seed) {
        this.timing = timing;
        this.limits = limits;
        this.codec = codec;
        random = new SplittableRandom(seed);
        log = new DeltaLog(limits.maxLogChanges(), limits.maxLogBytes());
    }

    // ---- state and term ----

    /**
     * Makes this process the leader. The first change of a new term is empty: it gives the unchanged state a version
     * of that term, so that the versions of subscribers that still follow an older leader differ from it. After
     * {@link #resign}, the process may lead again under the same token. If a newer term is known, or the state already
     * has this term from another leader, the process does not lead and the only step is {@link PublisherStep.Deposed}.
     *
     * @param token the lease's fencing token, used as the term
     * @throws IllegalStateException if there is no state yet
     */
    public List<PublisherStep> lead(long token, double time) {
        advanceClock(time);
        if (state == null) {
            throw new IllegalStateException("cannot lead without a state");
        }
        if (token < highestTerm || token == newestVersion().term() && token != lastLeadingTerm) {
            return List.of(new PublisherStep.Deposed(
                    Math.max(highestTerm, newestVersion().term())));
        }
        List<PublisherStep> steps = new ArrayList<>();
        highestTerm = token;
        leadingTerm = token;
        lastLeadingTerm = token;
        if (newestVersion().term() < token) {
            append(new Change(new Version(token, newestVersion().revision() + 1), new byte[0]));
            flush(steps);
        }
        return steps;
    }

    /** Stops leading, also if the lease is only in doubt. The age of the state counts from now on. */
    public void resign(double time) {
        advanceClock(time);
        if (leadingTerm != 0) {
            leadingTerm = 0;
            lastKnownCurrentAt = time;
        }
    }

    /**
     * Applies changes to the leader's state and publishes them, either all or none.
     *
     * @throws IllegalStateException if this process does not lead
     * @throws IllegalArgumentException if a change is empty or longer than {@link Limits#maxChangeBytes}
     * @throws DamagedStateException if a change cannot be applied
     */
    public List<PublisherStep> publish(List<byte[]> deltas, double time) throws DamagedStateException {
        advanceClock(time);
        if (leadingTerm == 0) {
            throw new IllegalStateException("this process does not lead");
        }
        for (byte[] delta : deltas) {
            if (delta.length == 0 || delta.length > limits.maxChangeBytes()) {
                throw new IllegalArgumentException(
                        "change has " + delta.length + " bytes, allowed are 1 to " + limits.maxChangeBytes());
            }
        }
        state = codec.applyAll(state, deltas);
        for (byte[] delta : deltas) {
            append(new Change(new Version(leadingTerm, newestVersion().revision() + 1), delta));
        }
        return flushOrSchedule();
    }

    /**
     * Sets the state of a process that does not lead: the one restored at the start, or a snapshot that its own
     * subscriber received. Ignored unless the version is newer.
     */
    public List<PublisherStep> replaceState(Version version, S newState, double time) {
        advanceClock(time);
        requireNotLeading();
        if (state != null && !version.isAfter(newestVersion())) {
            return List.of();
        }
        state = newState;
        log.reset(version);
        versionChanged(version);
        return flushOrSchedule();
    }

    /** Adds changes that the process's own subscriber applied, and sets the state that resulted from them. */
    public List<PublisherStep> advanceState(Version from, List<Change> changes, S newState, double time) {
        advanceClock(time);
        requireNotLeading();
        Version to = changes.get(changes.size() - 1).version();
        if (!from.equals(newestVersion())) {
            return replaceState(to, newState, time);
        }
        state = newState;
        changes.forEach(this::append);
        return flushOrSchedule();
    }

    private void requireNotLeading() {
        if (leadingTerm != 0) {
            throw new IllegalStateException("not allowed while this process leads in term " + leadingTerm);
        }
    }

    /** Reports that the state of this process was known to be current at that time. Earlier times are ignored. */
    public void updateKnownCurrentAt(double time) {
        lastKnownCurrentAt = Math.max(lastKnownCurrentAt, time);
    }

    /** Reports a term that was seen elsewhere. If it is newer than the term of this process, it stops leading. */
    public List<PublisherStep> observeTerm(long observedTerm, double time) {
        advanceClock(time);
        List<PublisherStep> steps = new ArrayList<>();
        raiseTerm(observedTerm, steps);
        return steps;
    }

    private void append(Change change) {
        log.append(change);
        versionChanged(change.version());
    }

    private void versionChanged(Version version) {
        highestTerm = Math.max(highestTerm, version.term());
        sharedDeltas.clear();
        if (encodedState != null && !log.covers(encodedState.version())) {
            // A subscriber could not be brought from this snapshot to the newest version by changes.
            encodedState = null;
        }
    }

    private void raiseTerm(long observedTerm, List<PublisherStep> steps) {
        if (observedTerm <= highestTerm) {
            return;
        }
        highestTerm = observedTerm;
        sharedDeltas.clear();
        if (leadingTerm != 0) {
            resign(now);
            steps.add(new PublisherStep.Deposed(observedTerm));
        }
        steps.add(new PublisherStep.NewerTerm(observedTerm));
    }

    // ---- connections ----

    /** Handles a message that was received on an accepted connection. */
    public List<PublisherStep> received(long connection, ControlMessage message, double time) {
        advanceClock(time);
        List<PublisherStep> steps = new ArrayList<>();
        raiseTerm(message.term(), steps);
        Subscription subscription = subscriptions.get(connection);
        if (message instanceof ControlMessage.Subscribe subscribe && subscription == null) {
            addSubscription(connection, subscribe, steps);
        } else if (message instanceof ControlMessage.Acknowledge acknowledge) {
            if (subscription != null) { // null if sent before the peer noticed that the connection was closed
                handleAcknowledge(subscription, acknowledge, steps);
            }
        } else {
            closeConnection(connection, steps);
        }
        return steps;
    }

    /** Reports that the peer or the network has ended the connection. */
    public void closed(long connection, double time) {
        advanceClock(time);
        removeSubscription(connection);
    }

    private void addSubscription(long connection, ControlMessage.Subscribe subscribe, List<PublisherStep> steps) {
        Long previousConnection = connectionsByName.get(subscribe.subscriber());
        if (previousConnection != null) {
            closeConnection(previousConnection, steps); // half-open: the subscriber has already abandoned it
        }
        if (!subscribe.republishes() && subscriptions.size() >= limits.maxSubscribers()) {
            // The delay is short, because the subscriber then tries the next source, which may have room.
            sendBusyAndClose(connection, timing.heartbeatIntervalSeconds() * (1 + random.nextDouble()), steps);
            return;
        }
        Subscription subscription = new Subscription(connection, subscribe, now);
        subscriptions.put(connection, subscription);
        connectionsByName.put(subscription.name(), connection);
        if (nextHeartbeatAt == NEVER) {
            nextHeartbeatAt = now + timing.heartbeatIntervalSeconds();
        }
        if (!newestVersion().isAfter(subscription.sentVersion())) {
            subscription.markConfirmedCurrent();
        }
        sendHeartbeat(subscription, steps);
        sendMissing(subscription, steps);
    }

    private void handleAcknowledge(
            Subscription subscription, ControlMessage.Acknowledge acknowledge, List<PublisherStep> steps) {
        subscription.acknowledge(acknowledge.receivedMessages(), now);
        sendMissing(subscription, steps);
        boolean current = subscription.hasAcknowledgedAll() && !newestVersion().isAfter(subscription.sentVersion());
        if (current && !subscription.isConfirmedCurrent()) {
            subscription.markConfirmedCurrent();
            sendHeartbeat(subscription, steps); // tells it now, not a heartbeat interval later, that it is current
        }
    }

    private void sendBusyAndClose(long connection, double retryAfterSeconds, List<PublisherStep> steps) {
        counters.rejections++;
        steps.add(new PublisherStep.Send(connection, new ControlMessage.Busy(highestTerm, retryAfterSeconds)));
        closeConnection(connection, steps);
    }

    private void closeConnection(long connection, List<PublisherStep> steps) {
        removeSubscription(connection);
        steps.add(new PublisherStep.Close(connection));
    }

    private void removeSubscription(long connection) {
        Subscription subscription = subscriptions.remove(connection);
        if (subscription != null) {
            connectionsByName.remove(subscription.name(), connection);
        }
    }

    // ---- sending ----

    /** Sends what is due at that time. Has to be called at {@link #nextTickAt} at the latest. */
    public List<PublisherStep> tick(double time) {
        advanceClock(time);
        List<PublisherStep> steps = new ArrayList<>();
        if (now >= nextFlushAt) {
            flush(steps);
        }
        if (now >= nextHeartbeatAt) {
            nextHeartbeatAt = subscriptions.isEmpty() ? NEVER : now + timing.heartbeatIntervalSeconds();
            for (Subscription subscription : List.copyOf(subscriptions.values())) {
                if (subscription.isStalled(timing.acknowledgementTimeoutSeconds(), now)) {
                    counters.acknowledgementTimeouts++;
                    closeConnection(subscription.connection(), steps);
                } else if (subscription.hasRoomForHeartbeat(limits)) {
                    sendHeartbeat(subscription, steps);
                }
            }
        }
        return steps;
    }

    /** The time at which {@link #tick} has to be called next; infinite if there is nothing to do. */
    public double nextTickAt() {
        return Math.min(nextFlushAt, nextHeartbeatAt);
    }

    private List<PublisherStep> flushOrSchedule() {
        List<PublisherStep> steps = new ArrayList<>();
        if (now >= lastFlushAt + timing.batchIntervalSeconds()) {
            flush(steps);
        } else {
            nextFlushAt = lastFlushAt + timing.batchIntervalSeconds();
        }
        return steps;
    }

    private void flush(List<PublisherStep> steps) {
        nextFlushAt = NEVER;
        lastFlushAt = now;
        for (Subscription subscription : List.copyOf(subscriptions.values())) {
            sendMissing(subscription, steps);
        }
    }

    private void sendHeartbeat(Subscription subscription, List<PublisherStep> steps) {
        double secondsSinceAcknowledge = now - subscription.lastReceivedAt();
        send(
                subscription,
                new ControlMessage.Heartbeat(
                        highestTerm,
                        newestVersion(),
                        subscription.sentVersion(),
                        ageSeconds(now),
                        subscription.acknowledgedMessages(),
                        secondsSinceAcknowledge),
                steps);
    }

    /** Sends changes or snapshot parts until the subscriber is up to date or its window is full. */
    private void sendMissing(Subscription subscription, List<PublisherStep> steps) {
        while (subscription.hasWindowRoom(limits)) {
            if (subscription.activeSnapshot() != null) {
                sendSnapshotPart(subscription, steps);
            } else if (!newestVersion().isAfter(subscription.sentVersion())) {
                return; // up to date, or ahead of this process
            } else if (log.covers(subscription.sentVersion())) {
                ControlMessage.Delta delta = deltaFrom(subscription.sentVersion());
                counters.deltasSent++;
                subscription.setSentVersion(delta.toVersion());
                send(subscription, delta, steps);
            } else if (!beginSnapshot(subscription)) {
                sendBusyAndClose(subscription.connection(), reserveSnapshotSlot(), steps);
                return;
            }
        }
    }

    private ControlMessage.Delta deltaFrom(Version from) {
        ControlMessage.Delta delta = sharedDeltas.get(from);
        if (delta == null) {
            delta = new ControlMessage.Delta(highestTerm, from, log.changesAfter(from, limits.maxDeltaBytes()));
            if (sharedDeltas.size() >= MAX_SHARED_DELTAS) {
                sharedDeltas.remove(sharedDeltas.keySet().iterator().next());
            }
            sharedDeltas.put(from, delta);
        }
        return delta;
    }

    private boolean beginSnapshot(Subscription subscription) {
        if (!subscription.republishes() && usedSnapshotSlots() >= limits.maxConcurrentSnapshots()) {
            return false;
        }
        if (encodedState == null || !encodedState.version().isAfter(subscription.sentVersion())) {
            encodedState = EncodedState.of(highestTerm, newestVersion(), codec.encode(state), limits.maxPartBytes());
            counters.encodings++;
        }
        counters.snapshotsStarted++;
        subscription.beginSnapshot(encodedState, now);
        return true;
    }

    private void sendSnapshotPart(Subscription subscription, List<PublisherStep> steps) {
        if (subscription.activeSnapshot() != encodedState) {
            // A newer encoded state has replaced this snapshot, or the log no longer covers its version.
            subscription.abandonSnapshot();
            return;
        }
        send(subscription, encodedState.part(subscription.advancePart(), highestTerm), steps);
        if (subscription.activeSnapshot() == null) {
            snapshotEstimateSeconds +=
                    SNAPSHOT_ESTIMATE_SMOOTHING * (now - subscription.snapshotStartedAt() - snapshotEstimateSeconds);
        }
    }

    private void send(Subscription subscription, ControlMessage message, List<PublisherStep> steps) {
        subscription.messageSent(ControlMessageCodec.encodedSize(message), now);
        steps.add(new PublisherStep.Send(subscription.connection(), message));
    }

    private int usedSnapshotSlots() {
        int count = 0;
        for (Subscription subscription : subscriptions.values()) {
            count += subscription.usesSnapshotSlot(limits.maxSnapshotSlotSeconds(), now) ? 1 : 0;
        }
        return count;
    }

    /**
     * The retry-after delay, in seconds, of a subscriber for which no snapshot slot is free. Each call moves the
     * expected time on by the time in which one slot becomes free, so that rejected subscribers come back one by one.
     */
    private double reserveSnapshotSlot() {
        nextSnapshotSlotAt =
                Math.max(nextSnapshotSlotAt, now) + snapshotEstimateSeconds / limits.maxConcurrentSnapshots();
        double waitSeconds =
                Math.min(limits.maxRetryAfterSeconds(), nextSnapshotSlotAt - now + timing.batchIntervalSeconds());
        return waitSeconds * (1 + random.nextDouble() / 2);
    }

    private void advanceClock(double time) {
        if (time < now) {
            throw new IllegalArgumentException("time went backwards from " + now + " to " + time);
        }
        now = time;
    }

    // ---- status ----

    /** How many seconds the state may be out of date: 0 while this process leads, infinite if not known. */
    public double ageSeconds(double time) {
        return leadingTerm != 0 ? 0 : Math.max(0, time - lastKnownCurrentAt);
    }

    /** Whether this process leads. */
    public boolean isLeading() {
        return leadingTerm != 0;
    }

    /** The newest term that this process knows. */
    public long highestTerm() {
        return highestTerm;
    }

    /** The newest version, {@link Version#NONE} if there is no state. */
    public Version newestVersion() {
        return log.newestVersion();
    }

    /** The newest state, null if there is none. */
    public S state() {
        return state;
    }

    /** Event counts, updated in place. */
    public Counters counters() {
        return counters;
    }

    /** Current memory use. */
    public Memory memory() {
        long totalInFlight = 0;
        long maxInFlight = 0;
        for (Subscription subscription : subscriptions.values()) {
            totalInFlight += subscription.inFlightBytes();
            maxInFlight = Math.max(maxInFlight, subscription.inFlightBytes());
        }
        return new Memory(
                subscriptions.size(),
                totalInFlight,
                maxInFlight,
                log.changeCount(),
                log.totalBytes(),
                encodedState == null ? 0 : encodedState.totalBytes(),
                usedSnapshotSlots());
    }
}
