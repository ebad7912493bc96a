package juniperusher.distribution;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import juniperusher.distribution.SubscriberStep.Reason;

/**
 * The side of who follows a published state: a relay, or a control process that does not lead. It connects to one of
 * several sources, goes on from the version that it has, and takes a state over only when it has come whole and
 * checked; until then, and whatever is damaged or lost, the one before stays in force. Versions only grow.
 *
 * <p>It knows for how long its state may have been out of date: a heartbeat tells how old the source's own knowledge
 * is, which acknowledgement the source had heard last and how long before, and the time counts from when that
 * acknowledgement was sent. So however long a message was on its way, the staleness is never told too small.
 *
 * <p>How an adapter drives it: on one thread; {@link #start} with the sources in order of preference, then the steps
 * in their order. After {@link SubscriberStep.Connect} it tells {@link #connected} or {@link #disconnected} with the
 * connection's number, and each decoded message by {@link #received}; bytes that are no frame end the connection like
 * the network does. Late events of an earlier connection do no harm. It calls {@link #tick} at {@link #due}, which
 * each call may have moved.
 *
 * @param <S> the state
 */
public final class Subscriber<S> {
    private static final double NEVER = Double.POSITIVE_INFINITY;
    private static final int MOST_REMEMBERED = 256; // acknowledgements whose times are kept

    private final String name;
    private final Timing timing;
    private final int mostStateBytes;
    private final StateCodec<S> codec;
    private final SplittableRandom random;
    private final Map<Reason, Long> breaks = new EnumMap<>(Reason.class);
    private final ArrayDeque<Acknowledged> acknowledged = new ArrayDeque<>();
    private boolean republishes;
    private List<String> sources = List.of();
    private Phase phase = Phase.IDLE;
    private Version version = Version.NONE;
    private S state; // null for none yet
    private long term; // the newest that was seen
    private double currentAt = Double.NEGATIVE_INFINITY;
    private boolean wholeWanted; // the last change was damaged
    private int source; // index into the sources
    private long connection; // the number of the last one
    private long received; // messages on it
    private double heardAt;
    private double moveAt = NEVER; // when to look for a source that is not stale
    private double returnAt = NEVER; // when to try the first source again
    private double nextAt = NEVER; // when to connect, or when the attempt is given up
    private int failures; // since something was last right
    private Assembly assembly; // the whole state that is coming in, or null
    private long refused;
    private long doubled;
    private double now = Double.NEGATIVE_INFINITY;

    private enum Phase {
        IDLE,
        PAUSING,
        CONNECTING,
        SUBSCRIBED
    }

    /** When the acknowledgement of so many messages was sent. */
    private record Acknowledged(long received, double at) {}

    /** A whole state that is coming in. */
    private static final class Assembly {
        final Version version;
        final int parts;
        final int checksum;
        final List<byte[]> pieces = new ArrayList<>();
        long bytes;

        Assembly(ControlMessage.SnapshotPart first) {
            version = first.version();
            parts = first.parts();
            checksum = first.checksum();
        }

        byte[] whole() {
            byte[] whole = new byte[(int) bytes];
            int at = 0;
            for (byte[] piece : pieces) {
                System.arraycopy(piece, 0, whole, at, piece.length);
                at += piece.length;
            }
            return whole;
        }
    }

    /** A subscriber without a state that follows nobody yet. */
    public Subscriber(String name, Timing timing, int mostStateBytes, StateCodec<S> codec, long seed) {
        this.name = name;
        this.timing = timing;
        this.mostStateBytes = mostStateBytes;
        this.codec = codec;
        random = new SplittableRandom(seed);
    }

    /** The process passes on what it gets: it pauses less, as others wait for it. */
    void republishes() {
        republishes = true;
    }

    // ---- what the process wants ----

    /**
     * A state that the process has from elsewhere, its own folder perhaps; ignored if it is not newer.
     *
     * @param knownCurrentAt when it was known to be current, by the same clock; negative infinity if that is not known
     */
    public void resume(Version has, S held, double knownCurrentAt) {
        if (state == null || has.isAfter(version)) {
            version = has;
            state = held;
            term = Math.max(term, has.term());
            currentAt = Math.max(currentAt, knownCurrentAt);
        }
    }

    /**
     * Follows one of these sources from now on, the first ones first. A connection to one of them stays; the first
     * attempt comes after a short random pause, so that many that start together do not connect together.
     */
    public List<SubscriberStep<S>> start(List<String> preferred, double time) {
        pass(time);
        List<SubscriberStep<S>> steps = new ArrayList<>();
        String connected = phase == Phase.SUBSCRIBED || phase == Phase.CONNECTING ? sources.get(source) : null;
        sources = List.copyOf(preferred);
        int kept = connected == null ? -1 : sources.indexOf(connected);
        source = Math.max(0, kept);
        if (kept >= 0) {
            planReturn();
            return steps;
        }
        if (connected != null) {
            steps.add(new SubscriberStep.Disconnect<>(connection, Reason.STOPPED));
        }
        forgetConnection();
        failures = 0;
        phase = sources.isEmpty() ? Phase.IDLE : Phase.PAUSING;
        nextAt = sources.isEmpty() ? NEVER : time + random.nextDouble() * timing.firstPause();
        return steps;
    }

    /** Follows nobody any more; the state stays. */
    public List<SubscriberStep<S>> stop(double time) {
        return start(List.of(), time);
    }

    /** A newer term was seen elsewhere: a source that does not know of it is left when it next says so. */
    public void newerTerm(long seen) {
        term = Math.max(term, seen);
    }

    // ---- connections ----

    /** The connection is open. */
    public List<SubscriberStep<S>> connected(long number, double time) {
        pass(time);
        List<SubscriberStep<S>> steps = new ArrayList<>();
        if (number != connection || phase != Phase.CONNECTING) {
            return steps;
        }
        phase = Phase.SUBSCRIBED;
        heardAt = time;
        planReturn();
        received = 0;
        acknowledged.clear();
        acknowledged.add(new Acknowledged(0, time));
        Version has = wholeWanted ? Version.NONE : version;
        steps.add(new SubscriberStep.Send<>(connection, new ControlMessage.Subscribe(name, republishes, term, has)));
        return steps;
    }

    /** The connection could not be opened, or has ended. */
    public List<SubscriberStep<S>> disconnected(long number, double time) {
        pass(time);
        List<SubscriberStep<S>> steps = new ArrayList<>();
        if (number == connection && (phase == Phase.CONNECTING || phase == Phase.SUBSCRIBED)) {
            Reason reason = phase == Phase.CONNECTING ? Reason.NOT_CONNECTED : Reason.CLOSED;
            leave(reason, pause());
        }
        return steps;
    }

    /** Time has passed; to be called at {@link #due} at the latest. */
    public List<SubscriberStep<S>> tick(double time) {
        pass(time);
        List<SubscriberStep<S>> steps = new ArrayList<>();
        if (phase == Phase.CONNECTING && now >= nextAt) {
            breakOff(Reason.NOT_CONNECTED, steps);
        } else if (phase == Phase.SUBSCRIBED && now >= heardAt + timing.silence()) {
            breakOff(Reason.SILENCE, steps);
        } else if (phase == Phase.SUBSCRIBED && now >= moveAt) {
            breakOff(Reason.STALE_SOURCE, steps);
        } else if (phase == Phase.SUBSCRIBED && now >= returnAt) {
            breakOff(Reason.PREFERENCE, 0, steps);
            source = 0;
        }
        if (phase == Phase.PAUSING && now >= nextAt) {
            phase = Phase.CONNECTING;
            connection++;
            nextAt = now + timing.connectPatience();
            steps.add(new SubscriberStep.Connect<>(connection, sources.get(source)));
        }
        return steps;
    }

    /** When {@link #tick} has something to do next. */
    public double due() {
        return phase == Phase.SUBSCRIBED ? Math.min(heardAt + timing.silence(), Math.min(moveAt, returnAt)) : nextAt;
    }

    private void breakOff(Reason reason, List<SubscriberStep<S>> steps) {
        breakOff(reason, pause(), steps);
    }

    private void breakOff(Reason reason, double pause, List<SubscriberStep<S>> steps) {
        steps.add(new SubscriberStep.Disconnect<>(connection, reason));
        leave(reason, pause);
    }

    private void leave(Reason reason, double pause) {
        breaks.merge(reason, 1L, Long::sum);
        forgetConnection();
        failures++;
        source = (source + 1) % sources.size();
        phase = Phase.PAUSING;
        nextAt = now + pause;
    }

    private void planReturn() {
        returnAt = source == 0 ? NEVER : now + timing.returnAfter() * (1 + random.nextDouble());
    }

    private void forgetConnection() {
        assembly = null;
        moveAt = NEVER;
        returnAt = NEVER;
        acknowledged.clear();
    }

    /** Doubled with each failure up to the longest one, less a random half. */
    private double pause() {
        double most = republishes ? timing.longestControlPause() : timing.longestPause();
        double longest = Math.min(most, timing.firstPause() * Math.pow(2, failures));
        return longest * (1 + random.nextDouble()) / 2;
    }

    // ---- messages ----

    /** A message has come on that connection. */
    public List<SubscriberStep<S>> received(long number, ControlMessage message, double time) {
        pass(time);
        List<SubscriberStep<S>> steps = new ArrayList<>();
        if (number != connection || phase != Phase.SUBSCRIBED) {
            return steps;
        }
        heardAt = time;
        received++;
        if (message.term() < term) {
            breakOff(Reason.OUTDATED_TERM, steps);
            return steps;
        }
        term = message.term();
        if (message instanceof ControlMessage.SnapshotPart part) {
            take(part, steps);
        } else if (message instanceof ControlMessage.Delta delta) {
            take(delta, steps);
        } else if (message instanceof ControlMessage.Heartbeat heartbeat) {
            take(heartbeat, steps);
        } else if (message instanceof ControlMessage.Busy busy) {
            double jitter = random.nextDouble() * timing.firstPause();
            // The told wait is kept in full.
            breakOff(Reason.BUSY, Math.max(busy.retryAfter() + jitter, pause()), steps);
        } else {
            breakOff(Reason.PROTOCOL, steps);
        }
        if (phase == Phase.SUBSCRIBED) {
            acknowledge(steps);
        }
        return steps;
    }

    private void acknowledge(List<SubscriberStep<S>> steps) {
        if (acknowledged.size() < MOST_REMEMBERED) {
            acknowledged.add(new Acknowledged(received, now));
        }
        steps.add(new SubscriberStep.Send<>(connection, new ControlMessage.Acknowledge(term, version, received)));
    }

    private void take(ControlMessage.Heartbeat heartbeat, List<SubscriberStep<S>> steps) {
        if (assembly == null && heartbeat.sent().isAfter(version)) {
            breakOff(Reason.GAP, steps);
            return;
        }
        double heard = sentAt(heartbeat.acknowledged());
        if (!heartbeat.newest().isAfter(version)) {
            currentAt = Math.max(currentAt, heard + heartbeat.since() - heartbeat.age());
        }
        if (heartbeat.age() <= timing.tooStale()) {
            moveAt = NEVER;
            failures = heartbeat.newest().isAfter(version) ? failures : 0;
        } else if (moveAt == NEVER && sources.size() > 1) {
            moveAt = now + timing.silence() * random.nextDouble(); // not all of them together
        }
    }

    /** When that acknowledgement was sent, or the newest one before it whose time is known. */
    private double sentAt(long number) {
        double at = Double.NEGATIVE_INFINITY;
        while (!acknowledged.isEmpty() && acknowledged.peek().received() <= number) {
            at = acknowledged.poll().at();
        }
        if (at > Double.NEGATIVE_INFINITY) {
            acknowledged.addFirst(new Acknowledged(number, at)); // the next heartbeat may name it again
        }
        return at;
    }

    private void take(ControlMessage.Delta delta, List<SubscriberStep<S>> steps) {
        if (!delta.to().isAfter(version)) {
            doubled++;
            return;
        }
        List<Change> changes = following(delta);
        if (changes.isEmpty() || state == null) {
            breakOff(Reason.GAP, steps);
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
            wholeWanted = true; // the same change would come again
            refuse(delta.to(), ex.getMessage(), steps);
            return;
        }
        takenOver(delta.to());
        steps.add(new SubscriberStep.Advanced<>(from, changes, state));
    }

    /** The delta's changes that follow the version in force; none if they do not. */
    private List<Change> following(ControlMessage.Delta delta) {
        if (delta.from().equals(version)) {
            return delta.changes();
        }
        for (int i = 0; i < delta.changes().size() - 1; i++) {
            if (delta.changes().get(i).version().equals(version)) {
                return delta.changes().subList(i + 1, delta.changes().size());
            }
        }
        return List.of();
    }

    private void take(ControlMessage.SnapshotPart part, List<SubscriberStep<S>> steps) {
        if (!part.version().isAfter(version)) {
            doubled++;
            return;
        }
        if (part.part() == 0 && (assembly == null || !assembly.version.equals(part.version()))) {
            assembly = new Assembly(part);
        }
        if (assembly == null || !assembly.version.equals(part.version()) || part.part() > assembly.pieces.size()) {
            breakOff(Reason.GAP, steps);
        } else if (part.part() < assembly.pieces.size()) {
            doubled++;
        } else {
            add(part, steps);
        }
    }

    private void add(ControlMessage.SnapshotPart part, List<SubscriberStep<S>> steps) {
        boolean fits = part.parts() == assembly.parts
                && part.checksum() == assembly.checksum
                && part.part() < part.parts()
                && (part.bytes().length > 0 || part.parts() == 1)
                && assembly.bytes + part.bytes().length <= mostStateBytes;
        if (!fits) {
            refuse(part.version(), part + " does not fit the parts before or is beyond " + mostStateBytes, steps);
            return;
        }
        assembly.pieces.add(part.bytes());
        assembly.bytes += part.bytes().length;
        if (assembly.pieces.size() == assembly.parts) {
            byte[] whole = assembly.whole();
            assembly = null;
            replace(part, whole, steps);
        }
    }

    private void replace(ControlMessage.SnapshotPart part, byte[] whole, List<SubscriberStep<S>> steps) {
        if (ControlMessageCodec.checksum(whole, 0, whole.length) != part.checksum()) {
            refuse(part.version(), "the CRC32C of its " + whole.length + " bytes is not the one told", steps);
            return;
        }
        try {
            state = codec.decode(whole);
        } catch (DamagedStateException ex) {
            refuse(part.version(), ex.getMessage(), steps);
            return;
        }
        takenOver(part.version());
        steps.add(new SubscriberStep.Replaced<>(version, state));
    }

    private void takenOver(Version next) {
        version = next;
        wholeWanted = false;
        failures = 0;
    }

    private void refuse(Version damaged, String why, List<SubscriberStep<S>> steps) {
        refused++;
        steps.add(new SubscriberStep.Refused<>(damaged, why));
        breakOff(Reason.DAMAGED, steps);
    }

    private void pass(double time) {
        if (time < now) {
            throw new IllegalArgumentException("a monotonic clock must not go back from " + now + " to " + time);
        }
        now = time;
    }

    // ---- what is asked ----

    /** The version in force, {@link Version#NONE} for none. */
    public Version version() {
        return version;
    }

    /** The state in force, or null. */
    public S state() {
        return state;
    }

    /** The newest term that was seen. */
    public long term() {
        return term;
    }

    /** When the state in force was last known to be current; negative infinity if it never was. */
    public double currentAt() {
        return currentAt;
    }

    /** Seconds for which the state in force may have been out of date; infinite if it was never known current. */
    public double staleness(double time) {
        return Math.max(0, time - currentAt);
    }

    /** The source that it is subscribed to, or null. */
    public String source() {
        return phase == Phase.SUBSCRIBED ? sources.get(source) : null;
    }

    /** How many connections were left for that reason. */
    public long breaks(Reason reason) {
        return breaks.getOrDefault(reason, 0L);
    }

    /** States and changes that were refused as damaged. */
    public long refused() {
        return refused;
    }

    /** Messages that brought nothing new. */
    public long doubled() {
        return doubled;
    }
}
