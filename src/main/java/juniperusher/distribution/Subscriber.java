package juniperusher.distribution;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import juniperusher.distribution.SubscriberStep.Reason;

/**
 * State machine of a process that follows a published state: a relay, or a control process that does not lead. It
 * connects to one of several sources and continues from the version that it has. A new state becomes active only when
 * it was received completely and its checks passed; until then, and after any damage or loss, the previous state
 * stays active. The version never decreases.
 *
 * <p>It also bounds the staleness of its state. A heartbeat contains the age of the source's own state, the last
 * acknowledgement that the source received, and the time since then. The staleness is computed from the local time at
 * which that acknowledgement was sent. Hence network delays can make it too large but never too small.
 *
 * <p>Not thread-safe. Times are seconds of a monotonic clock. An adapter drives the subscriber as follows:
 *
 * <ul>
 *   <li>It calls {@link #start} with the sources in order of preference, and carries out the steps of each call in
 *       order.
 *   <li>After {@link SubscriberStep.Connect} it calls {@link #connected} or {@link #disconnected} with the number of
 *       that connection, and {@link #received} for each decoded message. If the received bytes cannot be decoded, it
 *       closes the connection and calls {@link #disconnected}. Late events of an earlier connection are ignored.
 *   <li>It calls {@link #tick} at {@link #nextTickAt}, which any call may change.
 * </ul>
 *
 * @param <S> the state
 */
public final class Subscriber<S> {
    private static final double NEVER = Double.POSITIVE_INFINITY;
    // Further ones are not recorded until a heartbeat confirms some; the staleness is overestimated meanwhile.
    private static final int MAX_SENT_ACKNOWLEDGEMENTS = 256;

    private final String name;
    private final Timing timing;
    private final int maxStateBytes;
    private final StateCodec<S> codec;
    private final SplittableRandom random;
    private final Map<Reason, Long> disconnectCounts = new EnumMap<>(Reason.class);
    private final ArrayDeque<SentAcknowledgement> sentAcknowledgements = new ArrayDeque<>();
    private boolean republishes;
    private List<String> sources = List.of();
    private Phase phase = Phase.IDLE;
    private Version version = Version.NONE;
    private S state; // null until there is one
    private long highestTerm; // of all that this process has seen
    private double lastKnownCurrentAt = Double.NEGATIVE_INFINITY;
    private boolean needsSnapshot; // a change was damaged, so the state cannot be updated by changes
    private int sourceIndex;
    private long connectionNumber; // of the current connection or, between connections, of the last one
    private long receivedMessages; // on that connection
    private double lastReceivedAt;
    private double leaveStaleSourceAt = NEVER;
    private double retryPreferredAt = NEVER; // the first source is the preferred one
    private double connectActionAt = NEVER; // end of the backoff, or of the connect timeout
    private int consecutiveFailures; // since a new state, or a heartbeat that confirmed the present one
    private IncomingSnapshot incomingSnapshot; // null if none is in progress
    private long refusedCount;
    private long duplicates;
    private double now = Double.NEGATIVE_INFINITY;

    private enum Phase {
        IDLE,
        BACKING_OFF,
        CONNECTING,
        SUBSCRIBED
    }

    /** When the acknowledgement of the first {@code receivedMessages} messages was sent. */
    private record SentAcknowledgement(long receivedMessages, double sentAt) {}

    /** The parts of a snapshot that were received so far. */
    private static final class IncomingSnapshot {
        final Version version;
        final int partCount;
        final int checksum;
        final List<byte[]> parts = new ArrayList<>();
        long receivedBytes;

        IncomingSnapshot(ControlMessage.SnapshotPart first) {
            version = first.version();
            partCount = first.partCount();
            checksum = first.checksum();
        }

        byte[] joinParts() {
            byte[] joined = new byte[(int) receivedBytes];
            int offset = 0;
            for (byte[] part : parts) {
                System.arraycopy(part, 0, joined, offset, part.length);
                offset += part.length;
            }
            return joined;
        }
    }

    /**
     * Creates a subscriber without a state and without sources.
     *
     * @param name identifies this process to the publishers
     * @param maxStateBytes size above which a snapshot is refused
     * @param seed seed of the jitter in backoffs
     */
    public Subscriber(String name, Timing timing, int maxStateBytes, StateCodec<S> codec, long seed) {
        this.name = name;
        this.timing = timing;
        this.maxStateBytes = maxStateBytes;
        this.codec = codec;
        random = new SplittableRandom(seed);
    }

    /** Marks this process as one that republishes the state. Its backoff is shorter, because relays depend on it. */
    void setRepublishing() {
        republishes = true;
    }

    // ---- commands ----

    /**
     * Sets a state that does not come from a source, for example one restored from disk. Ignored if it is not newer
     * than the present state.
     *
     * @param knownCurrentAt when that state was last known to be current, by the clock of the other methods; negative
     *     infinity if that is not known
     */
    public void resume(Version restoredVersion, S restoredState, double knownCurrentAt) {
        if (state == null || restoredVersion.isAfter(version)) {
            version = restoredVersion;
            state = restoredState;
            highestTerm = Math.max(highestTerm, restoredVersion.term());
            lastKnownCurrentAt = Math.max(lastKnownCurrentAt, knownCurrentAt);
        }
    }

    /**
     * Sets the sources to follow, in order of preference. A connection to one of them is kept. Otherwise the first
     * attempt to connect follows a short random delay, so that many processes that start together do not connect at the
     * same time.
     */
    public List<SubscriberStep<S>> start(List<String> newSources, double time) {
        advanceClock(time);
        List<SubscriberStep<S>> steps = new ArrayList<>();
        String connectedSource =
                phase == Phase.SUBSCRIBED || phase == Phase.CONNECTING ? sources.get(sourceIndex) : null;
        sources = List.copyOf(newSources);
        int keptIndex = connectedSource == null ? -1 : sources.indexOf(connectedSource);
        sourceIndex = Math.max(0, keptIndex);
        if (keptIndex >= 0) {
            schedulePreferredRetry();
            return steps;
        }
        if (connectedSource != null) {
            steps.add(new SubscriberStep.Disconnect<>(connectionNumber, Reason.STOPPED));
        }
        clearConnectionState();
        consecutiveFailures = 0;
        phase = sources.isEmpty() ? Phase.IDLE : Phase.BACKING_OFF;
        connectActionAt = sources.isEmpty() ? NEVER : time + random.nextDouble() * timing.initialBackoffSeconds();
        return steps;
    }

    /** Stops following any source; keeps the state. */
    public List<SubscriberStep<S>> stop(double time) {
        return start(List.of(), time);
    }

    /** Reports a term that was seen elsewhere. The next message of a source with an older term ends its connection. */
    public void observeTerm(long observedTerm) {
        highestTerm = Math.max(highestTerm, observedTerm);
    }

    // ---- connections ----

    /** Reports that the connection is open. */
    public List<SubscriberStep<S>> connected(long eventConnection, double time) {
        advanceClock(time);
        List<SubscriberStep<S>> steps = new ArrayList<>();
        if (eventConnection != connectionNumber || phase != Phase.CONNECTING) {
            return steps;
        }
        phase = Phase.SUBSCRIBED;
        lastReceivedAt = time;
        schedulePreferredRetry();
        receivedMessages = 0;
        sentAcknowledgements.clear();
        sentAcknowledgements.add(new SentAcknowledgement(0, time));
        Version requestedVersion = needsSnapshot ? Version.NONE : version;
        steps.add(new SubscriberStep.Send<>(
                connectionNumber, new ControlMessage.Subscribe(name, republishes, highestTerm, requestedVersion)));
        return steps;
    }

    /** Reports that the connection could not be opened or has ended. */
    public List<SubscriberStep<S>> disconnected(long eventConnection, double time) {
        advanceClock(time);
        List<SubscriberStep<S>> steps = new ArrayList<>();
        if (eventConnection == connectionNumber && (phase == Phase.CONNECTING || phase == Phase.SUBSCRIBED)) {
            Reason reason = phase == Phase.CONNECTING ? Reason.NOT_CONNECTED : Reason.CLOSED;
            scheduleReconnect(reason, nextBackoff());
        }
        return steps;
    }

    /** Handles timeouts and starts attempts to connect. Has to be called at {@link #nextTickAt} at the latest. */
    public List<SubscriberStep<S>> tick(double time) {
        advanceClock(time);
        List<SubscriberStep<S>> steps = new ArrayList<>();
        if (phase == Phase.CONNECTING && now >= connectActionAt) {
            disconnect(Reason.NOT_CONNECTED, steps);
        } else if (phase == Phase.SUBSCRIBED && now >= lastReceivedAt + timing.silenceTimeoutSeconds()) {
            disconnect(Reason.SILENCE, steps);
        } else if (phase == Phase.SUBSCRIBED && now >= leaveStaleSourceAt) {
            disconnect(Reason.STALE_SOURCE, steps);
        } else if (phase == Phase.SUBSCRIBED && now >= retryPreferredAt) {
            disconnect(Reason.PREFERENCE, 0, steps);
            sourceIndex = 0;
        }
        if (phase == Phase.BACKING_OFF && now >= connectActionAt) {
            phase = Phase.CONNECTING;
            connectionNumber++;
            connectActionAt = now + timing.connectTimeoutSeconds();
            steps.add(new SubscriberStep.Connect<>(connectionNumber, sources.get(sourceIndex)));
        }
        return steps;
    }

    /** The time at which {@link #tick} has to be called next; infinite if there is nothing to do. */
    public double nextTickAt() {
        return phase == Phase.SUBSCRIBED
                ? Math.min(
                        lastReceivedAt + timing.silenceTimeoutSeconds(), Math.min(leaveStaleSourceAt, retryPreferredAt))
                : connectActionAt;
    }

    private void disconnect(Reason reason, List<SubscriberStep<S>> steps) {
        disconnect(reason, nextBackoff(), steps);
    }

    private void disconnect(Reason reason, double backoffSeconds, List<SubscriberStep<S>> steps) {
        steps.add(new SubscriberStep.Disconnect<>(connectionNumber, reason));
        scheduleReconnect(reason, backoffSeconds);
    }

    private void scheduleReconnect(Reason reason, double backoffSeconds) {
        disconnectCounts.merge(reason, 1L, Long::sum);
        clearConnectionState();
        consecutiveFailures++;
        sourceIndex = (sourceIndex + 1) % sources.size();
        phase = Phase.BACKING_OFF;
        connectActionAt = now + backoffSeconds;
    }

    private void schedulePreferredRetry() {
        retryPreferredAt =
                sourceIndex == 0 ? NEVER : now + timing.preferredSourceRetrySeconds() * (1 + random.nextDouble());
    }

    private void clearConnectionState() {
        incomingSnapshot = null;
        leaveStaleSourceAt = NEVER;
        retryPreferredAt = NEVER;
        sentAcknowledgements.clear();
    }

    /** Exponential backoff in seconds, between half of the bound and the bound. */
    private double nextBackoff() {
        double maxBackoff = republishes ? timing.maxControlBackoffSeconds() : timing.maxBackoffSeconds();
        double backoff = Math.min(maxBackoff, timing.initialBackoffSeconds() * Math.pow(2, consecutiveFailures));
        return backoff * (1 + random.nextDouble()) / 2;
    }

    // ---- messages ----

    /** Handles a message that was received on the connection. */
    public List<SubscriberStep<S>> received(long eventConnection, ControlMessage message, double time) {
        advanceClock(time);
        List<SubscriberStep<S>> steps = new ArrayList<>();
        if (eventConnection != connectionNumber || phase != Phase.SUBSCRIBED) {
            return steps;
        }
        lastReceivedAt = time;
        receivedMessages++;
        if (message.term() < highestTerm) {
            disconnect(Reason.OUTDATED_TERM, steps);
            return steps;
        }
        highestTerm = message.term();
        if (message instanceof ControlMessage.SnapshotPart part) {
            handle(part, steps);
        } else if (message instanceof ControlMessage.Delta delta) {
            handle(delta, steps);
        } else if (message instanceof ControlMessage.Heartbeat heartbeat) {
            handle(heartbeat, steps);
        } else if (message instanceof ControlMessage.Busy busy) {
            double jitter = random.nextDouble() * timing.initialBackoffSeconds();
            // The jitter only extends the requested delay.
            disconnect(Reason.BUSY, Math.max(busy.retryAfterSeconds() + jitter, nextBackoff()), steps);
        } else {
            disconnect(Reason.PROTOCOL, steps);
        }
        if (phase == Phase.SUBSCRIBED) {
            acknowledge(steps);
        }
        return steps;
    }

    private void acknowledge(List<SubscriberStep<S>> steps) {
        if (sentAcknowledgements.size() < MAX_SENT_ACKNOWLEDGEMENTS) {
            sentAcknowledgements.add(new SentAcknowledgement(receivedMessages, now));
        }
        steps.add(new SubscriberStep.Send<>(
                connectionNumber, new ControlMessage.Acknowledge(highestTerm, version, receivedMessages)));
    }

    private void handle(ControlMessage.Heartbeat heartbeat, List<SubscriberStep<S>> steps) {
        if (incomingSnapshot == null && heartbeat.sentVersion().isAfter(version)) {
            disconnect(Reason.GAP, steps);
            return;
        }
        double acknowledgementSentAt = acknowledgementSentAt(heartbeat.acknowledgedMessages());
        if (!heartbeat.newestVersion().isAfter(version)) {
            lastKnownCurrentAt = Math.max(
                    lastKnownCurrentAt,
                    acknowledgementSentAt + heartbeat.secondsSinceAcknowledge() - heartbeat.ageSeconds());
        }
        if (heartbeat.ageSeconds() <= timing.maxSourceAgeSeconds()) {
            leaveStaleSourceAt = NEVER;
            consecutiveFailures = heartbeat.newestVersion().isAfter(version) ? consecutiveFailures : 0;
        } else if (leaveStaleSourceAt == NEVER && sources.size() > 1) {
            // The random delay keeps the subscribers of a stale source from leaving it all at once.
            leaveStaleSourceAt = now + timing.silenceTimeoutSeconds() * random.nextDouble();
        }
    }

    /**
     * When the acknowledgement of that many messages was sent, or the last one before it whose time is known; negative
     * infinity if there is none.
     */
    private double acknowledgementSentAt(long messageCount) {
        double sentAt = Double.NEGATIVE_INFINITY;
        while (!sentAcknowledgements.isEmpty() && sentAcknowledgements.peek().receivedMessages() <= messageCount) {
            sentAt = sentAcknowledgements.poll().sentAt();
        }
        if (sentAt > Double.NEGATIVE_INFINITY) {
            // The next heartbeat may refer to the same acknowledgement.
            sentAcknowledgements.addFirst(new SentAcknowledgement(messageCount, sentAt));
        }
        return sentAt;
    }

    private void handle(ControlMessage.Delta delta, List<SubscriberStep<S>> steps) {
        if (!delta.toVersion().isAfter(version)) {
            duplicates++;
            return;
        }
        List<Change> changes = changesToApply(delta);
        if (changes.isEmpty() || state == null) {
            disconnect(Reason.GAP, steps);
            return;
        }
        Version from = version;
        try {
            List<byte[]> deltas = changes.stream()
                    .map(Change::delta)
                    .filter(bytes -> bytes.length > 0)
                    .toList();
            state = codec.applyAll(state, deltas);
        } catch (DamagedStateException ex) {
            needsSnapshot = true; // otherwise the source would send the same change again
            refuseDamaged(delta.toVersion(), ex.getMessage(), steps);
            return;
        }
        setActiveVersion(delta.toVersion());
        steps.add(new SubscriberStep.Advanced<>(from, changes, state));
    }

    /** The changes of the delta that follow the active version; empty if the delta does not contain that version. */
    private List<Change> changesToApply(ControlMessage.Delta delta) {
        if (delta.fromVersion().equals(version)) {
            return delta.changes();
        }
        for (int i = 0; i < delta.changes().size() - 1; i++) {
            if (delta.changes().get(i).version().equals(version)) {
                return delta.changes().subList(i + 1, delta.changes().size());
            }
        }
        return List.of();
    }

    private void handle(ControlMessage.SnapshotPart part, List<SubscriberStep<S>> steps) {
        if (!part.version().isAfter(version)) {
            duplicates++;
            return;
        }
        if (part.partIndex() == 0 && (incomingSnapshot == null || !incomingSnapshot.version.equals(part.version()))) {
            incomingSnapshot = new IncomingSnapshot(part);
        }
        if (incomingSnapshot == null
                || !incomingSnapshot.version.equals(part.version())
                || part.partIndex() > incomingSnapshot.parts.size()) {
            disconnect(Reason.GAP, steps);
        } else if (part.partIndex() < incomingSnapshot.parts.size()) {
            duplicates++;
        } else {
            addPart(part, steps);
        }
    }

    private void addPart(ControlMessage.SnapshotPart part, List<SubscriberStep<S>> steps) {
        boolean consistent = part.partCount() == incomingSnapshot.partCount
                && part.checksum() == incomingSnapshot.checksum
                && part.partIndex() < part.partCount()
                && (part.bytes().length > 0 || part.partCount() == 1)
                && incomingSnapshot.receivedBytes + part.bytes().length <= maxStateBytes;
        if (!consistent) {
            refuseDamaged(
                    part.version(),
                    part + " is inconsistent with earlier parts or exceeds the state limit of " + maxStateBytes,
                    steps);
            return;
        }
        incomingSnapshot.parts.add(part.bytes());
        incomingSnapshot.receivedBytes += part.bytes().length;
        if (incomingSnapshot.parts.size() == incomingSnapshot.partCount) {
            byte[] encoded = incomingSnapshot.joinParts();
            incomingSnapshot = null;
            replaceState(part, encoded, steps);
        }
    }

    private void replaceState(ControlMessage.SnapshotPart lastPart, byte[] encoded, List<SubscriberStep<S>> steps) {
        if (ControlMessageCodec.checksum(encoded, 0, encoded.length) != lastPart.checksum()) {
            refuseDamaged(lastPart.version(), "CRC32C mismatch over a snapshot of " + encoded.length + " bytes", steps);
            return;
        }
        try {
            state = codec.decode(encoded);
        } catch (DamagedStateException ex) {
            refuseDamaged(lastPart.version(), ex.getMessage(), steps);
            return;
        }
        setActiveVersion(lastPart.version());
        steps.add(new SubscriberStep.Replaced<>(version, state));
    }

    private void setActiveVersion(Version newVersion) {
        version = newVersion;
        needsSnapshot = false;
        consecutiveFailures = 0;
    }

    private void refuseDamaged(Version refusedVersion, String reason, List<SubscriberStep<S>> steps) {
        refusedCount++;
        steps.add(new SubscriberStep.Refused<>(refusedVersion, reason));
        disconnect(Reason.DAMAGED, steps);
    }

    private void advanceClock(double time) {
        if (time < now) {
            throw new IllegalArgumentException("time went backwards from " + now + " to " + time);
        }
        now = time;
    }

    // ---- status ----

    /** The version of the active state, {@link Version#NONE} if there is none. */
    public Version version() {
        return version;
    }

    /** The active state, null if there is none. */
    public S state() {
        return state;
    }

    /** The newest term that this process knows. */
    public long highestTerm() {
        return highestTerm;
    }

    /** When the active state was last known to be current; negative infinity if that was never known. */
    public double lastKnownCurrentAt() {
        return lastKnownCurrentAt;
    }

    /**
     * For how many seconds the active state may have been out of date; infinite if it was never known to be current.
     */
    public double stalenessSeconds(double time) {
        return Math.max(0, time - lastKnownCurrentAt);
    }

    /** The source that this process is subscribed to, or null. */
    public String source() {
        return phase == Phase.SUBSCRIBED ? sources.get(sourceIndex) : null;
    }

    /** How many connections ended for that reason. {@link Reason#STOPPED} is not counted. */
    public long disconnects(Reason reason) {
        return disconnectCounts.getOrDefault(reason, 0L);
    }

    /** How many snapshots and deltas were refused as damaged. */
    public long refusedCount() {
        return refusedCount;
    }

    /** How many delta or snapshot messages contained nothing new. */
    public long duplicateCount() {
        return duplicates;
    }
}
