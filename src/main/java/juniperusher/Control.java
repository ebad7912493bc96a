package juniperusher;

import java.util.*;
import juniperusher.Protocol.*;

/**
 * Decides when and where each accepted message is sent, and when it is answered undelivered. {@link Protocol} defines
 * the settings, events and actions.
 *
 * <p>A failed delivery is retried after an exponential backoff with jitter. The retry-after delay of a refusal applies
 * to the whole destination, or to the route where routes are separate, and no call is made before it ends. A message
 * whose next attempt would come too late for its deadline is answered at once.
 *
 * <p>Not safe for use by several threads: each instance belongs to one thread.
 */
public final class Control {
    private static final double FIRST_BACKOFF_SECONDS = 0.5; // short, so that a second attempt can be in time
    private static final double MAX_BACKOFF_SECONDS = 30.0; // a longer backoff has no benefit
    private static final double RETRY_AFTER_JITTER = 0.5; // up to this share is added to the delay, to spread retries
    private static final double RETRY_AFTER_MARGIN_SECONDS = 0.002; // keeps rounded clocks from ending a delay early
    private static final double TIMEOUT_DEVIATIONS = 10.0; // mean deviations above the mean response time
    private static final double UNSAFE_TIMEOUT_FACTOR = 3.0; // while slots are free: an unsafe timeout is final
    private static final double TRIAL_TIMEOUT_FACTOR = 3.0; // times unresponsiveSeconds(); frees the slot of a trial
    private static final double DEFAULT_RESPONSE_SECONDS = 0.2; // for a target that has not responded yet
    private static final double MIN_UNRESPONSIVE_SECONDS = 1.0; // shorter stalls are ignored
    private static final double UNRESPONSIVE_DEVIATIONS = 6.0; // above the mean response time, a call is overdue
    private static final double TRIP_FAILURE_SHARE = 0.5; // the breaker opens when most calls fail
    private static final double FAILURE_PENALTY = 4.0; // load factor added to a target where all calls fail
    private static final double BINDING_PENALTY = 30.0; // the same where a failure ties a message to a zone or is final
    private static final double UNSAFE_DELAY_SHARE = 0.15; // of failures; unsafe ones then wait, as theirs are final
    private static final double UNSAFE_DELAY_END_SECONDS = 3.0; // before the deadline; then they wait no longer
    // Refusals only for this long, or a longer retry-after delay, mean an outage instead of a rate limit.
    private static final double OUTAGE_AFTER_SECONDS = 3.0;
    private static final double FIRST_COOLDOWN_SECONDS = 0.7; // before the first trial; doubles at each failed one
    private static final double MAX_COOLDOWN_SECONDS = 1.6; // trials are cheap, a recovery seen late is not
    private static final double TRIAL_CAPACITY_SHARE = 0.3; // of a cold destination's capacity, for trials of all
    private static final double MAX_REFUSED_COOLDOWN_SECONDS = 6.0; // the same during a retry-after delay
    private static final double MIN_CAPACITY = 3.0; // calls per second that any warm destination handles
    private static final double SPREAD_SENDERS = 50.0; // per cubed second of burstSeconds; see the constructor
    private static final double MAX_SPREAD_FACTOR = 7.0; // longer waits would only let messages expire
    private static final double SLOW_START_CUT_FACTOR = 0.7; // at a refusal or failure during slow start
    private static final double SLOW_START_GAIN_FACTOR = 1.05; // at each success, until the cuts are undone
    private static final double MIN_SLOW_START_SHARE = 0.4; // of the slow-start rate, left after all cuts
    private static final double MIN_RATE = 1.0; // calls per second; a rate limit is not cut below it
    private static final double MAX_REPORT_AGE_SECONDS = 0.8; // refresh interval plus transfer of a load report
    private static final double LIMIT_LEFT_SHARE = 0.25; // of a limit; if more is left, others use little of it
    private static final double BULKHEAD_SHARE = 0.6; // of the call slots, for one destination
    private static final double SLOW_BULKHEAD_SHARE = 0.25; // the same while a call there is overdue
    private static final double TRIAL_BULKHEAD_SHARE = 0.12; // of the call slots, for all trials together
    private static final double SCARCE_SLOTS_SHARE = 0.6; // slots count as scarce once this share is in use
    private static final double MAX_PENDING_SHARE = 0.95; // of the limit; the rest is for healthy destinations
    private static final double QUOTA_BURST_SECONDS = 2.0; // of its quota that a tenant may use at once
    private static final double ANSWER_MARGIN_SECONDS = 0.01; // between the answer and the deadline
    private static final double MIN_RESPONSE_TIMES_LEFT = 2; // until the earliest deadline of a shared call
    private static final double IDLE_CLOSE_SECONDS = 30.0; // idle connections are closed for so long after a failure
    private static final int LARGE_FLEET_SENDERS = 50; // more cannot each wait for a refusal of their own
    private static final double FORGET_GONE_SECONDS = 5.0; // a target removed from the list is then forgotten
    private static final double NEVER = Double.POSITIVE_INFINITY;

    private Settings settings;
    private final SplittableRandom random;
    private final double spreadFactor; // at least 1; lengthens waits of many senders, which do not see each other
    private final boolean fragileRecovery; // a recovering destination takes less than one second of calls at once
    private final Map<Integer, PendingMessage> pendingMessages = new LinkedHashMap<>();
    final Map<Integer, TargetState> targets = new LinkedHashMap<>();
    private final Map<Integer, Destination> destinations = new LinkedHashMap<>();
    private final Set<Destination> advisedDestinations = new LinkedHashSet<>(); // each may limit its pending messages
    private final Map<Long, KeyQueue> keys = new LinkedHashMap<>();
    private final Map<Integer, Double> tableFullAt = new LinkedHashMap<>(); // by kind, in seconds
    private final Set<Integer> reportingKinds = new TreeSet<>(); // kinds whose responses carry load reports
    private final List<TokenBucket> quotas = new ArrayList<>(); // by tenant; this sender's part
    private final Map<TargetState, Call> roundCalls = new LinkedHashMap<>(); // newest call to each in this round
    private final List<CircuitBreaker> trialBreakers = new ArrayList<>(); // those due for a trial in this round
    private final Set<TargetState> idleCandidates = new LinkedHashSet<>(); // a call or probe there ended in this round
    private List<Action> actions = new ArrayList<>();
    private int callsInFlight, trialsInFlight, reservedSlots, listFailures;
    private double now = -NEVER, startedAt, nextWakeAt = NEVER, timerSetFor = NEVER, watchRetryAt = NEVER;
    private long timerToken, sendPass;
    // Whether idle connections seem to be dropped without notice; see prepareConnection.
    private double closeIdleUntil, idleDropRefutedAt, idleDropAfterSeconds = NEVER;
    private TargetState idleDropTarget;
    private boolean started;

    /** Creates a decision module; equal settings, seeds and events lead to equal decisions. */
    public Control(Settings settings, long seed) {
        this.settings = settings;
        random = new SplittableRandom(seed);
        Rules rules = settings.rules();
        // Calls that a recovering destination takes at once, in seconds of its full capacity.
        double burstSeconds = rules.overloadFactor() * rules.coldShare() * rules.overloadTime();
        fragileRecovery = burstSeconds < 1;
        spreadFactor = Math.max(
                1, Math.min(MAX_SPREAD_FACTOR, settings.senders() / (SPREAD_SENDERS * Math.pow(burstSeconds, 3))));
        for (Tenant tenant : settings.tenants()) {
            TokenBucket quota = new TokenBucket();
            quota.burstSeconds = QUOTA_BURST_SECONDS;
            quota.start(0, tenant.quota() / settings.senders());
            quotas.add(quota);
        }
    }

    /**
     * Applies the events of a round in their order and returns the actions to carry out, also in their order.
     *
     * @param time seconds on a clock that never goes back
     * @throws IllegalArgumentException if the time is before that of the previous round
     */
    public List<Action> decide(double time, List<Event> events) {
        if (!(time >= now)) {
            throw new IllegalArgumentException("time must not go back from " + now + " to " + time);
        }
        now = time;
        startedAt = started ? startedAt : now;
        actions = new ArrayList<>();
        nextWakeAt = NEVER;
        events.forEach(this::handle);
        watchTargetList();
        dispatch();
        closeIdleConnections();
        shed();
        keys.values().removeIf(queue -> queue.isUnused(now));
        setTimer();
        return actions;
    }

    private void handle(Event event) {
        if (event instanceof MessageAccepted e) {
            accept(e.message());
        } else if (event instanceof AttemptEnded e) {
            attemptEnded(e);
        } else if (event instanceof TargetList e) {
            updateTargets(e);
        } else if (event instanceof WatchFailed) {
            double maxBackoff = Math.max(FIRST_BACKOFF_SECONDS, settings.rules().listMaxAge() / 2);
            watchRetryAt = now + backoff(++listFailures, FIRST_BACKOFF_SECONDS, maxBackoff);
        } else if (event instanceof SettingsChanged e) {
            settings = e.settings(); // messages accepted before keep their class
        } else if (event instanceof MessageWithdrawn e && pendingMessages.containsKey(e.message())) {
            finish(pendingMessages.get(e.message()));
        } else if (event instanceof TimerFired e && e.token() == timerToken) {
            timerSetFor = NEVER;
        } else if (event instanceof ProbeEnded e && targets.containsKey(e.target())) {
            probeEnded(targets.get(e.target()), e.succeeded());
        } else if (event instanceof AnswerPending e) {
            keyQueue(e.key()).unackedAnswers.add(e.message());
        } else if (event instanceof AnswerAcknowledged e
                && keyQueue(e.key()).unackedAnswers.remove(e.message())) {
            keyQueue(e.key()).quietUntil = now + settings.rules().keyQuiet(); // an attempt may have ended just now
        } else if (event instanceof DestinationAdvice e) {
            applyAdvice(destinations.computeIfAbsent(e.destination(), Destination::new), e);
        }
    }

    /** Applies limits that were set for a destination as a whole, for example in a retry storm. */
    private void applyAdvice(Destination destination, DestinationAdvice e) {
        destination.stormLimiter.refill(now);
        // A random token keeps all senders, which learn of a recovery together, from calling at once.
        destination.stormLimiter.tokens = destination.stormLimiter.rate == NEVER
                ? 0
                : Math.min(destination.stormLimiter.tokens, e.recovered() ? random.nextDouble() : NEVER);
        destination.stormLimiter.rate = e.maxRate();
        destination.maxPending = e.maxPending();
        advisedDestinations.add(destination);
        destination.roomAt = e.roomIn() > 0 ? now + e.roomIn() : 0;
        if (e.recovered() && destination.sharedBreaker.open) {
            beginSlowStart(destination.sharedBreaker); // without a trial; rate limit and retry-after delay still apply
        }
    }

    // ---- accepting messages ----

    private void accept(Message message) {
        PendingMessage pending = new PendingMessage(message, settings.classes().get(message.messageClass()), now);
        pending.destination = destinations.computeIfAbsent(message.destination(), Destination::new);
        pending.inQuota = message.tenant() >= quotas.size()
                || quotas.get(message.tenant()).tryTake(now);
        pendingMessages.put(message.id(), pending);
        pending.destination.pendingCount++;
        pending.destination.acceptedCount++;
        if (pending.messageClass.ordered() && message.key() != 0) {
            pending.keyQueue = keyQueue(message.key());
            pending.keyQueue.messages.add(pending);
            pending.keyQueue.messages.sort(Comparator.comparingLong(other -> other.message.acceptedAt())); // stable
        }
    }

    private KeyQueue keyQueue(long key) {
        return keys.computeIfAbsent(key, unknown -> new KeyQueue());
    }

    // ---- sending ----

    private void dispatch() {
        roundCalls.clear();
        trialBreakers.clear();
        List<PendingMessage> ready = new ArrayList<>();
        for (PendingMessage pending : List.copyOf(pendingMessages.values())) {
            if (pending.call != null && isUnresponsive(pending.call)) {
                actions.add(new CancelAttempt(pending.message.id(), pending.attempts - 1));
            } else if (!pending.finished && pending.call == null && !answerIfExpired(pending) && isDue(pending)) {
                // Worth that a send now still earns per second of slot use; tenants within their quota come first.
                pending.rank = (pending.inQuota ? 1000 : 0) + worth(pending) / pending.destination.responseSeconds();
                ready.add(pending);
            }
        }
        ready.sort(Comparator.comparingDouble((PendingMessage pending) -> -pending.rank));
        sendReady(ready);
        reservedSlots = 0;
        if (!trialBreakers.isEmpty()) {
            trialBreakers.forEach(this::sendTrial);
            sendReady(ready); // fills the trial calls with further messages
            trialBreakers.forEach(breaker -> breaker.trialMessage = null);
        }
    }

    private void sendReady(List<PendingMessage> ready) {
        sendPass++;
        for (PendingMessage pending : ready) {
            TargetState target = pending.call == null ? chooseTarget(pending) : null;
            if (target != null) {
                send(pending, target, false);
            }
        }
    }

    /** Whether the backoff has passed and, in an ordered class, no earlier message of the key comes first. */
    private boolean isDue(PendingMessage pending) {
        boolean neverSent = pending.keyQueue != null && pending.attempts == 0;
        double sendableAt = neverSent ? Math.max(pending.dueAt, pending.keyQueue.quietUntil) : pending.dueAt;
        wakeBy(sendableAt > now ? sendableAt : NEVER);
        return sendableAt <= now && (pending.keyQueue == null || pending.keyQueue.isNext(pending));
    }

    /** Worth of a send now. A step at the aim keeps late messages from taking slots of those still in time. */
    private double worth(PendingMessage pending) {
        double secondsToAim = pending.deadline - pending.messageClass.deadline() + pending.messageClass.aim() - now;
        double worthShare = secondsToAim < pending.destination.responseSeconds() ? pending.messageClass.lateShare() : 1;
        return pending.messageClass.worth() * worthShare * (pending.inQuota ? 1 : settings.overQuotaShare());
    }

    /** The usable target with the least load, or null. Offers the message to open breakers that await a trial. */
    private TargetState chooseTarget(PendingMessage pending) {
        TargetState best = null;
        double leastLoad = NEVER;
        boolean blocksAll = pending.safe; // only what stops a safe message stops all others too
        if (pending.destination.blockedInPass == sendPass) {
            return null; // saves time while many messages are pending for a blocked destination
        }
        for (TargetState target : pending.destination.targets) {
            if (!target.info.ready() || !maySendTo(pending, target)) {
                continue;
            }
            blocksAll &= !target.breaker.open; // another message may suit a trial better
            Call call = roundCalls.get(target);
            // Unsafe messages join no trial, keyed ones none at a hanging target: a timeout would limit their repeats.
            boolean joins = call != null && (!call.trial || pending.safe || !target.breaker.hanging && !pending.unsafe);
            if (call != null && call.messageCount < target.kind.maxBatch() && !call.endsInTime(pending, now)) {
                continue; // is sent in a later round, in another call
            }
            if (joins && call.messageCount < target.kind.maxBatch()) {
                return target;
            }
            // Prefers reliable targets, more so where a failure ties the message to a zone or is final.
            double penalty = (pending.messageClass.zoneOnly() || pending.unsafe ? BINDING_PENALTY : FAILURE_PENALTY)
                    * target.failureShare.share(now);
            double load = (target.callsInFlight + 1) * target.responseSeconds() * (1 + penalty);
            load *= settings.crossZoneFee() > 0 && target.info.zone() != settings.zone() ? 2 : 1;
            // A target that was drained may have been restarted: it is cold and gets less at first.
            double warm =
                    (now - target.readyAgainAt) / Math.max(settings.rules().warmUp(), ANSWER_MARGIN_SECONDS);
            load = load / Math.max(settings.rules().coldShare(), Math.min(1, warm)) + feeSeconds(pending, target);
            if (load < leastLoad && target.callsInFlight + 1 <= target.maxCalls && admits(target, pending)) {
                best = target;
                leastLoad = load;
            }
        }
        pending.destination.blockedInPass = best == null && blocksAll ? sendPass : pending.destination.blockedInPass;
        return best;
    }

    /** The fee of a route as the seconds of lateness that would cost the same worth. */
    private double feeSeconds(PendingMessage pending, TargetState target) {
        MessageClass messageClass = pending.messageClass;
        boolean charged = target.kind.separateRoutes()
                && target.info.zone() < settings.routeFees().size();
        double fee = charged ? settings.routeFees().get(target.info.zone()) : 0;
        return fee * (messageClass.deadline() - messageClass.aim()) / (1 - messageClass.lateShare());
    }

    /** Whether breaker, limits and free slots allow a new call with the message to the target now. */
    private boolean admits(TargetState target, PendingMessage pending) {
        CircuitBreaker breaker = target.breaker;
        if (!breaker.open && isUnresponsive(breaker)) {
            trip(breaker, "silence");
        }
        double stormAt = pending.destination.stormLimiter.readyAt(now);
        if (breaker.open && breaker.retryAt <= now && stormAt <= now) {
            offerTrial(breaker, target, pending);
            return false;
        }
        double admittedAt = Math.max(
                Math.max(breaker.retryAt, stormAt), Math.max(breaker.limiter.readyAt(now), slowStartReadyAt(breaker)));
        if (pending.unsafe
                && breaker.failureShare.share(now) > UNSAFE_DELAY_SHARE
                && pending.deadline - now > UNSAFE_DELAY_END_SECONDS) {
            admittedAt = Math.max(admittedAt, now + FIRST_BACKOFF_SECONDS / 4);
        }
        wakeBy(admittedAt > now ? admittedAt : NEVER);
        return admittedAt <= now
                && callsInFlight + reservedSlots < settings.limits().maxCalls()
                && !exceedsBulkhead(pending.destination);
    }

    /** Whether a destination uses so many slots that too few would be left for others. */
    private boolean exceedsBulkhead(Destination destination) {
        boolean slow = false;
        int calls = 0;
        for (TargetState target : destination.targets) {
            calls += target.callsInFlight;
            slow |= !target.breaker.calls.isEmpty()
                    && target.breaker.calls.get(0).sentAt < now - target.breaker.unresponsiveSeconds();
        }
        return calls >= Math.max(1, settings.limits().maxCalls() * (slow ? SLOW_BULKHEAD_SHARE : BULKHEAD_SHARE));
    }

    /** Sends the message in the open call of this round to the target, or in a new one. */
    private void send(PendingMessage pending, TargetState target, boolean trial) {
        CircuitBreaker breaker = target.breaker;
        Call call = roundCalls.get(target);
        if (call == null || call.messageCount >= target.kind.maxBatch()) {
            call = new Call(target, now, trial, prepareConnection(target));
            roundCalls.put(target, call);
            breaker.calls.add(call);
            target.callsInFlight++;
            callsInFlight++;
            trialsInFlight += trial ? 1 : 0;
            breaker.limiter.take(now);
            breaker.slowStart.take(now);
            pending.destination.stormLimiter.take(now);
        }
        call.messageCount++;
        call.unfinishedCount++;
        call.earliestDeadline = Math.min(call.earliestDeadline, pending.deadline);
        pending.call = call;
        pending.attempts++;
        boolean waitsLonger =
                pending.unsafe && callsInFlight < settings.limits().maxCalls() * SCARCE_SLOTS_SHARE;
        double usualTimeout = Math.max(pending.messageClass.aim(), target.maxResponseSeconds())
                * (waitsLonger ? UNSAFE_TIMEOUT_FACTOR : 1);
        double timeout = call.trial ? TRIAL_TIMEOUT_FACTOR * breaker.unresponsiveSeconds() : usualTimeout;
        actions.add(new Send(pending.message.id(), target.info.id(), Math.min(timeout, pending.deadline - now)));
    }

    /** Closes idle connections that were probably dropped; returns how long the one to use was idle, 0 if new. */
    private double prepareConnection(TargetState target) {
        double idleSeconds = now - target.idleSince;
        boolean keptAlive = idleSeconds <= settings.limits().keepAlive();
        boolean maybeDropped = now < closeIdleUntil && (target.callsInFlight > 0 || idleSeconds > idleDropAfterSeconds);
        if (keptAlive && maybeDropped) {
            actions.add(new CloseIdle(target.info.id()));
        }
        return !keptAlive || maybeDropped || target.callsInFlight > 0 ? 0 : idleSeconds;
    }

    /**
     * Closes idle connections where a connection table was full recently. A large fleet always does, as its senders
     * would fill a table and each would have to be refused first.
     */
    private void closeIdleConnections() {
        for (TargetState target : idleCandidates) {
            boolean tableFull = now - tableFullAt.getOrDefault(target.info.kind(), -NEVER) < IDLE_CLOSE_SECONDS;
            if (target.callsInFlight == 0 && (tableFull || settings.senders() > LARGE_FLEET_SENDERS)) {
                actions.add(new CloseIdle(target.info.id()));
                target.idleSince = -NEVER;
            }
        }
        idleCandidates.clear();
    }

    // ---- ends of attempts ----

    private void attemptEnded(AttemptEnded e) {
        TargetState target = targets.get(e.target());
        if (target != null && e.retryAfter() > 0) { // also in late responses and for each message of a call
            target.breaker.retryAt =
                    Math.max(target.breaker.retryAt, now + e.retryAfter() + RETRY_AFTER_MARGIN_SECONDS);
        }
        PendingMessage pending = pendingMessages.get(e.message());
        if (pending == null || pending.call == null || e.attempt() != pending.attempts - 1) {
            return;
        }
        Call call = pending.call;
        pending.call = null;
        if (!call.outcomeRecorded) {
            call.outcomeRecorded = true;
            recordOutcome(call, e);
        }
        boolean reusable = e.outcome() == Outcome.DELIVERED || e.outcome() == Outcome.FULL;
        call.target.idleSince = reusable ? now : -NEVER; // idle now, or lost
        idleCandidates.add(call.target);
        if (--call.unfinishedCount == 0) {
            call.target.breaker.calls.remove(call);
            call.target.callsInFlight--;
            callsInFlight--;
            trialsInFlight -= call.trial ? 1 : 0;
        }
        if (pending.keyQueue != null && e.outcome().mayStillRun()) {
            pending.keyQueue.quietUntil = now + settings.rules().keyQuiet();
        }
        if (!e.outcome().neverRan() && !pending.mayHaveRun) {
            pending.mayHaveRun = true;
            pending.mayHaveRunSince = call.sentAt;
            pending.mayHaveRunZone = call.target.info.zone();
        }
        if (e.finished() || pending.finished) {
            finish(pending);
            return;
        }
        double jitter = RETRY_AFTER_JITTER * spreadFactor * Math.pow(Math.min(2, spreadFactor), pending.attempts - 1);
        // Many senders use a limit without seeing each other, so their number lengthens the backoff after a refusal.
        boolean limitRefusal = e.outcome() == Outcome.FULL && !isConnectionFault(call, e);
        double firstBackoff = FIRST_BACKOFF_SECONDS * (limitRefusal ? spreadFactor : 1);
        double wait = e.retryAfter() * (1 + jitter * (e.retryAfter() > 0 ? random.nextDouble() : 0));
        pending.dueAt = now + (wait > 0 ? wait : backoff(pending.attempts, firstBackoff, MAX_BACKOFF_SECONDS));
        answerIfExpired(pending);
    }

    /** A random part, from half to all, of a base that doubles with each failure up to the maximum. */
    private double backoff(int failures, double firstBackoff, double maxBackoff) {
        double base = Math.min(firstBackoff * Math.pow(2, Math.max(0, failures - 1)), maxBackoff);
        return base / 2 + random.nextDouble() * base / 2;
    }

    // ---- rules for messages that may have run: decided only here ----

    /** Whether the message may be sent to the target; a repeat may be bound to the zone of its first attempt. */
    private boolean maySendTo(PendingMessage pending, TargetState target) {
        return !pending.mayHaveRun || !pending.messageClass.zoneOnly() || target.info.zone() == pending.mayHaveRunZone;
    }

    /** Whether the client could safely resubmit the message; otherwise it has to fail. */
    private boolean mayRefuse(PendingMessage pending) {
        return !pending.mayHaveRun || pending.safe || !pending.unsafe && !pending.messageClass.zoneOnly();
    }

    /** The latest time at which the message may be sent. */
    private double lastSendAt(PendingMessage pending) {
        boolean exhausted = pending.attempts >= settings.limits().maxAttempts() || pending.mayHaveRun && pending.unsafe;
        double last = exhausted
                ? -NEVER
                : pending.deadline - ANSWER_MARGIN_SECONDS - pending.destination.responseSeconds() / 2;
        double windowEnd = pending.mayHaveRunSince + pending.messageClass.keyWindow() - ANSWER_MARGIN_SECONDS;
        return !pending.mayHaveRun || pending.safe ? last : Math.min(last, windowEnd);
    }

    // ---- undelivered messages ----

    /** Answers the message and returns true if no further attempt can be made in time. */
    private boolean answerIfExpired(PendingMessage pending) {
        double last = lastSendAt(pending);
        if (Math.max(now, Math.max(pending.dueAt, pending.destination.retryAt())) <= last) {
            wakeBy(last + ANSWER_MARGIN_SECONDS / 2);
            return false;
        }
        answerUndelivered(pending);
        return true;
    }

    private void answerUndelivered(PendingMessage pending) {
        if (mayRefuse(pending)) {
            double retryAfter = Math.max(
                    Math.max(FIRST_BACKOFF_SECONDS, secondsUntilRoom(pending)), pending.destination.retryAt() - now);
            actions.add(new Refuse(pending.message.id(), settings.limits().retryAfter(retryAfter)));
        } else {
            actions.add(new Fail(pending.message.id()));
        }
        finish(pending);
        if (pending.keyQueue != null && pending.message.acknowledgesAnswer()) {
            pending.keyQueue.unackedAnswers.add(pending.message.id());
        }
    }

    private void finish(PendingMessage pending) {
        pending.finished = true;
        if (pending.call != null) {
            return;
        }
        pending.destination.pendingCount -= pendingMessages.remove(pending.message.id()) == null ? 0 : 1;
        if (pending.keyQueue != null) {
            pending.keyQueue.messages.remove(pending);
        }
    }

    /** Refuses messages of the least worth per pending message of their destination, while too many are pending. */
    private void shed() {
        for (Destination destination : advisedDestinations) {
            while (destination.pendingCount > destination.maxPending && shedOne(destination)) {
                continue; // keeps a storm from using up the pending messages of all destinations
            }
        }
        while (pendingMessages.size() > settings.limits().maxPending() * MAX_PENDING_SHARE && shedOne(null)) {
            continue;
        }
    }

    /** Refuses the message of least worth, of one destination or (null) of all; false if none may be refused. */
    private boolean shedOne(Destination onlyDestination) {
        PendingMessage leastWorth = pendingMessages.values().stream()
                .filter(pending -> pending.call == null
                        && !pending.finished
                        && mayRefuse(pending)
                        && (onlyDestination == null || pending.destination == onlyDestination))
                .min(Comparator.comparingDouble(pending -> worth(pending) / pending.destination.pendingCount))
                .orElse(null);
        if (leastWorth != null) {
            answerUndelivered(leastWorth);
        }
        return leastWorth != null;
    }

    /** Seconds until the client may resubmit; messages refused in a storm get different times. */
    private double secondsUntilRoom(PendingMessage pending) {
        Destination destination = pending.destination;
        if (destination.roomAt == 0) {
            return 0;
        }
        destination.roomAt =
                Math.max(destination.roomAt, now) + (0.5 + random.nextDouble()) / destination.stormLimiter.rate;
        double maxRetryAfter = settings.limits().maxRetryAfter(); // cut off there, many would return at once
        double seconds = Math.min(destination.roomAt - now, maxRetryAfter * (0.5 + random.nextDouble() / 2));
        return Math.min(seconds, Math.max(0, pending.deadline - now));
    }

    // ---- health of targets and destinations ----

    /** Updates the state of target and breaker after a call. */
    private void recordOutcome(Call call, AttemptEnded e) {
        TargetState target = call.target;
        CircuitBreaker breaker = target.breaker;
        boolean connectionLost = e.outcome() == Outcome.RESET || e.outcome() == Outcome.TIMED_OUT;
        // A call lost on an idle connection suggests that idle connections are dropped without notice.
        if (call.idleSeconds > 0 && connectionLost && call.sentAt > idleDropRefutedAt) {
            closeIdleUntil = now + IDLE_CLOSE_SECONDS;
            idleDropAfterSeconds = Math.min(idleDropAfterSeconds, call.idleSeconds / 2);
            idleDropTarget = target;
        } else if (call.idleSeconds == 0 && target == idleDropTarget && e.outcome() != Outcome.DELIVERED) {
            closeIdleUntil = now; // a new connection failed too, so the destination is at fault
            idleDropAfterSeconds = NEVER;
            idleDropRefutedAt = now;
        }
        if (refusedByFullTable(call, e)) {
            tableFullAt.put(target.info.kind(), now);
        }
        if (isConnectionFault(call, e)) {
            target.failureShare.record(now, e.outcome() == Outcome.FULL ? 1 : target.failureShare.share(now));
            breaker.trialInFlight &= !call.trial;
            return;
        }
        target.failureShare.record(now, e.outcome() == Outcome.DELIVERED || e.outcome() == Outcome.FULL ? 0 : 1);
        if (e.outcome() == Outcome.DELIVERED) {
            breaker.slowStartShare = Math.min(1, breaker.slowStartShare * SLOW_START_GAIN_FACTOR);
        } else if (call.sentAt > breaker.slowStartCutAt && e.outcome() != Outcome.CANCELLED) {
            // Protects a cold destination; only calls since the last cut count, so that one round trip cuts once.
            breaker.slowStartShare = Math.max(MIN_SLOW_START_SHARE, breaker.slowStartShare * SLOW_START_CUT_FACTOR);
            breaker.slowStartCutAt = now;
        }
        if (e.report() != null) {
            breaker.limitReported = true;
            reportingKinds.add(target.info.kind());
            breaker.knownLimit = e.report().limit();
            // If others leave much of a restored limit unused, this sender takes its whole share at once.
            if (call.sentAt > breaker.limiter.cutAt + MAX_REPORT_AGE_SECONDS
                    && e.report().remaining() > LIMIT_LEFT_SHARE) {
                breaker.limiter.raiseTo(now, breaker.knownLimit / settings.senders());
            }
        }
        switch (e.outcome()) {
            case DELIVERED -> {
                target.recordResponseTime(e.elapsed());
                target.lastSuccessAt = now;
                breaker.lastSuccessAt = now;
                target.lastSuccessSentAt = Math.max(target.lastSuccessSentAt, call.sentAt);
                target.maxCalls += target.callsInFlight >= target.maxCalls - 1 ? 0.1 : 0;
                recordSuccess(breaker, call.trial);
            }
            case FULL -> recordRefusal(breaker, call, e.retryAfter());
            case NOT_CONNECTED -> {
                // While other calls succeed, a failed connect means a full connection table and no outage.
                boolean recentlySucceeded =
                        target.lastSuccessAt > now - settings.limits().connectTimeout();
                if (!breaker.open && target.callsInFlight > 1 && recentlySucceeded) {
                    tableFullAt.put(target.info.kind(), now);
                    target.maxCalls = Math.max(1, target.callsInFlight - 1);
                } else {
                    recordFailure(breaker, call.trial, "failed connects");
                }
            }
            case ERROR, RESET -> recordFailure(breaker, call.trial, "errors");
            case TIMED_OUT -> recordFailure(breaker, call.trial, "time-outs");
            default -> breaker.trialInFlight &= !call.trial;
        }
    }

    /** Whether a connection dropped while idle, or a full connection table, explains the failure. */
    private boolean isConnectionFault(Call call, AttemptEnded e) {
        return call.idleSeconds > 0 && e.outcome() == Outcome.RESET
                || refusedByFullTable(call, e) && call.target.breaker.lastSuccessAt > now - OUTAGE_AFTER_SECONDS;
    }

    /** Whether the connection table was full: all other responses of such a kind, refusals too, carry a report. */
    private boolean refusedByFullTable(Call call, AttemptEnded e) {
        return e.refusedWithoutDetails() && reportingKinds.contains(call.target.info.kind());
    }

    private void probeEnded(TargetState target, boolean ok) {
        CircuitBreaker breaker = target.breaker;
        idleCandidates.add(target);
        if (breaker.trialInFlight && ok) {
            recordSuccess(breaker, true);
        } else if (breaker.trialInFlight) {
            recordFailure(breaker, true, "probe");
        }
    }

    private void recordSuccess(CircuitBreaker breaker, boolean trial) {
        breaker.failureShare.record(now, 0);
        breaker.successRate.add(now);
        breaker.bestSuccessRate = Math.max(breaker.bestSuccessRate, breaker.successRate.perSecond(now));
        // A short outage may not open the breaker. Unless recovery is fragile, it may as well be a full table.
        if (breaker.open ? trial || breaker.hanging : failedRepeatedly(breaker)) {
            beginSlowStart(breaker);
        }
        breaker.failingSince = NEVER;
        breaker.failureCount = 0;
        breaker.limiter.recordSuccess(now);
    }

    private void recordFailure(CircuitBreaker breaker, boolean trial, String reason) {
        countFailure(breaker);
        breaker.failureShare.record(now, 1);
        // With another route usable, one failure opens the breaker: many senders would each find it dead anew.
        if (breaker.open
                ? trial
                : breaker.failureShare.share(now) > TRIP_FAILURE_SHARE
                        || spreadFactor > 1 && failedRepeatedly(breaker)
                        || hasOtherRoute(breaker)) {
            trip(breaker, reason);
        }
    }

    /** Whether several calls failed in a row over some time, for senders with too few calls for a failure share. */
    private boolean failedRepeatedly(CircuitBreaker breaker) {
        return fragileRecovery && breaker.failureCount > 1 && breaker.failingSince < now - OUTAGE_AFTER_SECONDS / 2;
    }

    /** Whether this sender has too few calls for a failure share, and another route to the destination. */
    private boolean hasOtherRoute(CircuitBreaker breaker) {
        return demand(breaker) * OUTAGE_AFTER_SECONDS < 1
                && breaker.destination.targets.stream()
                        .anyMatch(other -> other.info.ready() && other.breaker != breaker && !other.breaker.open);
    }

    private void recordRefusal(CircuitBreaker breaker, Call call, double retryAfter) {
        countFailure(breaker);
        // Refusals during slow start come from a cold destination and reveal no limit.
        if (call.sentAt >= breaker.limiter.cutAt
                && breaker.slowStartFrom == NEVER
                && !breaker.open
                && retryAfter <= OUTAGE_AFTER_SECONDS) {
            // A retry-after delay proves a limit; many senders at MIN_RATE would use it up with refused calls.
            // Without a reported limit, the listed rate counts: successes are too few to go by after a start.
            double limitShare = (breaker.knownLimit > 0 ? breaker.knownLimit : breaker.listedRate) / settings.senders();
            double ownRate = Math.max(
                    demand(breaker.destination), Math.max(breaker.knownLimit, MIN_CAPACITY) / settings.senders());
            double minRate = retryAfter > 0 && spreadFactor > 1 ? Math.min(MIN_RATE, ownRate) : MIN_RATE;
            breaker.limiter.cut(now, Math.max(breaker.successRate.perSecond(now), limitShare), minRate);
            breaker.limiter.tokens = breaker.limiter.rate < MIN_RATE ? random.nextDouble() : breaker.limiter.tokens;
        }
        if (breaker.open
                ? call.trial
                : retryAfter > OUTAGE_AFTER_SECONDS
                        || call.sentAt > breaker.failingSince && now - breaker.failingSince > OUTAGE_AFTER_SECONDS) {
            trip(breaker, "shut");
        }
    }

    /** Messages per second that this sender has accepted for the destination. */
    private double demand(Destination destination) {
        return destination.acceptedCount / (now - startedAt + EventRate.WINDOW_SECONDS);
    }

    /** The part of that demand which falls to the targets of this breaker. */
    private double demand(CircuitBreaker breaker) {
        return demand(breaker.destination) * breaker.targets.size() / breaker.destination.targets.size();
    }

    private void countFailure(CircuitBreaker breaker) {
        breaker.failingSince = breaker.failureCount++ == 0 ? now : breaker.failingSince;
    }

    /** Whether an overdue call, with all slots in use, is on a dead connection: later calls to the target succeeded. */
    private boolean isUnresponsive(Call call) {
        boolean laterAnswered = call.target.lastSuccessSentAt - call.sentAt > MIN_UNRESPONSIVE_SECONDS / 2;
        boolean overdue = now - call.sentAt > Math.max(MIN_UNRESPONSIVE_SECONDS, call.target.maxResponseSeconds());
        return laterAnswered
                && overdue
                && settings.limits().mayCancel()
                && callsInFlight >= settings.limits().maxCalls();
    }

    /** Whether calls sent after the last success are overdue: two, or one if calls failed before. */
    private boolean isUnresponsive(CircuitBreaker breaker) {
        int overdue = 0;
        for (Call call : breaker.calls) {
            overdue += call.sentAt > breaker.lastSuccessAt && call.sentAt < now - breaker.unresponsiveSeconds() ? 1 : 0;
        }
        return overdue > 1 || overdue == 1 && breaker.failureCount > 0;
    }

    // ---- circuit breaker: opening, trial calls, slow start ----

    /** Opens the breaker, or keeps it open after a failed trial, and sets the time of the next trial. */
    private void trip(CircuitBreaker breaker, String reason) {
        if (!breaker.open) {
            breaker.tripCount = 0;
            breaker.failingSince = Math.min(breaker.failingSince, now);
            breaker.failureCount = Math.max(1, breaker.failureCount);
            actions.add(new Log("open " + breaker.name + " reason=" + reason));
        }
        breaker.open = true;
        freeSlots(breaker, reason.equals("silence"));
        breaker.hanging = reason.equals("silence") || reason.equals("time-outs");
        breaker.trialInFlight = false;
        breaker.tripCount++;
        breaker.slowStartFrom = NEVER;
        // Trials of many senders could use up a limit or overload a cold server; failed connects cannot.
        double spread = reason.equals("failed connects") && breaker.retryAt <= now ? 1 : spreadFactor;
        double maxCooldown = breaker.retryAt > now ? MAX_REFUSED_COOLDOWN_SECONDS : MAX_COOLDOWN_SECONDS;
        double cooldown = spread * Math.min(FIRST_COOLDOWN_SECONDS * Math.pow(2, breaker.tripCount - 1), maxCooldown);
        breaker.openUntil =
                Math.max(now, breaker.retryAt) + backoff(1, Math.max(trialIntervalSeconds(breaker), cooldown), NEVER);
    }

    /** Interval at which trials of all senders that know of the outage do not overload a cold destination. */
    private double trialIntervalSeconds(CircuitBreaker breaker) {
        double ownDemand = Math.max(demand(breaker), breaker.listedRate / settings.senders());
        // A sender takes up to 1 / ownDemand seconds to notice an outage, so few know of a new one.
        double awareSeconds = Math.min(
                Math.max(now - breaker.failingSince, hasOtherRoute(breaker) ? OUTAGE_AFTER_SECONDS : 0), 1 / ownDemand);
        Rules rules = settings.rules();
        double coldCapacity = rules.overloadFactor() * rules.coldShare();
        double burstCalls =
                coldCapacity * Math.max(ownDemand * settings.senders(), MIN_CAPACITY) * rules.overloadTime();
        // Allowing for chance, a cold destination handles n + 2 sqrt(n) + 2 calls; trials get a share of these.
        coldCapacity *= spreadFactor > 1 ? TRIAL_CAPACITY_SHARE * (1 + 2 / Math.sqrt(burstCalls) + 2 / burstCalls) : 1;
        return awareSeconds / coldCapacity * (hasOtherRoute(breaker) ? 2 : 1);
    }

    /** Cancels repeatable calls to an unresponsive destination while slots are scarce. */
    private void freeSlots(CircuitBreaker breaker, boolean unresponsive) {
        boolean scarce = callsInFlight >= settings.limits().maxCalls() * SCARCE_SLOTS_SHARE;
        if (unresponsive && settings.limits().mayCancel() && scarce) {
            pendingMessages.values().stream()
                    .filter(pending ->
                            pending.call != null && pending.call.target.breaker == breaker && !pending.unsafe)
                    .forEach(pending -> actions.add(new CancelAttempt(pending.message.id(), pending.attempts - 1)));
        }
    }

    /** Remembers the message that suits the next trial best. */
    private void offerTrial(CircuitBreaker breaker, TargetState target, PendingMessage pending) {
        wakeBy(breaker.openUntil > now ? breaker.openUntil : NEVER);
        if (breaker.openUntil > now || breaker.trialInFlight) {
            return;
        }
        if (breaker.trialMessage == null && trialBreakers.add(breaker)
                || trialOrder(pending) < trialOrder(breaker.trialMessage)) {
            breaker.trialMessage = pending;
            breaker.trialTarget = target;
        }
    }

    /** Order of preference for trials: safe, keyed, then unsafe; in each, messages that may have run come first. */
    private static int trialOrder(PendingMessage pending) {
        return 2 * pending.messageClass.effect().ordinal() - (pending.mayHaveRun ? 1 : 0);
    }

    private void sendTrial(CircuitBreaker breaker) {
        PendingMessage pending = breaker.trialMessage;
        TargetState target = breaker.trialTarget;
        if (pending.call != null) {
            return;
        }
        if (pending.unsafe && settings.limits().mayProbe()) {
            breaker.trialInFlight = true;
            actions.add(new Probe(target.info.id()));
        } else if (trialsInFlight < Math.max(1, settings.limits().maxCalls() * TRIAL_BULKHEAD_SHARE)) {
            // A trial that waited too long keeps the next free slot from other calls; no more than one is kept.
            reservedSlots = now < breaker.openUntil + MAX_COOLDOWN_SECONDS ? reservedSlots : 1;
            if (callsInFlight < settings.limits().maxCalls()) {
                breaker.trialInFlight = true;
                send(pending, target, true);
            }
        }
    }

    private void beginSlowStart(CircuitBreaker breaker) {
        breaker.open = false;
        breaker.trialInFlight = false;
        breaker.tripCount = 0;
        breaker.failureShare.share = 0;
        breaker.slowStartFrom = now;
        breaker.slowStartShare = 1;
        breaker.slowStartCutAt = now;
        breaker.limiter.raiseTo(now, breaker.bestSuccessRate); // refusals in an outage reveal no limit
        breaker.slowStart.start(now, slowStartRate(breaker));
        breaker.slowStart.tokens = spreadFactor > 1 && fragileRecovery ? random.nextDouble() : 0;
        actions.add(new Log("slow start " + breaker.name + " rate=" + breaker.slowStart.rate));
    }

    /** Calls per second that this sender may make while a destination recovers from an outage. */
    private double slowStartRate(CircuitBreaker breaker) {
        double warmShare = Math.min(
                1, (now - breaker.slowStartFrom) / Math.max(settings.rules().warmUp(), ANSWER_MARGIN_SECONDS));
        double capacityShare =
                settings.rules().coldShare() + (1 - settings.rules().coldShare()) * warmShare;
        double ownRate = spreadFactor > 1 && fragileRecovery ? demand(breaker) : breaker.bestSuccessRate;
        double capacity = Math.max(ownRate, Math.max(breaker.listedRate, MIN_CAPACITY) / settings.senders());
        // Leaves room for the trials of senders that have not seen the recovery yet.
        double besideTrials = spreadFactor > 1 && fragileRecovery ? 1 - TRIAL_CAPACITY_SHARE / 2 : 1;
        return settings.rules().overloadFactor() * capacityShare * capacity * breaker.slowStartShare * besideTrials;
    }

    private double slowStartReadyAt(CircuitBreaker breaker) {
        if (now - breaker.slowStartFrom > settings.rules().warmUp()) {
            breaker.slowStartFrom = NEVER;
            breaker.slowStart.rate = NEVER;
        }
        if (breaker.slowStartFrom == NEVER) {
            return now;
        }
        breaker.slowStart.refill(now);
        breaker.slowStart.rate = slowStartRate(breaker);
        return breaker.slowStart.readyAt(now);
    }

    // ---- the list of targets ----

    private void updateTargets(TargetList event) {
        listFailures = 0;
        watchRetryAt = NEVER;
        if (event.fullList()) {
            targets.values().forEach(target -> target.info = target.info.gone());
        }
        forgetGoneTargets();
        for (Target info : event.targets()) {
            TargetState target = targets.get(info.id());
            if (target != null) {
                boolean returned = target.info.phase() == Phase.DRAINING && info.phase() == Phase.READY;
                target.readyAgainAt = returned ? now : target.readyAgainAt;
                target.info = info;
            } else if (info.phase() != Phase.GONE) {
                target = new TargetState(info, settings.kinds().get(info.kind()));
                Destination destination = destinations.computeIfAbsent(info.destination(), Destination::new);
                String route = destination.sharedBreaker.name + " route=" + info.id();
                target.breaker = target.kind.separateRoutes()
                        ? new CircuitBreaker(destination, route)
                        : destination.sharedBreaker;
                target.breaker.targets.add(target);
                destination.targets.add(target);
                targets.put(info.id(), target);
            }
            if (target != null && settings.weight() != Weight.NONE && info.phase() != Phase.GONE) {
                target.breaker.listedRate = info.weight();
                target.breaker.knownLimit = target.breaker.limitReported ? target.breaker.knownLimit : info.weight();
            }
        }
    }

    /** Drops targets that left the list long enough ago that no call or probe is in flight, to bound memory. */
    private void forgetGoneTargets() {
        for (TargetState target : List.copyOf(targets.values())) {
            target.lastInUseAt = target.info.ready() || target.callsInFlight > 0 ? now : target.lastInUseAt;
            if (target.info.phase() == Phase.GONE && target.lastInUseAt < now - FORGET_GONE_SECONDS) {
                target.breaker.targets.remove(target);
                target.breaker.destination.targets.remove(target);
                targets.remove(target.info.id());
            }
        }
    }

    /** Opens the watch on the target list at the start, and again some time after it failed. */
    private void watchTargetList() {
        if (settings.watchesList() && (!started || watchRetryAt <= now)) {
            actions.add(new SetListWatch(true));
            watchRetryAt = NEVER;
        }
        started = true;
        wakeBy(watchRetryAt);
    }

    /** Makes sure that a round is run at the given time or earlier. */
    private void wakeBy(double time) {
        nextWakeAt = Math.min(nextWakeAt, time);
    }

    private void setTimer() {
        nextWakeAt = Math.max(nextWakeAt, now + 0.001);
        if (nextWakeAt < timerSetFor) {
            timerSetFor = nextWakeAt;
            actions.add(new SetTimer(nextWakeAt, ++timerToken));
        }
    }

    // ---- state ----

    /** An accepted message without an answer yet, or with an attempt still in flight. */
    private static final class PendingMessage {
        final Message message;
        final MessageClass messageClass;
        final double deadline;
        Destination destination;
        KeyQueue keyQueue;
        final boolean safe, unsafe; // whether repeats are harmless, or forbidden
        boolean inQuota, finished, mayHaveRun;
        int attempts, mayHaveRunZone;
        Call call;
        double dueAt, rank, mayHaveRunSince;

        PendingMessage(Message message, MessageClass messageClass, double now) {
            this.message = message;
            this.messageClass = messageClass;
            safe = messageClass.effect() == Effect.SAFE;
            unsafe = messageClass.effect() == Effect.UNSAFE;
            deadline = now + message.timeLeft();
            attempts = message.attempts(); // above 0 for a message resumed after a restart
            mayHaveRun = message.firstPossibleRun() != null; // the key window goes on over a restart
            mayHaveRunSince = mayHaveRun ? now - message.firstPossibleRun().ago() : 0;
            mayHaveRunZone = mayHaveRun ? message.firstPossibleRun().zone() : 0;
        }
    }

    /** Messages of one key in the order of acceptance; only the first may be sent. */
    private static final class KeyQueue {
        final List<PendingMessage> messages = new ArrayList<>();
        final Set<Integer> unackedAnswers = new TreeSet<>(); // ids of messages whose answers others wait for
        double quietUntil;

        boolean isNext(PendingMessage pending) {
            return messages.get(0) == pending && (pending.attempts > 0 || unackedAnswers.isEmpty());
        }

        boolean isUnused(double now) {
            return messages.isEmpty() && unackedAnswers.isEmpty() && quietUntil <= now;
        }
    }

    /** A call in flight, with one or more messages that share its timeout and outcome. */
    private static final class Call {
        final TargetState target;
        final boolean trial;
        final double sentAt, idleSeconds; // idle time of the connection before, 0 for a new one
        int messageCount, unfinishedCount;
        boolean outcomeRecorded;
        double earliestDeadline = NEVER; // of its messages; the call ends then for all

        Call(TargetState target, double sentAt, boolean trial, double idleSeconds) {
            this.idleSeconds = idleSeconds;
            this.target = target;
            this.sentAt = sentAt;
            this.trial = trial;
        }

        /** Whether a response is likely before the deadlines of the given message and of those in the call. */
        boolean endsInTime(PendingMessage pending, double now) {
            return Math.min(earliestDeadline, pending.deadline) - now
                    >= MIN_RESPONSE_TIMES_LEFT * target.responseSeconds();
        }
    }

    /** A destination. Its targets share a circuit breaker or, where routes are separate, have one each. */
    private static final class Destination {
        final List<TargetState> targets = new ArrayList<>();
        final CircuitBreaker sharedBreaker; // outlives targets: delays and limits go on
        final TokenBucket stormLimiter = new TokenBucket(); // this sender's calls in a storm
        int pendingCount, acceptedCount, maxPending = Integer.MAX_VALUE;
        double roomAt; // when the next message refused in a storm may come back
        long blockedInPass; // send pass in which no message for it can be sent any more

        Destination(int id) {
            sharedBreaker = new CircuitBreaker(this, "destination=" + id);
        }

        double responseSeconds() {
            double sum = 0; // runs for each message in each round: no streams here and below
            for (TargetState target : targets) {
                sum += target.responseSeconds();
            }
            return targets.isEmpty() ? DEFAULT_RESPONSE_SECONDS : sum / targets.size();
        }

        /** When the first usable target is out of its retry-after delay. */
        double retryAt() {
            double until = NEVER;
            for (TargetState target : targets) {
                until = target.info.ready() ? Math.min(until, target.breaker.retryAt) : until;
            }
            return until == NEVER ? 0 : until;
        }
    }

    /** A target: its list entry, calls in flight, response times and limit on connections. */
    private static final class TargetState {
        final DestinationKind kind;
        final FailureShare failureShare = new FailureShare();
        double maxCalls = NEVER, lastSuccessAt = -NEVER, lastSuccessSentAt = -NEVER;
        double idleSince = -NEVER, readyAgainAt = -NEVER; // readyAgainAt: end of its last drain
        CircuitBreaker breaker;
        Target info;
        int callsInFlight;
        double meanSeconds, deviationSeconds, lastInUseAt = -NEVER; // lastInUseAt: ready or with a call

        TargetState(Target info, DestinationKind kind) {
            this.info = info;
            this.kind = kind;
        }

        /** Updates mean and deviation with the gains that TCP uses for round-trip times. */
        void recordResponseTime(double elapsed) {
            if (meanSeconds == 0) {
                meanSeconds = elapsed;
                deviationSeconds = elapsed / 2;
            } else {
                deviationSeconds += (Math.abs(elapsed - meanSeconds) - deviationSeconds) / 4;
                meanSeconds += (elapsed - meanSeconds) / 8;
            }
        }

        double responseSeconds() {
            return meanSeconds == 0 ? DEFAULT_RESPONSE_SECONDS : Math.max(meanSeconds, 0.001);
        }

        /** Response time beyond which a call is unlikely to be answered. */
        double maxResponseSeconds() {
            return meanSeconds + TIMEOUT_DEVIATIONS * deviationSeconds;
        }
    }

    /** Circuit breaker, rate limit and slow start of a destination or, where routes are separate, of a route. */
    private static final class CircuitBreaker {
        final String name;
        final Destination destination;
        final List<TargetState> targets = new ArrayList<>();
        final List<Call> calls = new ArrayList<>();
        final AdaptiveRateLimiter limiter = new AdaptiveRateLimiter();
        final TokenBucket slowStart = new TokenBucket();
        final EventRate successRate = new EventRate();
        final FailureShare failureShare = new FailureShare();
        double failingSince = NEVER, slowStartFrom = NEVER, slowStartShare = 1, lastSuccessAt = -NEVER;
        double retryAt, knownLimit, bestSuccessRate, listedRate, slowStartCutAt, openUntil; // rates per second
        boolean limitReported, open, hanging, trialInFlight; // hanging: opened by calls without an answer
        int failureCount, tripCount; // failures and refusals in a row; trips since it was closed
        PendingMessage trialMessage;
        TargetState trialTarget;

        CircuitBreaker(Destination destination, String name) {
            this.destination = destination;
            this.name = name;
        }

        /** Time without a response after which a call is overdue. */
        double unresponsiveSeconds() {
            double longest = MIN_UNRESPONSIVE_SECONDS;
            for (TargetState target : targets) {
                longest = Math.max(longest, target.meanSeconds + UNRESPONSIVE_DEVIATIONS * target.deviationSeconds);
            }
            return longest;
        }
    }
}
