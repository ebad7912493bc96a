package juniperusher.core;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicBoolean;
import juniperusher.Protocol.Effect;
import juniperusher.Protocol.Fail;
import juniperusher.Protocol.MessageClass;
import juniperusher.Protocol.Refuse;
import juniperusher.clock.SteadyClock;
import juniperusher.memory.HeapExhaustion;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The state machine of one accepted RPC, written as a chain of futures because a thread for each RPC would need too
 * much memory on a small relay. The decision module receives the arrival and the end of each attempt; its next decision
 * completes the future that the chain waits for.
 */
final class Rpc {
    private static final Logger LOG = LoggerFactory.getLogger(Rpc.class);

    private final int number;
    private volatile RpcRequest request; // without its payload once nothing needs that any more
    private final MessageClass messageClass;
    private final long orderKey;
    private final Relay relay;
    private volatile CompletableFuture<Object> nextDecision = new CompletableFuture<>();
    private int attempts;
    private volatile SharedCall callInFlight; // null between attempts
    private volatile SharedCall lastCall; // may still be in flight; null before the first attempt
    private volatile boolean finished;
    private final AtomicBoolean endDecided = new AtomicBoolean();
    private volatile Attempt firstPossibleRun; // null if no attempt can have run

    Rpc(int number, RpcRequest request, MessageClass messageClass, Relay relay) {
        this.number = number;
        this.request = request;
        this.messageClass = messageClass;
        this.orderKey = OrderKeys.of(request, messageClass);
        this.relay = relay;
    }

    /**
     * An RPC that an earlier process left unfinished.
     *
     * @param request the request with the current index of its class
     * @param messageClass its class, null if the settings no longer contain it
     */
    Rpc(UnfinishedMessage entry, RpcRequest request, MessageClass messageClass, Relay relay) {
        this(entry.number(), request, messageClass, relay);
        attempts = entry.attempts();
        firstPossibleRun = entry.firstPossibleRun();
    }

    /** Passes the arrival to the decision module and waits for its first decision. */
    void start() {
        CompletableFuture<Object> firstDecision = nextDecision;
        relay.postArrival(this, attempts, firstPossibleRun);
        onDecision(firstDecision);
    }

    /** Carries out a decision once it is made, then waits for the next one or ends the RPC. */
    private void onDecision(CompletableFuture<Object> decisionMade) {
        decisionMade
                .thenCompose(decision -> {
                    // Set before the decision module is notified, since its next decision may follow at once.
                    CompletableFuture<Object> next = new CompletableFuture<>();
                    nextDecision = next;
                    if (decision instanceof SharedCall call) {
                        return runAttempt(call, next);
                    } else if (decision instanceof Refuse refuse) {
                        finish(RpcEnd.Kind.HANDED_BACK, refuse.retryAfter());
                    } else if (decision instanceof Fail) {
                        finish(RpcEnd.Kind.GIVEN_UP, 0);
                    } else {
                        onDecision(next);
                    }
                    return CompletableFuture.<Void>completedFuture(null);
                })
                .exceptionally(this::onFailure);
    }

    private CompletableFuture<Void> runAttempt(SharedCall call, CompletableFuture<Object> next) {
        int attempt = attempts++;
        Attempt record;
        CompletableFuture<CallResult> result;
        callInFlight = call;
        try {
            record = relay.journal().writeAttempt(number, call.target().zone());
            lastCall = call;
            MessageLog.attempt(this, attempt, call);
            result = call.join(this);
        } catch (JournalUnavailableException e) {
            record = null;
            call.leave(this); // the other RPCs of the call go without it
            result = relay.heldBackResult();
        }
        Attempt recordedAttempt = record;
        return result.thenAccept(callResult -> {
            callInFlight = null;
            firstPossibleRun =
                    firstPossibleRun == null && !callResult.end().outcome().neverRan()
                            ? recordedAttempt
                            : firstPossibleRun;
            finished = callResult.end() == CallEnd.DELIVERED || callResult.end() == CallEnd.OVER;
            relay.attemptEnded(this, attempt, call, callResult, finished);
            if (finished) {
                finish(RpcEnd.Kind.DELIVERED, 0);
            } else {
                onDecision(next);
            }
        });
    }

    private void finish(RpcEnd.Kind kind, double retryAfterSeconds) {
        finished = true;
        if (!endDecided.compareAndSet(false, true)) {
            return; // an RPC ends only once
        }
        relay.finish(this, new RpcEnd(request.id(), request.returnAddress(), kind, retryAfterSeconds));
    }

    /** Ends the RPC after an unexpected error, which would otherwise leave it without an end. It may have run. */
    private Void onFailure(Throwable cause) {
        HeapExhaustion.endProcessIfCausedBy(cause);
        LOG.error("RPC {} ended by an internal error", number, cause);
        boolean delivered = finished;
        SharedCall call = callInFlight;
        if (call != null) {
            call.fail(this);
        }
        if (!endDecided.get()) {
            relay.postInternalFailure(this, attempts - 1, call);
            finish(delivered ? RpcEnd.Kind.DELIVERED : RpcEnd.Kind.GIVEN_UP, 0);
        }
        return null;
    }

    /** Ends an overdue RPC, after its call, whether or not the decision module or the call still responds. */
    void expire() {
        LOG.atError()
                .addKeyValue("id", request.id())
                .addKeyValue("attempts", attempts)
                .addKeyValue("call_out", callInFlight != null)
                .log("message failed permanently: it had no end by its deadline");
        SharedCall call = callInFlight;
        if (call != null) {
            call.fail(this);
        }
        relay.withdraw(this);
        finish(RpcEnd.Kind.GIVEN_UP, 0);
    }

    /** Applies a decision: a {@link SharedCall}, a {@link Refuse} or a {@link Fail}. */
    void applyDecision(Object decision) {
        nextDecision.complete(decision);
    }

    /** Cancels the attempt in flight, if any. */
    void cancelAttempt() {
        SharedCall call = callInFlight;
        if (call != null) {
            call.cancel(this);
        }
    }

    /** Whether a call that carries this RPC may still start. Checked immediately before the first byte. */
    boolean mayStart() {
        return !finished && secondsLeft() > 0 && mayRepeat() && relay.mayStart(this);
    }

    /**
     * Whether a further attempt is allowed if an earlier one may have run. The decision module has checked this too,
     * but establishing the connection may have outlasted the repeat window since.
     */
    private boolean mayRepeat() {
        Attempt firstRun = firstPossibleRun;
        return firstRun == null
                || messageClass.effect() == Effect.SAFE
                || messageClass.effect() == Effect.KEYED
                        && SteadyClock.millis() - firstRun.startedAtMillis() < messageClass.keyWindow() * 1000;
    }

    int number() {
        return number;
    }

    /** Its order key as in {@link OrderKeys}, 0 if it is not ordered. */
    long orderKey() {
        return orderKey;
    }

    /** Runs the action once no attempt of this RPC is in flight. */
    void runAfterLastCall(Runnable action) {
        SharedCall call = lastCall;
        if (call == null) {
            action.run();
        } else {
            call.runAfterCall(this, action);
        }
    }

    RpcRequest request() {
        return request;
    }

    /** Drops the payload, which nothing needs after the end of the RPC and of its last call. */
    void dropPayload() {
        request = request.withoutBody();
    }

    /** Seconds until its deadline, negative after it. */
    double secondsLeft() {
        return (request.deadlineMillis() - SteadyClock.millis()) / 1000.0;
    }
}
