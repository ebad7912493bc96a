package juniperusher;

import java.util.*;
import juniperusher.Protocol.*;

/**
 * The decision module. Its interface is Protocol.java, beside this file.
 *
 * <p>A failed delivery waits a jittered, doubling, capped pause; a told wait holds the whole destination and
 * is never cut short; a message whose pause would pass its deadline is given up. One instance, one thread.
 */
public final class Control {
    private static final double FIRST_PAUSE = 0.5; // s, base of the first pause: a second try in time
    private static final double PAUSE_CAP = 30.0; // s, the doubling stops: a longer pause helps nobody
    private static final double TOLD_JITTER = 0.5; // share a message adds to its told wait, to spread returns
    private static final double TOLD_MARGIN = 0.002; // s, clocks are rounded; a told wait is never cut short
    private static final double TIMEOUT_DEVIATIONS = 10.0; // over the usual time, the aim at least
    private static final double UNSAFE_PATIENCE = 3.0; // times that with slots free: its time-out is final
    private static final double TRIAL_PATIENCE = 3.0; // times the time to silence: it must not keep a slot
    private static final double FIRST_GUESS = 0.2; // s, usual time of a target not yet heard of
    private static final double LEAST_SILENCE = 1.0; // s, no silence sooner, so that short stalls pass
    private static final double SILENCE_DEVIATIONS = 6.0; // over the usual time: an overdue call
    private static final double TRIP_SHARE = 0.5; // of outcomes that fail: most calls fail
    private static final double FLAKY = 4.0; // calls that a share of failures of 1 counts for in choosing
    private static final double FLAKY_BOUND = 30.0; // the same for messages that a failure binds or ends
    private static final double UNSAFE_SHARE = 0.15; // of failures: unsafe ones wait, theirs would be final
    private static final double UNSAFE_HURRY = 3.0; // s before its deadline an unsafe one waits no more
    private static final double SHUT_AFTER = 3.0; // s of refusals only, or of a told wait: not a limit, shut
    private static final double FIRST_COOLDOWN = 0.7; // s before the first trial; it doubles, jittered, to
    private static final double COOLDOWN_CAP = 1.6; // s, as a trial is cheap, a return unnoticed is not
    private static final double TRIAL_PART = 0.3; // of the n + 2 x root of n + 2 calls that a cold one bears
    private static final double REFUSED_COOLDOWN_CAP = 6.0; // s after a told wait: see trip
    private static final double LEAST_CAPACITY = 3.0; // calls/s, any destination bears as many once warm
    private static final double CROWD = 50.0; // senders by the cube of what a return bears, see crowd
    private static final double MOST_CROWD = 7.0; // a longer pause would only let messages expire
    private static final double RAMP_CUT = 0.7; // factor on slow start at a refusal or failure meanwhile
    private static final double RAMP_CLIMB = 1.05; // factor at each success, to win the cut back
    private static final double LEAST_RAMP = 0.4; // slow start is never cut below this share
    private static final double LEAST_PACE = 1.0; // calls/s, the pace is never cut below
    private static final double REPORT_AGE = 0.8; // s, a report may be as old as refresh and delay together
    private static final double LEAST_LEFT = 0.25; // share of a limit that is left where others use little
    private static final double BULKHEAD = 0.6; // share of the slots that one destination may hold
    private static final double SLOW_BULKHEAD = 0.25; // the same with an overdue call out
    private static final double TRIAL_BULKHEAD = 0.12; // the same for all trials together
    private static final double SCARCE = 0.6; // share of the slots taken at which they count as scarce
    private static final double ROOM = 0.95; // share of the held room kept, so that sound ones find some
    private static final double QUOTA_BURST = 2.0; // s of its quota a tenant may send at once within share
    private static final double ANSWER_MARGIN = 0.01; // s, answers come so long before the deadline
    private static final double SHARED_ROOM = 2; // usual times to answer that a message has left where it shares a call
    private static final double IDLE_MEMORY = 30.0; // s after a failure in which idle connections are closed
    private static final int FLEET = 50; // senders: too many for each to learn it from a refusal of its own
    private static final double GONE_MEMORY = 5.0; // s, a target that is gone so long is forgotten
    private static final double NEVER = Double.POSITIVE_INFINITY;

    private Settings settings;
    private final SplittableRandom random;
    private final double crowd; // factor on pauses, as senders that see little repeat unseen by each other
    private final boolean tight; // a return bears less than a second of its capacity at once
    private final Map<Integer, Item> items = new LinkedHashMap<>();
    final Map<Integer, TargetState> targets = new LinkedHashMap<>();
    private final Map<Integer, Destination> destinations = new LinkedHashMap<>();
    private final Set<Destination> inStorm = new LinkedHashSet<>(); // with a bound on what is held
    private final Map<Long, KeyQueue> keys = new LinkedHashMap<>();
    private final Map<Integer, Double> tablesFull = new LinkedHashMap<>(); // by kind: no place was left
    private final Set<Integer> reporting = new TreeSet<>(); // kinds whose answers bring reports
    private final List<TokenBucket> quotas = new ArrayList<>();
    private final Map<TargetState, Call> forming = new LinkedHashMap<>();
    private final List<Gate> trials = new ArrayList<>();
    private final Set<TargetState> quiet = new LinkedHashSet<>(); // where a call or probe ended this round
    private List<Action> actions = new ArrayList<>();
    private int callsOut, trialsOut, trialsWaiting, askFailures;
    private double now = -NEVER, born, wake = NEVER, pendingWake = NEVER, askAt = NEVER;
    private long wakeToken, passes;
    private double reapedUntil, refutedAt, reapedAfter = NEVER; // idle connections dropped unseen, see idle
    private TargetState reapedAt;
    private boolean started;

    /** A decision module that knows its settings and draws its random numbers from the seed. */
    public Control(Settings settings, long seed) {
        this.settings = settings;
        random = new SplittableRandom(seed);
        Rules rules = settings.rules();
        double bears = rules.tipMultiple() * rules.coldFrom() * rules.tipAfter();
        tight = bears < 1;
        crowd = Math.max(1, Math.min(MOST_CROWD, settings.senders() / (CROWD * Math.pow(bears, 3))));
        for (Tenant tenant : settings.tenants()) {
            TokenBucket quota = new TokenBucket();
            quota.burst = QUOTA_BURST;
            quota.start(0, tenant.quota() / settings.senders());
            quotas.add(quota);
        }
    }

    /** Takes all events of a round, then sends what can be sent. */
    public List<Action> decide(double time, List<Event> events) {
        if (!(time >= now)) {
            throw new IllegalArgumentException("now must not go back from " + now + " to " + time);
        }
        now = time;
        born = started ? born : now;
        actions = new ArrayList<>();
        wake = NEVER;
        events.forEach(this::take);
        followList();
        dispatch();
        release();
        shed();
        keys.values().removeIf(queue -> queue.unused(now));
        setTimer();
        return actions;
    }

    private void take(Event event) {
        if (event instanceof Arrived e) {
            arrive(e.message());
        } else if (event instanceof Ended e) {
            end(e);
        } else if (event instanceof TargetList e) {
            list(e);
        } else if (event instanceof ListFailed) {
            double most = Math.max(FIRST_PAUSE, settings.rules().askWithin() / 2);
            askAt = now + pause(++askFailures, FIRST_PAUSE, most);
        } else if (event instanceof Retuned e) {
            settings = e.settings(); // a message taken before keeps its class: its item holds it
        } else if (event instanceof Withdrawn e && items.containsKey(e.message())) {
            finish(items.get(e.message()));
        } else if (event instanceof Woken e && e.token() == wakeToken) {
            pendingWake = NEVER;
        } else if (event instanceof Probed e && targets.containsKey(e.target())) {
            probed(targets.get(e.target()), e.ok());
        } else if (event instanceof AnswerPending e) {
            queue(e.key()).unacknowledged.add(e.message());
        } else if (event instanceof AnswerAcknowledged e
                && queue(e.key()).unacknowledged.remove(e.message())) {
            queue(e.key()).quietUntil = now + settings.rules().keyQuiet(); // an attempt may have ended just now
        } else if (event instanceof Advised e) {
            advise(destinations.computeIfAbsent(e.destination(), Destination::new), e);
        }
    }

    /** Heeds what was found of a destination beside single messages, a storm for example. */
    private void advise(Destination destination, Advised e) {
        destination.storm.refill(now);
        // Guards against all senders calling at once, as their notes tell all of them of one return.
        destination.storm.tokens = destination.storm.rate == NEVER
                ? 0
                : Math.min(destination.storm.tokens, e.back() ? random.nextDouble() : NEVER);
        destination.storm.rate = e.rate();
        destination.hold = e.hold();
        inStorm.add(destination);
        destination.roomAt = e.returnIn() > 0 ? now + e.returnIn() : 0;
        if (e.back() && destination.shared.open) {
            startRamp(destination.shared); // no trial is needed; the rate and a told wait still hold
        }
    }

    // ---- a message is taken ----

    private void arrive(Message message) {
        Item item = new Item(message, settings.classes().get(message.messageClass()), now);
        item.destination = destinations.computeIfAbsent(message.destination(), Destination::new);
        item.inShare = message.tenant() >= quotas.size()
                || quotas.get(message.tenant()).tryTake(now);
        items.put(message.id(), item);
        item.destination.held++;
        item.destination.taken++;
        if (item.kind.ordered() && message.key() != 0) {
            item.queue = queue(message.key());
            item.queue.items.add(item);
            item.queue.items.sort(Comparator.comparingLong(one -> one.message.takenAt())); // stable
        }
    }

    private KeyQueue queue(long key) {
        return keys.computeIfAbsent(key, unknown -> new KeyQueue());
    }

    // ---- it is sent ----

    private void dispatch() {
        forming.clear();
        trials.clear();
        List<Item> ready = new ArrayList<>();
        for (Item item : List.copyOf(items.values())) {
            if (item.call != null && silent(item.call)) {
                actions.add(new Cancel(item.message.id(), item.attempts - 1));
            } else if (!item.over && item.call == null && !givenUp(item) && due(item)) {
                // Worth that a send now would still win, by slot time; tenants within their share come first.
                item.rank = (item.inShare ? 1000 : 0) + worth(item) / item.destination.usual();
                ready.add(item);
            }
        }
        ready.sort(Comparator.comparingDouble((Item item) -> -item.rank));
        sendReady(ready);
        trialsWaiting = 0;
        if (!trials.isEmpty()) {
            trials.forEach(this::sendTrial);
            sendReady(ready); // a trial call takes on what fits into it
            trials.forEach(gate -> gate.trial = null);
        }
    }

    private void sendReady(List<Item> ready) {
        passes++;
        for (Item item : ready) {
            TargetState target = item.call == null ? choose(item) : null;
            if (target != null) {
                send(item, target, false);
            }
        }
    }

    /** Whether the item's pause is over and, in an ordered class, its turn has come. */
    private boolean due(Item item) {
        boolean fresh = item.queue != null && item.attempts == 0;
        double from = fresh ? Math.max(item.due, item.queue.quietUntil) : item.due;
        wakeBy(from > now ? from : NEVER);
        return from <= now && (item.queue == null || item.queue.hasTurn(item));
    }

    /** A step at the aim: by the real curve one just late takes the slot of one in time; both end late. */
    private double worth(Item item) {
        double left = item.deadline - item.kind.deadline() + item.kind.aim() - now;
        double share = left < item.destination.usual() ? item.kind.lateShare() : 1;
        return item.kind.worth() * share * (item.inShare ? 1 : settings.overShareWorth());
    }

    /** The usable target with the least work out, or null; a gate that waits for a trial notes the item. */
    private TargetState choose(Item item) {
        TargetState best = null;
        double least = NEVER;
        boolean all = item.safe; // what keeps this one here keeps all others
        if (item.destination.shut == passes) {
            return null; // guards the core: with much held, nearly all would be asked in vain in each round
        }
        for (TargetState target : item.destination.targets) {
            if (!target.info.ready() || !mayGo(item, target)) {
                continue;
            }
            all &= !target.gate.open; // a trial may wait for a fitter one
            Call call = forming.get(target);
            // A trial call is filled, but at one that hangs its time-out would bind what joins it.
            boolean joins = call != null && (!call.trial || item.safe || !target.gate.hung && !item.unsafe);
            if (call != null && call.size < target.kind.batch() && !call.outlasts(item, now)) {
                continue; // in the next round, by a call of its own
            }
            if (joins && call.size < target.kind.batch()) {
                return target;
            }
            // Guards against a flaky endpoint beside sound ones, more where a failure binds or is final.
            double flaky = (item.kind.zoneOnly() || item.unsafe ? FLAKY_BOUND : FLAKY) * target.failures.share(now);
            double load = (target.calls + 1) * target.usual() * (1 + flaky);
            load *= settings.crossZoneFee() > 0 && target.info.zone() != settings.zone() ? 2 : 1;
            // Guards an endpoint back from a drain against its full part: restarted meanwhile, it is cold.
            double warm = (now - target.backAt) / Math.max(settings.rules().warmWithin(), ANSWER_MARGIN);
            load = load / Math.max(settings.rules().coldFrom(), Math.min(1, warm)) + fee(item, target);
            if (load < least && target.calls + 1 <= target.cap && admits(target, item)) {
                best = target;
                least = load;
            }
        }
        item.destination.shut = best == null && all ? passes : item.destination.shut;
        return best;
    }

    /** A route's fee, in seconds of lateness that would cost the item as much worth. */
    private double fee(Item item, TargetState target) {
        MessageClass kind = item.kind;
        boolean charged =
                target.kind.apart() && target.info.zone() < settings.routeFees().size();
        double fee = charged ? settings.routeFees().get(target.info.zone()) : 0;
        return fee * (kind.deadline() - kind.aim()) / (1 - kind.lateShare());
    }

    /** Whether the target's gate lets a new call with the item pass now. */
    private boolean admits(TargetState target, Item item) {
        Gate gate = target.gate;
        if (!gate.open && silent(gate)) {
            trip(gate, "silence");
        }
        double stormAt = item.destination.storm.readyAt(now);
        if (gate.open && gate.toldUntil <= now && stormAt <= now) {
            offerTrial(gate, target, item);
            return false;
        }
        double at = Math.max(Math.max(gate.toldUntil, stormAt), Math.max(gate.pace.readyAt(now), rampReadyAt(gate)));
        if (item.unsafe && gate.failures.share(now) > UNSAFE_SHARE && item.deadline - now > UNSAFE_HURRY) {
            at = Math.max(at, now + FIRST_PAUSE / 4);
        }
        wakeBy(at > now ? at : NEVER);
        return at <= now && callsOut + trialsWaiting < settings.allowed().calls() && !overBulkhead(item.destination);
    }

    /** No sick or slow destination may hold all slots. */
    private boolean overBulkhead(Destination destination) {
        boolean slow = false;
        int out = 0;
        for (TargetState target : destination.targets) {
            out += target.calls;
            slow |= !target.gate.calls.isEmpty() && target.gate.calls.get(0).at < now - target.gate.silence();
        }
        return out >= Math.max(1, settings.allowed().calls() * (slow ? SLOW_BULKHEAD : BULKHEAD));
    }

    private void send(Item item, TargetState target, boolean trial) {
        Gate gate = target.gate;
        Call call = forming.get(target);
        if (call == null || call.size >= target.kind.batch()) {
            call = new Call(target, now, trial, idle(target));
            forming.put(target, call);
            gate.calls.add(call);
            target.calls++;
            callsOut++;
            trialsOut += trial ? 1 : 0;
            gate.pace.take(now);
            gate.ramp.take(now);
            item.destination.storm.take(now);
        }
        call.size++;
        call.open++;
        call.earliest = Math.min(call.earliest, item.deadline);
        item.call = call;
        item.attempts++;
        boolean wait = item.unsafe && callsOut < settings.allowed().calls() * SCARCE;
        double patience = Math.max(item.kind.aim(), target.longest()) * (wait ? UNSAFE_PATIENCE : 1);
        double timeout = call.trial ? TRIAL_PATIENCE * gate.silence() : patience;
        actions.add(new Send(item.message.id(), target.info.id(), Math.min(timeout, item.deadline - now)));
    }

    /** Seconds a new call's connection was idle, 0 for a new one; closes those likely dropped unseen. */
    private double idle(TargetState target) {
        double idle = now - target.lastUse;
        boolean kept = idle <= settings.allowed().keepAlive();
        boolean dropped = now < reapedUntil && (target.calls > 0 || idle > reapedAfter);
        if (kept && dropped) {
            actions.add(new CloseIdle(target.info.id()));
        }
        return !kept || dropped || target.calls > 0 ? 0 : idle;
    }

    /** Closes what is idle where a connection found no place lately, at its kind at least, and in a fleet. */
    private void release() {
        for (TargetState target : quiet) {
            boolean full = now - tablesFull.getOrDefault(target.info.kind(), -NEVER) < IDLE_MEMORY;
            if (target.calls == 0 && (full || settings.senders() > FLEET)) {
                actions.add(new CloseIdle(target.info.id()));
                target.lastUse = -NEVER;
            }
        }
        quiet.clear();
    }

    // ---- its attempt ends ----

    private void end(Ended e) {
        TargetState from = targets.get(e.target());
        if (from != null && e.told() > 0) { // every answer counts, late or not, each message's of a call
            from.gate.toldUntil = Math.max(from.gate.toldUntil, now + e.told() + TOLD_MARGIN);
        }
        Item item = items.get(e.message());
        if (item == null || item.call == null || e.attempt() != item.attempts - 1) {
            return;
        }
        Call call = item.call;
        item.call = null;
        if (!call.judged) {
            call.judged = true;
            judge(call, e);
        }
        boolean kept = e.outcome() == Outcome.DELIVERED || e.outcome() == Outcome.FULL;
        call.target.lastUse = kept ? now : -NEVER; // the connection is idle now, or was lost
        quiet.add(call.target);
        if (--call.open == 0) {
            call.target.gate.calls.remove(call);
            call.target.calls--;
            callsOut--;
            trialsOut -= call.trial ? 1 : 0;
        }
        if (item.queue != null && e.outcome().mayStillRun()) {
            item.queue.quietUntil = now + settings.rules().keyQuiet();
        }
        if (!e.outcome().neverRan() && !item.mayHaveRun) {
            item.mayHaveRun = true;
            item.mayHaveRunSince = call.at;
            item.mayHaveRunZone = call.target.info.zone();
        }
        if (e.over() || item.over) {
            finish(item);
            return;
        }
        double spread = TOLD_JITTER * crowd * Math.pow(Math.min(2, crowd), item.attempts - 1);
        boolean limit = e.outcome() == Outcome.FULL && !connectionFault(call, e); // which others spend unseen
        double first = FIRST_PAUSE * (limit ? crowd : 1);
        double told = e.told() * (1 + spread * (e.told() > 0 ? random.nextDouble() : 0));
        item.due = now + (told > 0 ? told : pause(item.attempts, first, PAUSE_CAP));
        givenUp(item);
    }

    /** Half of a doubling, capped base and a random share of the other half. */
    private double pause(int failures, double first, double cap) {
        double base = Math.min(first * Math.pow(2, Math.max(0, failures - 1)), cap);
        return base / 2 + random.nextDouble() * base / 2;
    }

    // ---- what may have run: the one place that knows what it forbids ----

    private boolean mayGo(Item item, TargetState target) {
        return !item.mayHaveRun || !item.kind.zoneOnly() || target.info.zone() == item.mayHaveRunZone;
    }

    private boolean mayRefuse(Item item) {
        return !item.mayHaveRun || item.safe || !item.unsafe && !item.kind.zoneOnly();
    }

    /** The last moment at which the item may be sent. */
    private double lastSend(Item item) {
        boolean spent = item.attempts >= settings.allowed().attempts() || item.mayHaveRun && item.unsafe;
        double last = spent ? -NEVER : item.deadline - ANSWER_MARGIN - item.destination.usual() / 2;
        double window = item.mayHaveRunSince + item.kind.keyWindow() - ANSWER_MARGIN;
        return !item.mayHaveRun || item.safe ? last : Math.min(last, window);
    }

    // ---- it is given up ----

    /** Answers at once an item that cannot be sent any more before its time; true if so. */
    private boolean givenUp(Item item) {
        double last = lastSend(item);
        if (Math.max(now, Math.max(item.due, item.destination.toldUntil())) <= last) {
            wakeBy(last + ANSWER_MARGIN / 2);
            return false;
        }
        answer(item);
        return true;
    }

    private void answer(Item item) {
        if (mayRefuse(item)) {
            double after = Math.max(Math.max(FIRST_PAUSE, room(item)), item.destination.toldUntil() - now);
            actions.add(new Refuse(item.message.id(), settings.allowed().retryAfter(after)));
        } else {
            actions.add(new Fail(item.message.id()));
        }
        finish(item);
        if (item.queue != null && item.message.acknowledged()) {
            item.queue.unacknowledged.add(item.message.id());
        }
    }

    private void finish(Item item) {
        item.over = true;
        if (item.call != null) {
            return;
        }
        item.destination.held -= items.remove(item.message.id()) == null ? 0 : 1;
        if (item.queue != null) {
            item.queue.items.remove(item);
        }
    }

    /** Sheds the least worth by room and time, where the most is held, before the held room runs out. */
    private void shed() {
        for (Destination destination : inStorm) {
            while (destination.held > destination.hold && shedOne(destination)) {
                continue; // Guards sound destinations: no storm may fill the held room
            }
        }
        while (items.size() > settings.allowed().held() * ROOM && shedOne(null)) {
            continue;
        }
    }

    /** Answers the item of least worth, of one destination or of all; false if none may be refused. */
    private boolean shedOne(Destination only) {
        Item least = items.values().stream()
                .filter(item -> item.call == null
                        && !item.over
                        && mayRefuse(item)
                        && (only == null || item.destination == only))
                .min(Comparator.comparingDouble(item -> worth(item) / item.destination.held))
                .orElse(null);
        if (least != null) {
            answer(least);
        }
        return least != null;
    }

    /** Seconds until there will be room for the item; each refused in a storm has a place of its own. */
    private double room(Item item) {
        Destination destination = item.destination;
        if (destination.roomAt == 0) {
            return 0;
        }
        destination.roomAt = Math.max(destination.roomAt, now) + (0.5 + random.nextDouble()) / destination.storm.rate;
        double most = settings.allowed().maxRetryAfter(); // beyond it all would return together
        double in = Math.min(destination.roomAt - now, most * (0.5 + random.nextDouble() / 2));
        return Math.min(in, Math.max(0, item.deadline - now));
    }

    // ---- the destination is judged ----

    private void judge(Call call, Ended e) {
        TargetState target = call.target;
        Gate gate = target.gate;
        boolean lost = e.outcome() == Outcome.RESET || e.outcome() == Outcome.TIMED_OUT;
        if (call.idle > 0 && lost && call.at > refutedAt) {
            reapedUntil = now + IDLE_MEMORY;
            reapedAfter = Math.min(reapedAfter, call.idle / 2);
            reapedAt = target;
        } else if (call.idle == 0 && target == reapedAt && e.outcome() != Outcome.DELIVERED) {
            reapedUntil = now; // a new connection failed there as well: the destination's trouble
            reapedAfter = NEVER;
            refutedAt = now;
        }
        if (noPlace(call, e)) {
            tablesFull.put(target.info.kind(), now);
        }
        if (connectionFault(call, e)) {
            target.failures.note(now, e.outcome() == Outcome.FULL ? 1 : target.failures.share(now));
            gate.trialOut &= !call.trial;
            return;
        }
        target.failures.note(now, e.outcome() == Outcome.DELIVERED || e.outcome() == Outcome.FULL ? 0 : 1);
        if (e.outcome() == Outcome.DELIVERED) {
            gate.rampCut = Math.min(1, gate.rampCut * RAMP_CLIMB);
        } else if (call.at > gate.rampCutAt && e.outcome() != Outcome.CANCELLED) {
            // Guards against overrunning a cold destination: by calls of this return, once a round trip.
            gate.rampCut = Math.max(LEAST_RAMP, gate.rampCut * RAMP_CUT);
            gate.rampCutAt = now;
        }
        if (e.report() != null) {
            gate.reported = true;
            reporting.add(target.info.kind());
            gate.known = e.report().limit();
            // Guards against a pace that lags behind a limit that is back: others leave room for this share.
            if (call.at > gate.pace.cutAt + REPORT_AGE && e.report().left() > LEAST_LEFT) {
                gate.pace.raise(now, gate.known / settings.senders());
            }
        }
        switch (e.outcome()) {
            case DELIVERED -> {
                target.answered(e.elapsed());
                target.lastOk = now;
                gate.lastOk = now;
                target.lastOkSent = Math.max(target.lastOkSent, call.at);
                target.cap += target.calls >= target.cap - 1 ? 0.1 : 0;
                succeeded(gate, call.trial);
            }
            case FULL -> full(gate, call, e.told());
            case NOT_CONNECTED -> {
                // Guards against taking a full connection table for an outage: other calls still succeed.
                boolean succeeds = target.lastOk > now - settings.allowed().connectTimeout();
                if (!gate.open && target.calls > 1 && succeeds) {
                    tablesFull.put(target.info.kind(), now);
                    target.cap = Math.max(1, target.calls - 1);
                } else {
                    failed(gate, call.trial, "failed connects");
                }
            }
            case ERROR, RESET -> failed(gate, call.trial, "errors");
            case TIMED_OUT -> failed(gate, call.trial, "time-outs");
            default -> gate.trialOut &= !call.trial;
        }
    }

    /** The connection's fault, or a full table's while calls succeed: the next tells of the destination. */
    private boolean connectionFault(Call call, Ended e) {
        return call.idle > 0 && e.outcome() == Outcome.RESET
                || noPlace(call, e) && call.target.gate.lastOk > now - SHUT_AFTER;
    }

    /** Whether no connection had room: all other answers of the kind, refusals too, bring reports. */
    private boolean noPlace(Call call, Ended e) {
        return e.barelyRefused() && reporting.contains(call.target.info.kind());
    }

    private void probed(TargetState target, boolean ok) {
        Gate gate = target.gate;
        quiet.add(target);
        if (gate.trialOut && ok) {
            succeeded(gate, true);
        } else if (gate.trialOut) {
            failed(gate, true, "probe");
        }
    }

    private void succeeded(Gate gate, boolean trial) {
        gate.failures.note(now, 0);
        gate.successes.add(now);
        gate.best = Math.max(gate.best, gate.successes.get(now));
        // An outage may be too short to open it; where a return bears much that is as likely a full table.
        if (gate.open ? trial || gate.hung : row(gate)) {
            startRamp(gate);
        }
        gate.badSince = NEVER;
        gate.bad = 0;
        gate.pace.succeeded(now);
    }

    private void failed(Gate gate, boolean trial, String reason) {
        noteBad(gate);
        gate.failures.note(now, 1);
        // Guards a dead route beside sound ones, which many senders would each find anew: one opens it.
        if (gate.open ? trial : gate.failures.share(now) > TRIP_SHARE || crowd > 1 && row(gate) || spare(gate)) {
            trip(gate, reason);
        }
    }

    /** Guards fail-back where senders see too few calls for a share: some in a row count, over a while. */
    private boolean row(Gate gate) {
        return tight && gate.bad > 1 && gate.badSince < now - SHUT_AFTER / 2;
    }

    /** Whether a sender that sees too little of a route to judge it by a share has another way. */
    private boolean spare(Gate gate) {
        return demand(gate) * SHUT_AFTER < 1
                && gate.destination.targets.stream()
                        .anyMatch(other -> other.info.ready() && other.gate != gate && !other.gate.open);
    }

    private void full(Gate gate, Call call, double wait) {
        noteBad(gate);
        // A cold destination refuses for want of capacity: slow start answers that, not the pace.
        if (call.at >= gate.pace.cutAt && gate.rampFrom == NEVER && !gate.open && wait <= SHUT_AFTER) {
            // Guards against jams: a told wait proves a limit, which rare senders would spend on refusals.
            // Guards restarts: where none is reported, the few successes so far measure nothing.
            double share = (gate.known > 0 ? gate.known : gate.listed) / settings.senders();
            double part = Math.max(demand(gate.destination), Math.max(gate.known, LEAST_CAPACITY) / settings.senders());
            double least = wait > 0 && crowd > 1 ? Math.min(LEAST_PACE, part) : LEAST_PACE;
            gate.pace.cut(now, Math.max(gate.successes.get(now), share), least);
            gate.pace.tokens = gate.pace.rate < LEAST_PACE ? random.nextDouble() : gate.pace.tokens;
        }
        if (gate.open ? call.trial : wait > SHUT_AFTER || call.at > gate.badSince && now - gate.badSince > SHUT_AFTER) {
            trip(gate, "shut");
        }
    }

    /** Messages a second that this sender has taken for the destination. */
    private double demand(Destination destination) {
        return destination.taken / (now - born + EventRate.SPAN);
    }

    /** This gate's part of them. */
    private double demand(Gate gate) {
        return demand(gate.destination) * gate.targets.size() / gate.destination.targets.size();
    }

    private void noteBad(Gate gate) {
        gate.badSince = gate.bad++ == 0 ? now : gate.badSince;
    }

    /** Guards slots, when all are out, against connections gone silent: later calls there are answered. */
    private boolean silent(Call call) {
        boolean passed = call.target.lastOkSent - call.at > LEAST_SILENCE / 2;
        boolean overdue = now - call.at > Math.max(LEAST_SILENCE, call.target.longest());
        return passed
                && overdue
                && settings.allowed().cancel()
                && callsOut >= settings.allowed().calls();
    }

    private boolean silent(Gate gate) {
        int overdue = 0;
        for (Call call : gate.calls) {
            overdue += call.at > gate.lastOk && call.at < now - gate.silence() ? 1 : 0;
        }
        return overdue > 1 || overdue == 1 && gate.bad > 0;
    }

    // ---- the breaker opens, tries and closes ----

    private void trip(Gate gate, String reason) {
        if (!gate.open) {
            gate.trips = 0;
            gate.badSince = Math.min(gate.badSince, now);
            gate.bad = Math.max(1, gate.bad);
            actions.add(new Log("open " + gate.name + " reason=" + reason));
        }
        gate.open = true;
        freeSlots(gate, reason.equals("silence"));
        gate.hung = reason.equals("silence") || reason.equals("time-outs");
        gate.trialOut = false;
        gate.trips++;
        gate.rampFrom = NEVER;
        // Guards limits and cold servers against trials in turn; where none gets through, against none.
        double turns = reason.equals("failed connects") && gate.toldUntil <= now ? 1 : crowd;
        double cap = gate.toldUntil > now ? REFUSED_COOLDOWN_CAP : COOLDOWN_CAP;
        double cooldown = turns * Math.min(FIRST_COOLDOWN * Math.pow(2, gate.trips - 1), cap);
        gate.openUntil = Math.max(now, gate.toldUntil) + pause(1, Math.max(bearable(gate), cooldown), NEVER);
    }

    /** Seconds between one sender's trials: those of all that know are no more than a cold one bears. */
    private double bearable(Gate gate) {
        double part = Math.max(demand(gate), gate.listed / settings.senders());
        double known = Math.min(Math.max(now - gate.badSince, spare(gate) ? SHUT_AFTER : 0), 1 / part);
        Rules rules = settings.rules();
        double bears = rules.tipMultiple() * rules.coldFrom();
        double n = bears * Math.max(part * settings.senders(), LEAST_CAPACITY) * rules.tipAfter();
        bears *= crowd > 1 ? TRIAL_PART * (1 + 2 / Math.sqrt(n) + 2 / n) : 1;
        return known / bears * (spare(gate) ? 2 : 1);
    }

    /** Guards slots against many destinations hanging at once: calls off what may be repeated at one. */
    private void freeSlots(Gate gate, boolean silence) {
        boolean scarce = callsOut >= settings.allowed().calls() * SCARCE;
        if (silence && settings.allowed().cancel() && scarce) {
            items.values().stream()
                    .filter(item -> item.call != null && item.call.target.gate == gate && !item.unsafe)
                    .forEach(item -> actions.add(new Cancel(item.message.id(), item.attempts - 1)));
        }
    }

    /** Notes the item best fit for a trial. */
    private void offerTrial(Gate gate, TargetState target, Item item) {
        wakeBy(gate.openUntil > now ? gate.openUntil : NEVER);
        if (gate.openUntil > now || gate.trialOut) {
            return;
        }
        if (gate.trial == null && trials.add(gate) || trialOrder(item) < trialOrder(gate.trial)) {
            gate.trial = item;
            gate.trialTarget = target;
        }
    }

    /** Freely repeated ones first, then what is bound anyway, never repeated ones last. */
    private static int trialOrder(Item item) {
        return 2 * item.kind.effect().ordinal() - (item.mayHaveRun ? 1 : 0);
    }

    private void sendTrial(Gate gate) {
        Item item = gate.trial;
        TargetState target = gate.trialTarget;
        if (item.call != null) {
            return;
        }
        if (item.unsafe && settings.allowed().probes()) {
            gate.trialOut = true;
            actions.add(new Probe(target.info.id()));
        } else if (trialsOut < Math.max(1, settings.allowed().calls() * TRIAL_BULKHEAD)) {
            // Guards trials against starving while freed slots go to sound ones, and slots against trials.
            trialsWaiting = now < gate.openUntil + COOLDOWN_CAP ? trialsWaiting : 1;
            if (callsOut < settings.allowed().calls()) {
                gate.trialOut = true;
                send(item, target, true);
            }
        }
    }

    private void startRamp(Gate gate) {
        gate.open = false;
        gate.trialOut = false;
        gate.trips = 0;
        gate.failures.share = 0;
        gate.rampFrom = now;
        gate.rampCut = 1;
        gate.rampCutAt = now;
        gate.pace.raise(now, gate.best); // refusals of the outage measured no limit
        gate.ramp.start(now, rampRate(gate));
        gate.ramp.tokens = crowd > 1 && tight ? random.nextDouble() : 0;
        actions.add(new Log("slow start " + gate.name + " rate=" + gate.ramp.rate));
    }

    /** Calls a second that this sender may send a destination on its way back from an outage. */
    private double rampRate(Gate gate) {
        double part =
                Math.min(1, (now - gate.rampFrom) / Math.max(settings.rules().warmWithin(), ANSWER_MARGIN));
        double present = settings.rules().coldFrom() + (1 - settings.rules().coldFrom()) * part;
        double own = crowd > 1 && tight ? demand(gate) : gate.best;
        double capacity = Math.max(own, Math.max(gate.listed, LEAST_CAPACITY) / settings.senders());
        double trying = crowd > 1 && tight ? 1 - TRIAL_PART / 2 : 1; // guards the sum: others still try
        return settings.rules().tipMultiple() * present * capacity * gate.rampCut * trying;
    }

    private double rampReadyAt(Gate gate) {
        if (now - gate.rampFrom > settings.rules().warmWithin()) {
            gate.rampFrom = NEVER;
            gate.ramp.rate = NEVER;
        }
        if (gate.rampFrom == NEVER) {
            return now;
        }
        gate.ramp.refill(now);
        gate.ramp.rate = rampRate(gate);
        return gate.ramp.readyAt(now);
    }

    // ---- the list of targets ----

    private void list(TargetList event) {
        askFailures = 0;
        askAt = NEVER;
        if (event.whole()) {
            targets.values().forEach(target -> target.info = target.info.gone());
        }
        forget();
        for (Target info : event.targets()) {
            TargetState known = targets.get(info.id());
            if (known != null) {
                boolean back = known.info.phase() == Phase.DRAINING && info.phase() == Phase.READY;
                known.backAt = back ? now : known.backAt;
                known.info = info;
            } else if (info.phase() != Phase.GONE) {
                known = new TargetState(info, settings.kinds().get(info.kind()));
                Destination destination = destinations.computeIfAbsent(info.destination(), Destination::new);
                String route = destination.shared.name + " route=" + info.id();
                known.gate = known.kind.apart() ? new Gate(destination, route) : destination.shared;
                known.gate.targets.add(known);
                destination.targets.add(known);
                targets.put(info.id(), known);
            }
            if (known != null && settings.weight() != Weight.NONE && info.phase() != Phase.GONE) {
                known.gate.listed = info.weight();
                known.gate.known = known.gate.reported ? known.gate.known : info.weight();
            }
        }
    }

    /** Guards against lists that only grow: drops what is long gone; a probe out has ended by then. */
    private void forget() {
        for (TargetState target : List.copyOf(targets.values())) {
            target.readyAt = target.info.ready() || target.calls > 0 ? now : target.readyAt;
            if (target.info.phase() == Phase.GONE && target.readyAt < now - GONE_MEMORY) {
                target.gate.targets.remove(target);
                target.gate.destination.targets.remove(target);
                targets.remove(target.info.id());
            }
        }
    }

    /** Opens the watch on the list at the start and again, after a pause, when it failed. */
    private void followList() {
        if (settings.askForList() && (!started || askAt <= now)) {
            actions.add(new Watch(true));
            askAt = NEVER;
        }
        started = true;
        wakeBy(askAt);
    }

    private void wakeBy(double time) {
        wake = Math.min(wake, time);
    }

    private void setTimer() {
        wake = Math.max(wake, now + 0.001);
        if (wake < pendingWake) {
            pendingWake = wake;
            actions.add(new WakeAt(wake, ++wakeToken));
        }
    }

    // ---- what is known ----

    /** A message in hand. */
    private static final class Item {
        final Message message;
        final MessageClass kind;
        final double deadline;
        Destination destination;
        KeyQueue queue;
        final boolean safe, unsafe; // to repeat
        boolean inShare, over, mayHaveRun;
        int attempts, mayHaveRunZone;
        Call call;
        double due, rank, mayHaveRunSince;

        Item(Message message, MessageClass kind, double now) {
            this.message = message;
            this.kind = kind;
            safe = kind.effect() == Effect.SAFE;
            unsafe = kind.effect() == Effect.UNSAFE;
            deadline = now + message.timeLeft();
            attempts = message.attempts(); // after a restart of the sender, see the forwarder's journal
            mayHaveRun = message.ran() != null; // Guards the window: it runs on over the sender's restart
            mayHaveRunSince = mayHaveRun ? now - message.ran().ago() : 0;
            mayHaveRunZone = mayHaveRun ? message.ran().zone() : 0;
        }
    }

    /** Messages of one key, in the order taken; the first has the turn. */
    private static final class KeyQueue {
        final List<Item> items = new ArrayList<>();
        final Set<Integer> unacknowledged = new TreeSet<>(); // messages whose answers hold the others
        double quietUntil;

        boolean hasTurn(Item item) {
            return items.get(0) == item && (item.attempts > 0 || unacknowledged.isEmpty());
        }

        boolean unused(double now) {
            return items.isEmpty() && unacknowledged.isEmpty() && quietUntil <= now;
        }
    }

    /** A call out: one or more messages, one fate. */
    private static final class Call {
        final TargetState target;
        final boolean trial;
        final double at, idle; // when it was sent; s the connection was unused before
        int size, open;
        boolean judged;
        double earliest = NEVER; // deadline of those that share it, at which it ends for all of them

        Call(TargetState target, double at, boolean trial, double idle) {
            this.idle = idle;
            this.target = target;
            this.at = at;
            this.trial = trial;
        }

        /** Whether it will be answered before the deadlines of the item and of those that share it already. */
        boolean outlasts(Item item, double now) {
            return Math.min(earliest, item.deadline) - now >= SHARED_ROOM * target.usual();
        }
    }

    /** A destination: its targets, behind one gate or, where routes are apart, one gate each. */
    private static final class Destination {
        final List<TargetState> targets = new ArrayList<>();
        final Gate shared; // where routes are not apart; outlives its targets, as waits and paces do
        final TokenBucket storm = new TokenBucket(); // what this sender may call there in a storm
        int held, taken, hold = Integer.MAX_VALUE;
        double roomAt; // when there will be room in a storm for the next one refused
        long shut; // the pass over the items in which none of its own can be sent any more

        Destination(int id) {
            shared = new Gate(this, "destination=" + id);
        }

        double usual() {
            double sum = 0; // asked for each message in each round: no streams here and below
            for (TargetState target : targets) {
                sum += target.usual();
            }
            return targets.isEmpty() ? FIRST_GUESS : sum / targets.size();
        }

        /** The end of the told wait that holds all usable targets. */
        double toldUntil() {
            double until = NEVER;
            for (TargetState target : targets) {
                until = target.info.ready() ? Math.min(until, target.gate.toldUntil) : until;
            }
            return until == NEVER ? 0 : until;
        }
    }

    /** A target: phase, calls out, usual response time, cap on connections. */
    private static final class TargetState {
        final Kind kind;
        final FailureShare failures = new FailureShare();
        double cap = NEVER, lastOk = -NEVER, lastOkSent = -NEVER, lastUse = -NEVER, backAt = -NEVER;
        Gate gate;
        Target info;
        int calls;
        double srtt, deviation, readyAt = -NEVER; // and when last seen listed or with a call out

        TargetState(Target info, Kind kind) {
            this.info = info;
            this.kind = kind;
        }

        void answered(double elapsed) {
            if (srtt == 0) {
                srtt = elapsed;
                deviation = elapsed / 2;
            } else {
                deviation += (Math.abs(elapsed - srtt) - deviation) / 4;
                srtt += (elapsed - srtt) / 8;
            }
        }

        double usual() {
            return srtt == 0 ? FIRST_GUESS : Math.max(srtt, 0.001);
        }

        double longest() {
            return srtt + TIMEOUT_DEVIATIONS * deviation;
        }
    }

    /** What is known of a destination or, where routes are apart, of a route. */
    private static final class Gate {
        final String name;
        final Destination destination;
        final List<TargetState> targets = new ArrayList<>();
        final List<Call> calls = new ArrayList<>();
        final AdaptiveRateLimiter pace = new AdaptiveRateLimiter();
        final TokenBucket ramp = new TokenBucket();
        final EventRate successes = new EventRate();
        final FailureShare failures = new FailureShare();
        double badSince = NEVER, rampFrom = NEVER, rampCut = 1, lastOk = -NEVER;
        double toldUntil, known, best, listed, rampCutAt, openUntil;
        boolean reported, open, hung, trialOut;
        int bad, trips;
        Item trial;
        TargetState trialTarget;

        Gate(Destination destination, String name) {
            this.destination = destination;
            this.name = name;
        }

        double silence() {
            double longest = LEAST_SILENCE;
            for (TargetState target : targets) {
                longest = Math.max(longest, target.srtt + SILENCE_DEVIATIONS * target.deviation);
            }
            return longest;
        }
    }
}
