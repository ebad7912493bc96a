package juniperusher.core;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicBoolean;
import juniperusher.Protocol.Effect;
import juniperusher.Protocol.Fail;
import juniperusher.Protocol.MessageClass;
import juniperusher.Protocol.Refuse;
import juniperusher.clock.SteadyClock;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The life of one RPC, from top to bottom, as one chain of futures: a thread for each would not fit into a
 * small relay. The module is asked at each point of choice: it is told of the arrival and of each attempt's
 * end, and its next choice completes the future that the chain goes on from.
 */
final class Rpc {
    private static final Logger LOG = LoggerFactory.getLogger(Rpc.class);

    private final int number;
    private final RpcRequest request;
    private final MessageClass kind;
    private final long orderKey;
    private final Relay relay;
    private volatile CompletableFuture<Object> choice = new CompletableFuture<>();
    private int attempts;
    private volatile SharedCall out;
    private volatile SharedCall last; // the call of the last attempt, which may be out still, or null
    private volatile boolean over;
    private final AtomicBoolean ended = new AtomicBoolean(); // its final answer is decided, once
    private volatile Journal.Attempt ran; // the first attempt that may have run, or null

    Rpc(int number, RpcRequest request, MessageClass kind, Relay relay) {
        this.number = number;
        this.request = request;
        this.kind = kind;
        this.orderKey = OrderKeys.of(request, kind);
        this.relay = relay;
    }

    /** The same, as an earlier process left it; {@code request} names the place that its class has now. */
    Rpc(Journal.Owed left, RpcRequest request, MessageClass kind, Relay relay) {
        this(left.number(), request, kind, relay);
        attempts = left.attempts();
        ran = left.ran();
    }

    /** From the arrival on. */
    void live() {
        CompletableFuture<Object> first = choice;
        relay.arrived(this, attempts, ran);
        turn(first);
    }

    /** From one choice of the module to the next, or to the end. */
    private void turn(CompletableFuture<Object> chosen) {
        chosen.thenCompose(made -> {
                    // Laid out before the module hears anything, since its next choice may come at once.
                    CompletableFuture<Object> next = new CompletableFuture<>();
                    choice = next;
                    if (made instanceof SharedCall call) {
                        return attempt(call, next);
                    } else if (made instanceof Refuse refuse) {
                        end(RpcEnd.Kind.HANDED_BACK, refuse.after());
                    } else if (made instanceof Fail) {
                        end(RpcEnd.Kind.GIVEN_UP, 0);
                    } else {
                        turn(next);
                    }
                    return CompletableFuture.<Void>completedFuture(null);
                })
                .exceptionally(this::broken);
    }

    private CompletableFuture<Void> attempt(SharedCall call, CompletableFuture<Object> next) {
        int attempt = attempts++;
        Journal.Attempt sent;
        CompletableFuture<CallResult> ended;
        out = call;
        try {
            sent = relay.journal().attempt(number, call.target().zone());
            last = call;
            MessageLog.attempt(this, attempt, call);
            ended = call.join(this);
        } catch (JournalUnavailableException e) {
            sent = null;
            call.leave(this); // the others go without it
            ended = relay.heldBack();
        }
        Journal.Attempt written = sent;
        return ended.thenAccept(result -> {
            out = null;
            ran = ran == null && !result.end().outcome().neverRan() ? written : ran;
            over = result.end() == CallEnd.DELIVERED || result.end() == CallEnd.OVER;
            relay.attemptEnded(this, attempt, call, result, over);
            if (over) {
                end(RpcEnd.Kind.DELIVERED, 0);
            } else {
                turn(next);
            }
        });
    }

    private void end(RpcEnd.Kind kind, double retryIn) {
        over = true;
        if (!ended.compareAndSet(false, true)) {
            return; // it has its one final answer
        }
        relay.end(this, new RpcEnd(request.id(), request.returnAddress(), kind, retryIn));
    }

    /** Guards against an RPC that nobody answers for: what broke is unknown, so it may have run. */
    private Void broken(Throwable why) {
        LOG.error("RPC {} failed", number, why);
        boolean delivered = over;
        SharedCall shared = out;
        if (shared != null) {
            shared.fail(this);
        }
        if (!ended.get()) {
            relay.abandon(this, attempts - 1, shared);
            end(delivered ? RpcEnd.Kind.DELIVERED : RpcEnd.Kind.GIVEN_UP, 0);
        }
        return null;
    }

    /**
     * Ends it, its call first, as its time is up and nothing else has: the last resort, whatever became of the module's
     * choice or of the call's end.
     */
    void expire() {
        LOG.atError()
                .addKeyValue("id", request.id())
                .addKeyValue("attempts", attempts)
                .addKeyValue("call_out", out != null)
                .log("no end in its time, given up");
        SharedCall shared = out;
        if (shared != null) {
            shared.fail(this);
        }
        relay.withdraw(this);
        end(RpcEnd.Kind.GIVEN_UP, 0);
    }

    /** The module's choice: a {@link SharedCall}, a {@link Refuse} or a {@link Fail}. */
    void choose(Object made) {
        choice.complete(made);
    }

    void callOff() {
        SharedCall call = out;
        if (call != null) {
            call.callOff(this);
        }
    }

    /** Whether a call with it may still start; asked just before the first byte. */
    boolean mayStart() {
        return !over && timeLeft() > 0 && mayRepeat() && relay.mayStart(this);
    }

    /**
     * Guards the window for repeats, and what may never be repeated, against a connection that took its time
     * to come up: the module chose to send before it.
     */
    private boolean mayRepeat() {
        Journal.Attempt first = ran;
        return first == null
                || kind.effect() == Effect.SAFE
                || kind.effect() == Effect.KEYED && SteadyClock.millis() - first.at() < kind.keyWindow() * 1000;
    }

    int number() {
        return number;
    }

    /** Key of its order as the module knows it, 0 for none. */
    long orderKey() {
        return orderKey;
    }

    /** Runs the action once no attempt of it is out any more. */
    void afterLastCall(Runnable action) {
        SharedCall call = last;
        if (call == null) {
            action.run();
        } else {
            call.afterCall(this, action);
        }
    }

    RpcRequest request() {
        return request;
    }

    double timeLeft() {
        return (request.deadline() - SteadyClock.millis()) / 1000.0;
    }
}
