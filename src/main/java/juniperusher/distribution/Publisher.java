package juniperusher.distribution;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

/**
 * A control process's side towards its subscribers, which are other control processes or relays. It has the newest
 * state and the log of recent changes and brings each subscriber there: by the changes that follow its version
 * where the log has them, else by the whole state. It publishes changes of its own while it leads, and passes on
 * what its own {@link Subscriber} has taken over while another one does ({@link ControlProcess} joins the two).
 *
 * <p>For a subscriber it keeps its version and what is on its way to it, never a queue: while the window of a slow
 * reader is full nothing is prepared for it, and afterwards it gets all that it missed in one go. One encoded state
 * serves all that need one. So memory is bounded by the log, one encoded state and the sum of the windows.
 *
 * <p>How an adapter drives it: on one thread; it numbers the connections that it accepts, tells each decoded message
 * by {@link #received} and the end of a connection that it did not close itself by {@link #closed}; it carries the
 * returned steps out in their order before the next call; it calls {@link #tick} at {@link #due}, which each call
 * may have moved. A message that was sent counts as on its way until it is acknowledged, so the adapter may hand it
 * to the socket's queue without a bound of its own. Before {@link #publish} it asks its lease whether it holds, and
 * before {@link #tick} it ticks the lease, so that a leader that stood still does not call itself current.
 *
 * @param <S> the state
 */
public final class Publisher<S> {
    private static final double NEVER = Double.POSITIVE_INFINITY;
    private static final int SHARED_DELTAS = 16;
    private static final double SMOOTHING = 0.2; // of the time that a whole state takes
    private static final double FIRST_ESTIMATE = 0.25; // s

    private final Timing timing;
    private final Limits limits;
    private final StateCodec<S> codec;
    private final SplittableRandom random;
    private final DeltaLog log;
    private final Map<Long, Subscription> subscriptions = new LinkedHashMap<>();
    private final Map<String, Long> connections = new LinkedHashMap<>(); // by the subscriber's name
    private final Map<Version, ControlMessage.Delta> shared = new LinkedHashMap<>(); // by the version before it
    private final Counters counters = new Counters();
    private S state; // null for none yet
    private EncodedState image; // the newest encoded state, or null
    private long term; // the newest that was seen
    private long leads; // the term under which this process leads, 0 for none
    private long led; // the last such term
    private double currentAt = Double.NEGATIVE_INFINITY; // while another one leads: when the state was known current
    private double flushAt = NEVER;
    private double flushedAt = Double.NEGATIVE_INFINITY;
    private double heartbeatAt = NEVER;
    private double freeFrom = Double.NEGATIVE_INFINITY; // when a place for a whole state is not promised yet
    private double snapshotEstimate = FIRST_ESTIMATE;
    private double now = Double.NEGATIVE_INFINITY;

    /** What has happened so far, for metrics. */
    public static final class Counters {
        private long snapshots;
        private long deltas;
        private long busy;
        private long slow;
        private long encoded;

        /** Whole states that were begun. */
        public long snapshots() {
            return snapshots;
        }

        /** Messages with changes. */
        public long deltas() {
            return deltas;
        }

        /** Subscribers that were told to come again later. */
        public long busy() {
            return busy;
        }

        /** Connections that were closed as nothing was acknowledged for too long. */
        public long slow() {
            return slow;
        }

        /** Times that the state was encoded. */
        public long encoded() {
            return encoded;
        }
    }

    /**
     * What the publisher holds in memory now.
     *
     * @param inFlightBytes the sum of what is on its way to all subscribers
     * @param mostInFlightBytes the most that is on its way to one
     * @param imageBytes of the encoded state, 0 for none
     */
    public record Memory(
            int subscribers,
            long inFlightBytes,
            long mostInFlightBytes,
            int logChanges,
            int logBytes,
            int imageBytes,
            int snapshotsUnderWay) {}

    /** A publisher without a state: who subscribes waits for it, and is told that it is not current. */
    public Publisher(Timing timing, Limits limits, StateCodec<S> codec, long seed) {
        this.timing = timing;
        this.limits = limits;
        this.codec = codec;
        random = new SplittableRandom(seed);
        log = new DeltaLog(limits.logChanges(), limits.logBytes());
    }

    // ---- the state ----

    /**
     * This process leads from now on, under its lease's fencing token; also again under the same one after
     * {@link #resign}. A new term is opened by a change that leaves the state as it is, so that who follows an
     * older leader is found out by the version. If a newer term is known the only step is {@link
     * PublisherStep.Deposed}.
     *
     * @throws IllegalStateException if there is no state yet
     */
    public List<PublisherStep> lead(long token, double time) {
        pass(time);
        if (state == null) {
            throw new IllegalStateException("there is no state to lead with");
        }
        if (token < term || token == newest().term() && token != led) {
            return List.of(new PublisherStep.Deposed(Math.max(term, newest().term())));
        }
        List<PublisherStep> steps = new ArrayList<>();
        term = token;
        leads = token;
        led = token;
        if (newest().term() < token) {
            append(new Change(new Version(token, newest().revision() + 1), new byte[0]));
            flush(steps);
        }
        return steps;
    }

    /** This process leads no more, or is not sure of it: what it has ages from now on. */
    public void resign(double time) {
        pass(time);
        if (leads != 0) {
            leads = 0;
            currentAt = time;
        }
    }

    /**
     * Publishes changes of the leader's state, all or, if one is damaged, none.
     *
     * @throws IllegalStateException if this process does not lead
     * @throws IllegalArgumentException if a change has no bytes or too many
     */
    public List<PublisherStep> publish(List<byte[]> deltas, double time) throws DamagedStateException {
        pass(time);
        if (leads == 0) {
            throw new IllegalStateException("this process does not lead");
        }
        for (byte[] delta : deltas) {
            if (delta.length == 0 || delta.length > limits.changeBytes()) {
                throw new IllegalArgumentException(
                        "a change of " + delta.length + " bytes, not 1 to " + limits.changeBytes());
            }
        }
        state = codec.applyAll(state, deltas);
        for (byte[] delta : deltas) {
            append(new Change(new Version(leads, newest().revision() + 1), delta));
        }
        return flushSoon();
    }

    /** The state is that one now: at the start, or as the process's own subscriber has taken it over whole. */
    public List<PublisherStep> replaced(Version version, S next, double time) {
        pass(time);
        mustFollow();
        if (state != null && !version.isAfter(newest())) {
            return List.of();
        }
        state = next;
        log.reset(version);
        changed(version);
        return flushSoon();
    }

    /** The process's own subscriber has taken over changes, which have led to that state. */
    public List<PublisherStep> advanced(Version from, List<Change> changes, S next, double time) {
        pass(time);
        mustFollow();
        Version to = changes.get(changes.size() - 1).version();
        if (!from.equals(newest())) {
            return replaced(to, next, time);
        }
        state = next;
        changes.forEach(this::append);
        return flushSoon();
    }

    private void mustFollow() {
        if (leads != 0) {
            throw new IllegalStateException("this process leads under " + leads);
        }
    }

    /** When what this process follows was last known to be current. */
    public void currentAt(double time) {
        currentAt = Math.max(currentAt, time);
    }

    /** A newer term was seen: if this process leads under an older one it does so no more. */
    public List<PublisherStep> newerTerm(long seen, double time) {
        pass(time);
        List<PublisherStep> steps = new ArrayList<>();
        heard(seen, steps);
        return steps;
    }

    private void append(Change change) {
        log.append(change);
        changed(change.version());
    }

    private void changed(Version version) {
        term = Math.max(term, version.term());
        shared.clear();
        if (image != null && !log.covers(image.version())) {
            image = null; // who is in the middle of it would not be served from there
        }
    }

    private void heard(long seen, List<PublisherStep> steps) {
        if (seen <= term) {
            return;
        }
        term = seen;
        shared.clear();
        if (leads != 0) {
            resign(now);
            steps.add(new PublisherStep.Deposed(seen));
        }
        steps.add(new PublisherStep.NewerTerm(seen));
    }

    // ---- connections ----

    /** A message has come on that connection. */
    public List<PublisherStep> received(long connection, ControlMessage message, double time) {
        pass(time);
        List<PublisherStep> steps = new ArrayList<>();
        heard(message.term(), steps);
        Subscription subscription = subscriptions.get(connection);
        if (message instanceof ControlMessage.Subscribe subscribe && subscription == null) {
            subscribe(connection, subscribe, steps);
        } else if (message instanceof ControlMessage.Acknowledge acknowledge) {
            if (subscription != null) { // else it has crossed the connection's end
                acknowledged(subscription, acknowledge, steps);
            }
        } else {
            close(connection, steps);
        }
        return steps;
    }

    /** The connection has ended, by the other side or the network. */
    public void closed(long connection, double time) {
        pass(time);
        forget(connection);
    }

    private void subscribe(long connection, ControlMessage.Subscribe subscribe, List<PublisherStep> steps) {
        Long older = connections.get(subscribe.subscriber());
        if (older != null) {
            close(older, steps); // half open: its subscriber has given it up
        }
        if (!subscribe.republishes() && subscriptions.size() >= limits.subscribers()) {
            refuse(connection, timing.heartbeat() * (1 + random.nextDouble()), steps); // another one may have room
            return;
        }
        Subscription subscription = new Subscription(connection, subscribe, now);
        subscriptions.put(connection, subscription);
        connections.put(subscription.name(), connection);
        if (heartbeatAt == NEVER) {
            heartbeatAt = now + timing.heartbeat();
        }
        if (!newest().isAfter(subscription.sent())) {
            subscription.confirm();
        }
        heartbeat(subscription, steps);
        serve(subscription, steps);
    }

    private void acknowledged(
            Subscription subscription, ControlMessage.Acknowledge acknowledge, List<PublisherStep> steps) {
        subscription.acknowledged(acknowledge.received(), now);
        serve(subscription, steps);
        boolean current = subscription.hasAcknowledgedAll() && !newest().isAfter(subscription.sent());
        if (current && !subscription.isConfirmed()) {
            subscription.confirm(); // so that it knows at once, and not at the next heartbeat
            heartbeat(subscription, steps);
        }
    }

    private void refuse(long connection, double retryAfter, List<PublisherStep> steps) {
        counters.busy++;
        steps.add(new PublisherStep.Send(connection, new ControlMessage.Busy(term, retryAfter)));
        close(connection, steps);
    }

    private void close(long connection, List<PublisherStep> steps) {
        forget(connection);
        steps.add(new PublisherStep.Close(connection));
    }

    private void forget(long connection) {
        Subscription subscription = subscriptions.remove(connection);
        if (subscription != null) {
            connections.remove(subscription.name(), connection);
        }
    }

    // ---- sending ----

    /** Time has passed; to be called at {@link #due} at the latest. */
    public List<PublisherStep> tick(double time) {
        pass(time);
        List<PublisherStep> steps = new ArrayList<>();
        if (now >= flushAt) {
            flush(steps);
        }
        if (now >= heartbeatAt) {
            heartbeatAt = subscriptions.isEmpty() ? NEVER : now + timing.heartbeat();
            for (Subscription subscription : List.copyOf(subscriptions.values())) {
                if (subscription.isStuck(timing.acknowledgePatience(), now)) {
                    counters.slow++;
                    close(subscription.connection(), steps);
                } else if (subscription.hasRoomForHeartbeat(limits)) {
                    heartbeat(subscription, steps);
                }
            }
        }
        return steps;
    }

    /** When {@link #tick} has something to do next. */
    public double due() {
        return Math.min(flushAt, heartbeatAt);
    }

    private List<PublisherStep> flushSoon() {
        List<PublisherStep> steps = new ArrayList<>();
        if (now >= flushedAt + timing.batch()) {
            flush(steps);
        } else {
            flushAt = flushedAt + timing.batch();
        }
        return steps;
    }

    private void flush(List<PublisherStep> steps) {
        flushAt = NEVER;
        flushedAt = now;
        for (Subscription subscription : List.copyOf(subscriptions.values())) {
            serve(subscription, steps);
        }
    }

    private void heartbeat(Subscription to, List<PublisherStep> steps) {
        double since = now - to.heardAt();
        send(to, new ControlMessage.Heartbeat(term, newest(), to.sent(), age(now), to.acknowledged(), since), steps);
    }

    /** Sends what the subscriber lacks while its window has room. */
    private void serve(Subscription to, List<PublisherStep> steps) {
        while (to.hasRoom(limits)) {
            if (to.snapshot() != null) {
                sendPart(to, steps);
            } else if (!newest().isAfter(to.sent())) {
                return; // it has all, or more than this process
            } else if (log.covers(to.sent())) {
                ControlMessage.Delta delta = delta(to.sent());
                counters.deltas++;
                to.bringTo(delta.to());
                send(to, delta, steps);
            } else if (!beginSnapshot(to)) {
                refuse(to.connection(), promisedPlace(), steps);
                return;
            }
        }
    }

    private ControlMessage.Delta delta(Version from) {
        ControlMessage.Delta delta = shared.get(from);
        if (delta == null) {
            delta = new ControlMessage.Delta(term, from, log.since(from, limits.deltaBytes()));
            if (shared.size() >= SHARED_DELTAS) {
                shared.remove(shared.keySet().iterator().next());
            }
            shared.put(from, delta);
        }
        return delta;
    }

    private boolean beginSnapshot(Subscription to) {
        if (!to.republishes() && snapshotsUnderWay() >= limits.snapshotsAtOnce()) {
            return false;
        }
        if (image == null || !image.version().isAfter(to.sent())) {
            image = EncodedState.of(term, newest(), codec.encode(state), limits.partBytes());
            counters.encoded++;
        }
        counters.snapshots++;
        to.beginSnapshot(image, now);
        return true;
    }

    private void sendPart(Subscription to, List<PublisherStep> steps) {
        if (to.snapshot() != image) {
            to.abandonSnapshot(); // replaced by a newer one, and with it the changes that follow it
            return;
        }
        send(to, image.part(to.takePart(), term), steps);
        if (to.snapshot() == null) {
            snapshotEstimate += SMOOTHING * (now - to.snapshotAt() - snapshotEstimate);
        }
    }

    private void send(Subscription to, ControlMessage message, List<PublisherStep> steps) {
        to.sending(ControlMessageCodec.size(message), now);
        steps.add(new PublisherStep.Send(to.connection(), message));
    }

    private int snapshotsUnderWay() {
        int count = 0;
        for (Subscription subscription : subscriptions.values()) {
            count += subscription.takesPlace(limits.snapshotSeconds(), now) ? 1 : 0;
        }
        return count;
    }

    /** When a place for a whole state may be free: each who is told so gets a later one. */
    private double promisedPlace() {
        freeFrom = Math.max(freeFrom, now) + snapshotEstimate / limits.snapshotsAtOnce();
        double wait = Math.min(limits.retryAfter(), freeFrom - now + timing.batch());
        return wait * (1 + random.nextDouble() / 2);
    }

    private void pass(double time) {
        if (time < now) {
            throw new IllegalArgumentException("a monotonic clock must not go back from " + now + " to " + time);
        }
        now = time;
    }

    // ---- what is asked ----

    /** Seconds for which the state may be out of date; 0 while this process leads. */
    public double age(double time) {
        return leads != 0 ? 0 : Math.max(0, time - currentAt);
    }

    /** Whether this process leads. */
    public boolean leads() {
        return leads != 0;
    }

    /** The newest term that was seen. */
    public long term() {
        return term;
    }

    /** The newest version, {@link Version#NONE} for none. */
    public Version newest() {
        return log.newest();
    }

    /** The newest state, or null. */
    public S state() {
        return state;
    }

    /** What has happened so far. */
    public Counters counters() {
        return counters;
    }

    /** What is held now. */
    public Memory memory() {
        long sum = 0;
        long most = 0;
        for (Subscription subscription : subscriptions.values()) {
            sum += subscription.inFlightBytes();
            most = Math.max(most, subscription.inFlightBytes());
        }
        return new Memory(
                subscriptions.size(),
                sum,
                most,
                log.count(),
                log.bytes(),
                image == null ? 0 : image.bytes(),
                snapshotsUnderWay());
    }
}
