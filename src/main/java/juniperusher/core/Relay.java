package juniperusher.core;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import juniperusher.Control;
import juniperusher.Protocol.Action;
import juniperusher.Protocol.AnswerAcknowledged;
import juniperusher.Protocol.AnswerPending;
import juniperusher.Protocol.AttemptEnded;
import juniperusher.Protocol.CancelAttempt;
import juniperusher.Protocol.CloseIdle;
import juniperusher.Protocol.EarlierAttempt;
import juniperusher.Protocol.Effect;
import juniperusher.Protocol.Event;
import juniperusher.Protocol.Fail;
import juniperusher.Protocol.Log;
import juniperusher.Protocol.Message;
import juniperusher.Protocol.MessageAccepted;
import juniperusher.Protocol.MessageClass;
import juniperusher.Protocol.MessageWithdrawn;
import juniperusher.Protocol.Outcome;
import juniperusher.Protocol.Probe;
import juniperusher.Protocol.ProbeEnded;
import juniperusher.Protocol.Refuse;
import juniperusher.Protocol.Send;
import juniperusher.Protocol.SendNote;
import juniperusher.Protocol.Settings;
import juniperusher.Protocol.SettingsChanged;
import juniperusher.Protocol.Target;
import juniperusher.Protocol.TargetList;
import juniperusher.Protocol.Tenant;
import juniperusher.clock.SteadyClock;
import juniperusher.membership.Membership;
import juniperusher.membership.Snapshot;
import juniperusher.memory.HeapExhaustion;
import juniperusher.memory.HeapShares;
import juniperusher.memory.MemoryBudget;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The core of the relay: accepts or refuses RPCs, passes them to the decision module, carries out the module's actions
 * and reports the end of each accepted RPC to its front.
 *
 * <p>All fronts are added with {@link #addFront} before {@link #start}. After that, {@link #submit}, {@link
 * #updateEndpoints}, {@link #post(Event)} and {@link #updateSettings} may be called by any thread.
 */
public final class Relay {
    private static final Logger LOG = LoggerFactory.getLogger(Relay.class);
    private static final long LAST_ROUND_TIMEOUT_MILLIS = 300;
    // The advice given with a refusal for lack of room; equal to the decision module's first retry delay.
    private static final double FULL_RETRY_AFTER_SECONDS = 0.5;
    // Well below the 100 ms in which calls are still permitted after an answer with a retry-after delay.
    private static final long SHARED_DELAYS_POLL_MILLIS = 25;
    // Between two attempts to write the steps that a failing state folder lacks.
    private static final long CATCH_UP_DELAY_MILLIS = 50;
    // Time past its deadline at which a message without an end fails permanently.
    private static final double OVERDUE_GRACE_SECONDS = 0.1;
    // Leaves the decision module time to decide on recovered messages first.
    private static final long FIRST_EXPIRY_CHECK_MILLIS = 2_000;
    private static final long EXPIRY_CHECK_INTERVAL_MILLIS = 50;
    // Delay before the decision module hears of an attempt that the journal could not record.
    private static final long HELD_BACK_DELAY_MILLIS = 200;

    private volatile Settings settings;
    // indexes into Settings.classes(), see wasEverUnsafe
    private final Set<Integer> classesEverUnsafe = ConcurrentHashMap.newKeySet();
    private final Journal journal;
    private final Path stateFolder;
    private SharedRetryDelays sharedRetryDelays; // null unless another process may share the folder
    private final OrderHandover orderHandover;
    private final Counters counters;
    private final Subchannels subchannels;
    private final NoteSender noteSender;
    private final RoundInterceptor interceptor; // may be null
    private final DecisionLoop decisionLoop;
    private final CallPreconditions callPreconditions = new CallPreconditions();
    private final Map<String, Front> fronts = new HashMap<>();
    private final Map<Integer, Rpc> pending = new ConcurrentHashMap<>();
    private final Map<String, Rpc> pendingByKey = new ConcurrentHashMap<>();
    private final Set<String> keysBeingAdmitted = ConcurrentHashMap.newKeySet();
    private final AdmissionLimits limits;
    private final ReturnedMessages returnedMessages;
    private final AtomicBoolean catchUpScheduled = new AtomicBoolean();
    private volatile long noUnsafeCallsAfterMillis = Long.MAX_VALUE;
    private volatile long noCallsAfterMillis = Long.MAX_VALUE;
    private final ScheduledThreadPoolExecutor timers = new ScheduledThreadPoolExecutor(1, task -> {
        Thread thread = new Thread(null, task, "call-timers", 128 * 1024);
        thread.setDaemon(true);
        return thread;
    });
    private Thread loopThread;

    /** Sends datagrams to the other relays. */
    public interface NoteSender {
        /** Sends the note to the relay of number {@code to}, or to all other relays where it is -1. */
        void send(int to, byte[] note);
    }

    /**
     * Opens the journal in {@code stateFolder}.
     *
     * @param seed seed of the decision module's random numbers
     * @param minRoundSeconds minimum time between the starts of two rounds of the decision module
     * @param stateFolder folder of the journal and of the files shared by the two processes of an upgrade
     * @param diskBytes upper bound of the journal's size
     * @param interceptor sees the events and actions of each round; may be null
     * @throws IOException where the folder cannot be created or read
     */
    public Relay(
            Settings settings,
            long seed,
            double minRoundSeconds,
            Path stateFolder,
            long diskBytes,
            Counters counters,
            Subchannels subchannels,
            NoteSender noteSender,
            RoundInterceptor interceptor)
            throws IOException {
        this(
                settings,
                seed,
                minRoundSeconds,
                stateFolder,
                new Journal(stateFolder, diskBytes, settings.limits().maxPending()),
                counters,
                subchannels,
                noteSender,
                interceptor);
    }

    /** Uses a journal that is already open. */
    Relay(
            Settings settings,
            long seed,
            double minRoundSeconds,
            Path stateFolder,
            Journal journal,
            Counters counters,
            Subchannels subchannels,
            NoteSender noteSender,
            RoundInterceptor interceptor) {
        this.settings = settings;
        recordUnsafeClasses(settings);
        this.counters = counters;
        this.subchannels = subchannels;
        this.noteSender = noteSender;
        this.interceptor = interceptor;
        // a thread that fails to start later would leave calls without a timeout
        timers.prestartCoreThread();
        // otherwise the timer of each answered call would be kept until its timeout
        timers.setRemoveOnCancelPolicy(true);
        this.journal = journal;
        this.stateFolder = stateFolder;
        decisionLoop = new DecisionLoop(new Control(settings, seed), interceptor, minRoundSeconds, this::carryOut);
        orderHandover = new OrderHandover(new SuccessorMark(stateFolder), decisionLoop::post);
        returnedMessages =
                new ReturnedMessages(journal, orderHandover, pendingByKey::containsKey, fronts::get, counters);
        MemoryBudget messageBudget = new MemoryBudget(HeapShares.ofThisProcess().messageBytes());
        limits = new AdmissionLimits(
                () -> this.settings.limits().maxPending(), decisionLoop::queuedCount, new MessageMemory(messageBudget));
        counters.gauge("held", pending::size);
        counters.gauge("decisions_queued", decisionLoop::queuedCount);
        counters.gauge("message_bytes", messageBudget::reservedBytes);
        counters.gauge("message_bytes_limit", messageBudget::limitBytes);
        counters.gauge("journal_bytes", journal::sizeBytes);
        counters.gauge("journal_behind", () -> journal.isBehind() ? 1 : 0);
        counters.gauge("journal_write_failures", journal::failedWrites);
        counters.gauge("journal_snapshots", journal::snapshotCount);
        counters.gauge("journal_snapshot_bytes", journal::snapshotBytesWritten);
        counters.gauge("journal_longest_snapshot_seconds", journal::longestSnapshotSeconds);
        journal.onBehind(this::scheduleCatchUp);
    }

    /** Adds a front. All fronts have to be added before {@link #start}. */
    public void addFront(Front front) {
        fronts.put(front.name(), front);
    }

    /**
     * Shares retry-after delays with the other process of an upgrade through a file in the state folder: a delay
     * announced to either process delays calls in both. Has to be called before {@link #start}; without it the file is
     * neither read nor written.
     */
    public void shareRetryDelays() {
        sharedRetryDelays = new SharedRetryDelays(stateFolder);
    }

    /**
     * Starts the decision thread and resumes the messages that an earlier process left unfinished. As the successor at
     * an upgrade, first waits up to a second for the running process to yield ordered messages.
     *
     * @param knownEndpoints endpoints to begin with
     */
    public void start(Snapshot knownEndpoints) {
        updateEndpoints(knownEndpoints, Membership.fullTargetList(knownEndpoints));
        if (journal.isSuccessor()) {
            orderHandover.awaitOwnerYield();
        }
        for (UnfinishedMessage entry : journal.recovered()) {
            recover(entry);
        }
        loopThread = new Thread(decisionLoop, "decide");
        loopThread.start();
        timers.scheduleWithFixedDelay(
                this::expireOverdue, FIRST_EXPIRY_CHECK_MILLIS, EXPIRY_CHECK_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
        if (sharedRetryDelays != null) {
            timers.scheduleWithFixedDelay(
                    this::applySharedRetryDelays,
                    SHARED_DELAYS_POLL_MILLIS,
                    SHARED_DELAYS_POLL_MILLIS,
                    TimeUnit.MILLISECONDS);
        }
        if (journal.isSuccessor()) {
            Thread takeOver = new Thread(null, this::takeOverFromPredecessor, "take-over", 256 * 1024);
            takeOver.setDaemon(true);
            takeOver.start();
        }
    }

    /**
     * Applies changed settings. Accepted RPCs keep their classes; later ones use the new classes and limits. Existing
     * classes keep their index, and new ones are appended.
     */
    public void updateSettings(Settings newSettings) {
        recordUnsafeClasses(newSettings);
        settings = newSettings;
        decisionLoop.post(new SettingsChanged(newSettings));
    }

    private void recordUnsafeClasses(Settings newSettings) {
        for (int classIndex = 0; classIndex < newSettings.classes().size(); classIndex++) {
            if (newSettings.classes().get(classIndex).effect() == Effect.UNSAFE) {
                classesEverUnsafe.add(classIndex);
            }
        }
    }

    /**
     * Whether the class at that index has ever had the effect {@code UNSAFE} in this process, so that its RPCs are not
     * repeated. A class that becomes less strict while an RPC of it is in progress would otherwise allow a repeat.
     */
    private boolean wasEverUnsafe(int classIndex) {
        return classesEverUnsafe.contains(classIndex);
    }

    /** Delays calls to the destinations whose retry-after delay was announced to the other process of an upgrade. */
    private void applySharedRetryDelays() {
        Map<Integer, Long> delays;
        try {
            if (!journal.isSuccessor()) {
                orderHandover.checkForSuccessor();
            }
            delays = sharedRetryDelays.pollChanges();
        } catch (IOException | RuntimeException e) {
            // an exception would cancel this periodic task
            LOG.atWarn().log("files shared with the other process cannot be read: {}", e.toString());
            return;
        }
        if (delays != null) {
            long nowMillis = SteadyClock.millis();
            delays.forEach(
                    (destination, until) -> callPreconditions.delayCalls(destination, (until - nowMillis) / 1000.0));
        }
    }

    /**
     * At an upgrade: waits for the end of the process before this one, then resumes its unfinished messages as a
     * restart would. Until then the other process alone sends and answers them.
     */
    private void takeOverFromPredecessor() {
        try {
            List<UnfinishedMessage> entries = journal.takeOverFromPredecessor();
            for (UnfinishedMessage entry : entries) {
                if (pendingByKey.containsKey(entry.request().key())) {
                    // Its client resubmitted it to this process, which reports its one end.
                    journal.writeAcknowledged(entry.number());
                } else {
                    recover(entry);
                }
            }
            counters.add("taken_over_total", "result", "done");
        } catch (IOException | RuntimeException e) {
            LOG.atError().log("unfinished messages of the previous process cannot be taken over: {}", e.toString());
            counters.add("taken_over_total", "result", "failed");
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            orderHandover.ownerEnded();
        }
    }

    private void recover(UnfinishedMessage entry) {
        int classIndex = classIndexOf(entry);
        MessageClass messageClass = classIndex < 0 ? null : settings.classes().get(classIndex);
        RpcRequest request = classIndex < 0 ? entry.request() : entry.request().withMessageClass(classIndex);
        Rpc rpc = new Rpc(entry, request, messageClass, this);
        MessageLog.recovered(entry, rpc.secondsLeft());
        limits.recovered(entry);
        if (entry.end() != null) {
            postAnswerPending(rpc);
            reportEnd(rpc, entry.end(), true);
            return;
        }
        addPending(rpc);
        if (entry.mayHaveRun()) {
            postAnswerPending(rpc);
            // its attempt may still run: later messages of its key wait for the quiet time of the key
            postAnswerAcknowledged(rpc);
        }
        if (entry.mayHaveRun() && (classIndex < 0 || wasEverUnsafe(classIndex))) {
            // A repeat could cause the effect twice: an attempt may have run, and its outcome is unknown.
            postAnswerPending(rpc);
            finish(rpc, new RpcEnd(request.id(), request.returnAddress(), RpcEnd.Kind.GIVEN_UP, 0));
        } else if (classIndex < 0) {
            LOG.atWarn()
                    .addKeyValue("class", entry.className())
                    .log("message returned to its client: its class is no longer in the settings");
            finish(rpc, new RpcEnd(request.id(), request.returnAddress(), RpcEnd.Kind.HANDED_BACK, 0));
        } else {
            // also past its deadline: the decision module chooses between failing and returning it
            rpc.start();
        }
    }

    /**
     * Index of the message's class in the current settings, or -1. The class is found by its name: its recorded index
     * may stand for another class after a restart with other settings, which could make an unsafe RPC repeatable.
     */
    private int classIndexOf(UnfinishedMessage entry) {
        List<MessageClass> classes = settings.classes();
        int recordedIndex = entry.request().messageClass();
        if (entry.className().isEmpty()) {
            // written by a version that did not record class names
            return recordedIndex < classes.size() ? recordedIndex : -1;
        }
        for (int classIndex = 0; classIndex < classes.size(); classIndex++) {
            if (classes.get(classIndex).name().equals(entry.className())) {
                return classIndex;
            }
        }
        return -1;
    }

    // ---- an RPC comes in ----

    /**
     * Accepts or refuses the RPC and notifies the channel before returning. A resubmission counts as accepted and is
     * not delivered a second time: an RPC whose key is still pending, or, if {@link RpcRequest#acceptOnce} is set,
     * ended recently. Safe for threads.
     */
    public void submit(RpcRequest request, Channel channel) {
        if (!keysBeingAdmitted.add(request.key())) {
            refuse(request, channel, "twice"); // another connection is submitting the same id at this moment
            return;
        }
        try {
            admit(request, channel);
        } finally {
            keysBeingAdmitted.remove(request.key());
        }
    }

    private void admit(RpcRequest request, Channel channel) {
        ReturnedMessages.Sighting sighting = returnedMessages.find(request);
        if (sighting.status() == ReturnedMessages.Status.UNREADABLE) {
            refuse(request, channel, "disk");
            return;
        }
        if (sighting.status() == ReturnedMessages.Status.ACCEPTED_BEFORE) {
            returnedMessages.answer(request, channel, sighting);
            return;
        }
        AdmissionLimits.Reason refusal = limits.admit(request);
        if (refusal != null) {
            refuse(request, channel, refusal.name().toLowerCase(Locale.ROOT));
            return;
        }
        MessageClass messageClass = settings.classes().get(request.messageClass());
        if (OrderKeys.of(request, messageClass) == 0) {
            accept(request, messageClass, channel);
            return;
        }
        orderHandover.runInIntakeOrder(() -> accept(request, messageClass, channel));
    }

    private void accept(RpcRequest request, MessageClass messageClass, Channel channel) {
        int number;
        try {
            number = journal.writeAccepted(request, messageClass.name());
        } catch (JournalUnavailableException e) {
            limits.notAccepted(request);
            refuse(request, channel, "disk");
            return;
        }
        if (returnedMessages.findAtOtherProcess(request).status() != ReturnedMessages.Status.NEW) {
            // Both processes accept it at the same moment. Each sees the other's record, unless one came first.
            journal.writeAcknowledged(number);
            limits.notAccepted(request);
            refuse(request, channel, "twice");
            return;
        }
        counters.add("taken_total", "front", request.front(), "class", "" + request.messageClass());
        Rpc rpc = new Rpc(number, request, messageClass, this);
        pending.put(number, rpc);
        pendingByKey.put(request.key(), rpc);
        MessageLog.accepted(number, request, rpc.secondsLeft());
        if (!channel.accepted()) {
            withdrawUntold(rpc);
            return;
        }
        orderHandover.accepted(number, rpc.orderKey());
        rpc.start();
    }

    /** Forgets a message whose client left before it could be told that it is accepted, and which is not sent yet. */
    private void withdrawUntold(Rpc rpc) {
        RpcRequest request = rpc.request();
        journal.writeAcknowledged(rpc.number());
        pending.remove(rpc.number());
        pendingByKey.remove(request.key(), rpc);
        limits.notAccepted(request);
        counters.add("withdrawn_total", "front", request.front());
        MessageLog.withdrawn(request);
    }

    private void refuse(RpcRequest request, Channel channel, String reason) {
        counters.add("refused_total", "front", request.front(), "why", reason);
        MessageLog.refused(request, reason);
        if (interceptor != null) {
            interceptor.requestRefused(request);
        }
        channel.refused(new UnavailableStatus(FULL_RETRY_AFTER_SECONDS));
    }

    private void addPending(Rpc rpc) {
        pending.put(rpc.number(), rpc);
        pendingByKey.put(rpc.request().key(), rpc);
    }

    /** Whether a resolver result or an extension has ever named the destination. */
    public boolean knowsDestination(int destination) {
        return callPreconditions.knowsDestination(destination);
    }

    /** Passes a new or recovered RPC to the decision module. {@code firstPossibleRun} may be null. */
    void postArrival(Rpc rpc, int attemptsUsed, Attempt firstPossibleRun) {
        RpcRequest request = rpc.request();
        long acceptedAtMicros = rpc.orderKey() == 0 ? 0 : journal.acceptedAtMicros(rpc.number());
        // The time left is read when the round starts, not now: an event may queue while the decision thread is busy.
        decisionLoop.postDeferred(() -> new MessageAccepted(new Message(
                rpc.number(),
                request.messageClass(),
                tenantIndex(request),
                request.destination(),
                rpc.orderKey(),
                Math.max(0, rpc.secondsLeft()),
                attemptsUsed,
                firstPossibleRun == null
                        ? null
                        : new EarlierAttempt(
                                (SteadyClock.millis() - firstPossibleRun.startedAtMillis()) / 1000.0,
                                firstPossibleRun.zoneIndex()),
                request.resubmitted()
                        || interceptor != null && interceptor.isUnmarkedResubmission(rpc.number(), request),
                acceptedAtMicros,
                true)));
    }

    /**
     * Index of the request's tenant in the settings. A tenant that is not listed gets the last index, which has no
     * share.
     */
    private int tenantIndex(RpcRequest request) {
        List<Tenant> tenants = settings.tenants();
        for (int index = 0; index < tenants.size(); index++) {
            if (tenants.get(index).name().equals(request.tenant())) {
                return index;
            }
        }
        return Math.max(0, tenants.size() - 1);
    }

    // ---- events for the decision module ----

    /**
     * Applies a resolver result: calls are checked against {@code snapshot} at once, and the decision module receives
     * {@code list} unless it is an empty partial list.
     */
    public void updateEndpoints(Snapshot snapshot, TargetList list) {
        callPreconditions.updateMembers(snapshot);
        if (list.fullList() || !list.targets().isEmpty()) {
            decisionLoop.post(list);
        }
    }

    /** Passes an event of a front, such as a peer note, to the decision module unchanged. */
    public void post(Event event) {
        decisionLoop.post(event);
    }

    /**
     * Records the end of an attempt and passes it to the decision module.
     *
     * @param finished whether the RPC has ended with it, so that the journal needs no outcome
     */
    void attemptEnded(Rpc rpc, int attempt, SharedCall call, CallResult result, boolean finished) {
        Target target = call.target();
        if (!finished) {
            journal.writeOutcome(rpc.number(), result.end().outcome().neverRan());
        }
        counters.add("attempts_total", "end", result.end().name().toLowerCase(Locale.ROOT));
        MessageLog.attemptEnded(rpc, attempt, call, result);
        decisionLoop.post(new AttemptEnded(
                rpc.number(),
                attempt,
                target.id(),
                result.end().outcome(),
                call.elapsedSeconds(),
                finished,
                result.retryAfterSeconds(),
                result.report()));
    }

    /**
     * Tells the decision module that the RPC has ended, with its attempt, because of an error in this relay. {@code
     * callInFlight} may be null.
     */
    void postInternalFailure(Rpc rpc, int attempt, SharedCall callInFlight) {
        postAnswerPending(rpc);
        if (callInFlight != null) {
            decisionLoop.post(new AttemptEnded(
                    rpc.number(),
                    attempt,
                    callInFlight.target().id(),
                    Outcome.ERROR,
                    callInFlight.elapsedSeconds(),
                    true,
                    0,
                    null));
        } else {
            decisionLoop.post(new MessageWithdrawn(rpc.number()));
        }
    }

    // ---- actions of the decision module ----

    private void carryOut(List<Action> actions) {
        Map<Integer, SharedCall> latestCallByTarget = new HashMap<>();
        List<Runnable> callStarts = new ArrayList<>();
        for (Action action : actions) {
            if (action instanceof Send send) {
                Rpc rpc = pending.get(send.message());
                if (rpc != null) {
                    SharedCall call = callFor(send, rpc, latestCallByTarget);
                    call.add(rpc, send.timeout());
                    callStarts.add(() -> rpc.applyDecision(call));
                }
            } else if (action instanceof Refuse refuse) {
                passDecision(refuse.message(), refuse);
            } else if (action instanceof Fail fail) {
                passDecision(fail.message(), fail);
            } else if (action instanceof CancelAttempt cancel) {
                Rpc rpc = pending.get(cancel.message());
                if (rpc != null) {
                    rpc.cancelAttempt();
                }
            } else if (action instanceof Probe probe) {
                probe(probe.target());
            } else if (action instanceof CloseIdle close) {
                Target target = callPreconditions.target(close.target());
                if (target != null) {
                    subchannels.closeIdle(target);
                }
            } else if (action instanceof SendNote note) {
                noteSender.send(note.to(), note.note());
            } else if (action instanceof Log log) {
                LOG.info(log.line());
            }
        }
        callStarts.forEach(Runnable::run);
    }

    private SharedCall callFor(Send send, Rpc rpc, Map<Integer, SharedCall> latestCallByTarget) {
        SharedCall call = latestCallByTarget.get(send.target());
        Target target = callPreconditions.target(send.target());
        if (call == null || call.size() >= settings.kinds().get(target.kind()).maxBatch() || !call.hasRoomFor(rpc)) {
            call = new SharedCall(
                    target,
                    subchannels,
                    () -> callPreconditions.mayCall(target.id(), target.destination()),
                    timers,
                    result -> applyRetryAfter(target, result));
            latestCallByTarget.put(send.target(), call);
        }
        return call;
    }

    /**
     * Delays calls to the destination as soon as an answer with a retry-after delay is read, before the RPCs and the
     * decision module are notified.
     */
    private void applyRetryAfter(Target target, CallResult result) {
        if (result.retryAfterSeconds() > 0) {
            callPreconditions.delayCalls(target.destination(), result.retryAfterSeconds());
            if (sharedRetryDelays != null) {
                sharedRetryDelays.add(
                        target.destination(),
                        SteadyClock.millis() + (long) Math.ceil(result.retryAfterSeconds() * 1000));
            }
        }
    }

    private void passDecision(int message, Object decision) {
        Rpc rpc = pending.get(message);
        if (rpc != null) {
            rpc.applyDecision(decision);
        }
    }

    private void probe(int id) {
        Target target = callPreconditions.target(id);
        if (target == null || !callPreconditions.mayCall(target.id(), target.destination())) {
            decisionLoop.post(new ProbeEnded(id, false, false, 0));
            return;
        }
        counters.add("probes_total");
        subchannels.probe(
                target, (ok, full, elapsed) -> decisionLoop.post(new ProbeEnded(target.id(), ok, full, elapsed)));
    }

    // ---- journal write failures ----

    private void scheduleCatchUp() {
        if (catchUpScheduled.compareAndSet(false, true)) {
            schedule(CATCH_UP_DELAY_MILLIS, this::catchUpJournal);
        }
    }

    private void catchUpJournal() {
        catchUpScheduled.set(false);
        if (!journal.catchUp()) {
            scheduleCatchUp();
        }
    }

    // ---- overdue messages ----

    /**
     * Ends messages that neither the decision module nor a call has ended within {@link #OVERDUE_GRACE_SECONDS} of
     * their deadline.
     */
    private void expireOverdue() {
        try {
            pending.values().stream()
                    .filter(rpc -> rpc.secondsLeft() < -OVERDUE_GRACE_SECONDS)
                    .forEach(rpc -> {
                        counters.add(
                                "expired_total", "class", "" + rpc.request().messageClass());
                        rpc.expire();
                    });
        } catch (RuntimeException | Error e) {
            HeapExhaustion.endProcessIfCausedBy(e);
            LOG.error("overdue messages cannot be ended", e); // an exception would cancel this periodic task
        }
    }

    /** Removes the RPC from the decision module's pending messages. */
    void withdraw(Rpc rpc) {
        postAnswerPending(rpc);
        decisionLoop.post(new MessageWithdrawn(rpc.number()));
    }

    /** Runs the action after the delay, or never if this relay is closed by then. */
    private void schedule(long delayMillis, Runnable action) {
        try {
            timers.schedule(action, delayMillis, TimeUnit.MILLISECONDS);
        } catch (RejectedExecutionException e) {
            // the next process resumes what is unfinished
            LOG.debug("timer not scheduled, the relay is closed: {}", e.toString());
        }
    }

    /**
     * Result of an attempt that was not sent because the journal could not record it. It completes after a delay, so
     * that the decision module does not retry at once.
     */
    CompletableFuture<CallResult> heldBackResult() {
        CompletableFuture<CallResult> result = new CompletableFuture<>();
        schedule(HELD_BACK_DELAY_MILLIS, () -> result.complete(CallResult.of(CallEnd.HELD_BACK)));
        return result;
    }

    // ---- an RPC ends ----

    /** Records the one end of an RPC, removes it from the pending ones and reports the end to its front. */
    void finish(Rpc rpc, RpcEnd end) {
        RpcRequest request = rpc.request();
        boolean written = journal.writeEnd(rpc.number(), end);
        pending.remove(rpc.number());
        pendingByKey.remove(request.key(), rpc);
        limits.ended(request);
        rpc.runAfterLastCall(rpc::dropPayload);
        counters.add(
                "answered_total",
                "front",
                request.front(),
                "class",
                "" + request.messageClass(),
                "end",
                end.kind().name().toLowerCase(Locale.ROOT));
        MessageLog.ended(rpc, end);
        orderHandover.finished(rpc.number());
        if (written) {
            reportEnd(rpc, end, false);
        } else {
            reportOnceWritten(rpc, end);
        }
    }

    /**
     * Reports an end that is not yet in the journal: once it is written, or at the RPC's deadline at the latest. If
     * this process were killed after an earlier report, the next one could send an RPC whose end its client already
     * knows.
     */
    private void reportOnceWritten(Rpc rpc, RpcEnd end) {
        AtomicBoolean reported = new AtomicBoolean();
        Runnable reportOnce = () -> {
            if (reported.compareAndSet(false, true)) {
                reportEnd(rpc, end, false);
            }
        };
        journal.runOnceWritten(reportOnce);
        schedule(Math.max(0, (long) (rpc.secondsLeft() * 1000)), reportOnce);
    }

    /** Makes later messages with the same order key wait until this one's end is acknowledged. */
    private void postAnswerPending(Rpc rpc) {
        if (rpc.orderKey() != 0) {
            decisionLoop.post(new AnswerPending(rpc.number(), rpc.orderKey()));
        }
    }

    private void reportEnd(Rpc rpc, RpcEnd end, boolean maybeRepeated) {
        Front front = fronts.get(rpc.request().front());
        if (front == null || !front.reportsEnd(end)) {
            onAcknowledged(rpc);
        } else if (front.orderWaitsForAcknowledgement()) {
            front.report(end, maybeRepeated, () -> onAcknowledged(rpc));
        } else {
            front.report(end, maybeRepeated, () -> {
                MessageLog.reported(rpc.request());
                writeAcknowledged(rpc);
            });
            postAnswerAcknowledged(rpc);
        }
    }

    private void onAcknowledged(Rpc rpc) {
        writeAcknowledged(rpc);
        postAnswerAcknowledged(rpc);
    }

    private void writeAcknowledged(Rpc rpc) {
        if (journal.writeAcknowledged(rpc.number())) {
            limits.acknowledged();
        }
    }

    private void postAnswerAcknowledged(Rpc rpc) {
        if (rpc.orderKey() != 0) {
            rpc.runAfterLastCall(() -> decisionLoop.post(new AnswerAcknowledged(rpc.number(), rpc.orderKey())));
        }
    }

    /** Stops the decision thread and all timers. Pending messages stay unfinished in the journal. */
    public void close() throws InterruptedException {
        decisionLoop.stop();
        loopThread.join(LAST_ROUND_TIMEOUT_MILLIS); // the last round's actions are carried out
        timers.shutdownNow();
    }

    /** Closes the journal. Has to be called after all connections have closed, since each may still report an end. */
    public void closeJournal() {
        journal.close();
    }

    Journal journal() {
        return journal;
    }

    /** Number of pending RPCs, without those that the successor of an upgrade will send. */
    public int pendingCount() {
        return pending.size() - orderHandover.heldBackCount();
    }

    /**
     * Stops new calls before a shutdown. Calls in flight may end; pending RPCs are left to the next process. Both times
     * are milliseconds of {@link SteadyClock}.
     *
     * @param unsafeMillis time from which no call of an unsafe class starts
     * @param allMillis time from which no call starts
     */
    public void stopCallsAfter(long unsafeMillis, long allMillis) {
        noUnsafeCallsAfterMillis = unsafeMillis;
        noCallsAfterMillis = allMillis;
    }

    /** Whether a call that carries the RPC may still start, given the times set by {@link #stopCallsAfter}. */
    boolean mayStart(Rpc rpc) {
        long nowMillis = SteadyClock.millis();
        return nowMillis < noCallsAfterMillis
                && (nowMillis < noUnsafeCallsAfterMillis
                        || !wasEverUnsafe(rpc.request().messageClass()));
    }
}
