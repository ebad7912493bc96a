package juniperusher.ownership;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import juniperusher.store.Compare;
import juniperusher.store.Entry;
import juniperusher.store.Op;
import juniperusher.store.Reply;
import juniperusher.store.Request;

/**
 * State machine by which one process acquires and keeps the ownership of one resource. It performs no I/O: the caller
 * passes in events with their time and carries out the returned steps. Not thread-safe.
 *
 * <p>The holder counts its lease from the sending of the last renewal, less a margin, while the store counts from the
 * receipt, which is later. The lease therefore ends first at the holder, even if messages are lost, an answer is late
 * or the process is suspended. Then the holding is uncertain: no action may be begun, and only an answer or a watch of
 * the store restores or ends the holding. If the store ends a lease too early by a fault, the holder cannot detect it
 * by its clock; only the fencing token protects against that, see {@link Holding}.
 */
public final class Lease {
    /** Whether the process owns the resource. */
    public enum State {
        /** Ownership was never requested. */
        IDLE,
        /** Ownership is requested and another process may have it. */
        ACQUIRING,
        /** The process owns the resource until its lease ends. */
        HOLDING,
        /** The lease has ended by the clock of this process; the store has not yet confirmed or ended the holding. */
        UNCERTAIN,
        /** The holding has ended or was released. */
        LOST
    }

    private static final double NEVER = Double.POSITIVE_INFINITY;
    private static final int MAX_TRACKED_REQUESTS = 8; // requests whose late answers are still processed

    private final LeaseTiming timing;
    private final String key;
    private final String holderName; // unique to this process; a restarted process has another name
    private final SplittableRandom random;
    private State state = State.IDLE;
    private long leaseId; // 0 for none
    private Holding holding; // or null
    private double validUntil;
    private int awaitedRequest; // number of the request whose answer is awaited, 0 for none
    private int lastRequest;
    private double lastSentAt;
    private final Map<Integer, SentRequest> trackedRequests = new LinkedHashMap<>(); // by number, oldest first
    private double nextRequestAt = NEVER;
    private boolean released;
    private double now = Double.NEGATIVE_INFINITY;

    /** A request, the time of its sending and the lease at that time. */
    private record SentRequest(Request request, double sentAt, long leaseId) {}

    /**
     * Creates a lease in the state IDLE.
     *
     * @param key        key of the resource in the store
     * @param holderName name of the holder; no other process, and no restart of this one, may use the same
     * @param seed       seed of the jitter of backoffs
     */
    public Lease(LeaseTiming timing, String key, String holderName, long seed) {
        this.timing = timing;
        this.key = key;
        this.holderName = holderName;
        random = new SplittableRandom(seed);
    }

    /** Starts to acquire the resource, if need be again after it was lost. */
    public List<Step> acquire(double time) {
        if (state == State.IDLE || state == State.LOST) {
            state = State.ACQUIRING;
            released = false;
            leaseId = 0;
            holding = null;
            awaitedRequest = 0;
            trackedRequests.clear();
            nextRequestAt = time;
        }
        return tick(time);
    }

    /** Gives up the resource. A revocation of the lease is sent once; if it is lost, the lease ends by its ttl. */
    public List<Step> release(double time) {
        advanceClock(time);
        List<Step> steps = new ArrayList<>();
        if (state != State.IDLE && state != State.LOST) {
            endHolding(steps);
            released = true;
            if (leaseId != 0) {
                send(new Request.Revoke(leaseId), steps);
            }
        }
        return steps;
    }

    /** Whether the process may act as the owner at this time. Has to be checked right before each binding action. */
    public boolean isOwner(double time) {
        return state == State.HOLDING && time < validUntil;
    }

    /**
     * Processes the store's answer to the request of that number. A late answer renews the lease from the time at which
     * its own request was sent.
     */
    public List<Step> answerReceived(int number, Reply reply, double time) {
        advanceClock(time);
        List<Step> steps = new ArrayList<>();
        SentRequest request = trackedRequests.remove(number);
        awaitedRequest = number == awaitedRequest ? 0 : awaitedRequest;
        if (request == null || released || request.leaseId() != leaseId) {
            return steps; // of an earlier acquisition or an abandoned lease
        }
        if (reply instanceof Reply.NoLease) {
            endHolding(steps); // the lease has ended; another process may own the resource
            state = State.ACQUIRING;
            leaseId = 0;
            nextRequestAt = time + backoff();
        } else if (reply instanceof Reply.Leased leased) {
            leaseRenewed(leased, request.sentAt(), time, steps);
        } else if (reply instanceof Reply.Done done && holding == null) {
            claimAnswered(done, time, steps);
        }
        steps.addAll(tick(time));
        return steps;
    }

    private void leaseRenewed(Reply.Leased leased, double requestSentAt, double time, List<Step> steps) {
        leaseId = leased.lease();
        validUntil = Math.max(validUntil, requestSentAt + leased.ttl() - timing.safetyMarginSeconds());
        if (holding == null) {
            nextRequestAt = time; // claim the resource with the new lease
            return;
        }
        nextRequestAt = requestSentAt + timing.renewIntervalSeconds();
        if (state == State.UNCERTAIN && time < validUntil) {
            state = State.HOLDING; // the lease has not ended at the store, so the key still exists
            steps.add(new Step.Acquired(holding));
        }
    }

    private void claimAnswered(Reply.Done done, double time, List<Step> steps) {
        long token = done.revision();
        if (!done.succeeded()) {
            List<Entry> storedEntries = done.reads().get(0);
            Entry entry = storedEntries.isEmpty() ? null : storedEntries.get(0);
            if (entry == null || !entry.value().equals(holderName) || entry.lease() != leaseId) {
                nextRequestAt = time + backoff(); // held by another process or an earlier run, until its lease ends
                return;
            }
            token = entry.created(); // claimed by a request of ours whose answer was lost
        }
        holding = new Holding(key, token);
        nextRequestAt = lastSentAt + timing.renewIntervalSeconds();
        state = time < validUntil ? State.HOLDING : State.UNCERTAIN;
        steps.add(state == State.HOLDING ? new Step.Acquired(holding) : new Step.Uncertain(holding));
    }

    /**
     * Processes a change of the key that the watch on the store reports; it may arrive before or long after the answers
     * to requests. A report of a key older than the one of this holding has no effect.
     *
     * @param exists          whether the key exists, as opposed to deleted
     * @param createdRevision revision at which that key was created
     */
    public List<Step> keyChanged(boolean exists, long createdRevision, double time) {
        advanceClock(time);
        List<Step> steps = new ArrayList<>();
        if (holding != null && (exists ? createdRevision > holding.token() : createdRevision == holding.token())) {
            endHolding(steps);
            state = State.ACQUIRING;
            nextRequestAt = time;
        } else if (holding == null && state == State.ACQUIRING && !exists && awaitedRequest == 0) {
            nextRequestAt = Math.min(nextRequestAt, time); // the resource is free
        }
        steps.addAll(tick(time));
        return steps;
    }

    /**
     * Updates the state to the time; has to be called no later than {@link #nextTickAt}, and before each {@link
     * #isOwner}.
     */
    public List<Step> tick(double time) {
        advanceClock(time);
        List<Step> steps = new ArrayList<>();
        if (state == State.HOLDING && now >= validUntil) {
            state = State.UNCERTAIN;
            steps.add(new Step.Uncertain(holding));
        }
        if (awaitedRequest != 0 && now >= lastSentAt + timing.requestTimeoutSeconds()) {
            awaitedRequest = 0; // lost or late; the next request finds out whether it took effect
            nextRequestAt = released ? NEVER : now;
        }
        if (awaitedRequest == 0 && !released && now >= nextRequestAt && state != State.IDLE && state != State.LOST) {
            send(nextRequest(), steps);
        }
        return steps;
    }

    private Request nextRequest() {
        if (leaseId == 0) {
            validUntil = Double.NEGATIVE_INFINITY;
            return new Request.Grant(timing.ttlSeconds());
        }
        // A lease that is about to end is renewed before the claim, since the key would be deleted with it.
        if (holding != null || now >= validUntil - timing.renewIntervalSeconds()) {
            return new Request.KeepAlive(leaseId);
        }
        return new Request.Txn(
                List.of(Compare.created(key, 0)),
                List.of(new Op.Put(key, holderName, leaseId)),
                List.of(new Op.Read(key, false)));
    }

    private void send(Request request, List<Step> steps) {
        awaitedRequest = ++lastRequest;
        lastSentAt = now;
        trackedRequests.put(awaitedRequest, new SentRequest(request, now, leaseId));
        if (trackedRequests.size() > MAX_TRACKED_REQUESTS) {
            trackedRequests.remove(trackedRequests.keySet().iterator().next());
        }
        nextRequestAt = NEVER;
        steps.add(new Step.SendRequest(awaitedRequest, request));
    }

    private void endHolding(List<Step> steps) {
        if (holding != null) {
            steps.add(new Step.Lost(holding));
        }
        holding = null;
        state = State.LOST;
        validUntil = Double.NEGATIVE_INFINITY;
        nextRequestAt = NEVER;
    }

    private double backoff() {
        return timing.retryBackoffSeconds() / 2 + random.nextDouble() * timing.retryBackoffSeconds() / 2;
    }

    private void advanceClock(double time) {
        if (time < now) {
            throw new IllegalArgumentException("time must not go back from " + now + " s to " + time);
        }
        now = time;
    }

    /** Time of the next {@link #tick}, in seconds of the process's clock. */
    public double nextTickAt() {
        double due =
                awaitedRequest != 0 ? lastSentAt + timing.requestTimeoutSeconds() : released ? NEVER : nextRequestAt;
        return state == State.HOLDING ? Math.min(due, validUntil) : due;
    }

    /** State as of the last event. */
    public State state() {
        return state;
    }

    /** The current holding, which may be uncertain; null for none. */
    public Holding holding() {
        return holding;
    }
}
