package juniperusher.core;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import juniperusher.Protocol.Target;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * One call and the RPCs that share it: one connection, one fate. It starts when the last of them has
 * joined, so that each has its attempt in the journal before the first byte.
 */
final class SharedCall {
    private static final Logger LOG = LoggerFactory.getLogger(SharedCall.class);
    // s before the earliest deadline at which a call of several ends, so that each has its end in time
    private static final double ENDS_EARLY = 0.02;

    private static final AtomicLong LAST_NUMBER = new AtomicLong();

    private final Target target;
    private final Subchannels subchannels;
    private final Subchannels.Clearance clearance;
    private final ScheduledExecutorService timers;
    private final Consumer<CallResult> heard;
    private final List<Member> members = new ArrayList<>();
    private double timeout;
    private Subchannels.Call call;
    private boolean abandoned;
    private final long madeAt = System.nanoTime();
    private final long number = LAST_NUMBER.incrementAndGet(); // tells calls apart in the log

    private static final class Member {
        final Rpc rpc;
        final CompletableFuture<CallResult> result = new CompletableFuture<>();
        final CompletableFuture<Void> callEnded = new CompletableFuture<>(); // may be later than the result
        boolean joined;
        boolean calledOff;

        Member(Rpc rpc) {
            this.rpc = rpc;
        }
    }

    /** {@code heard} takes each result at once, before any RPC does. */
    SharedCall(
            Target target,
            Subchannels subchannels,
            Subchannels.Clearance clearance,
            ScheduledExecutorService timers,
            Consumer<CallResult> heard) {
        this.target = target;
        this.subchannels = subchannels;
        this.clearance = clearance;
        this.timers = timers;
        this.heard = heard;
    }

    /** Number of the call within this process, by which the log names it. */
    long number() {
        return number;
    }

    Target target() {
        return target;
    }

    /** Seconds since the module chose to send. */
    double elapsed() {
        return (System.nanoTime() - madeAt) / 1e9;
    }

    int size() {
        return members.size();
    }

    /** Adds an RPC; only the decision loop does so, before any has joined. */
    void add(Rpc rpc, double wanted) {
        members.add(new Member(rpc));
        timeout = Math.max(timeout, wanted);
    }

    /** Joins; this RPC's result is to come. The last to join starts the call. */
    CompletableFuture<CallResult> join(Rpc rpc) {
        Member self =
                members.stream().filter(member -> member.rpc == rpc).findFirst().orElseThrow();
        boolean last;
        synchronized (this) {
            self.joined = true;
            last = members.stream().allMatch(member -> member.joined);
        }
        if (last) {
            start();
        }
        return self.result;
    }

    /** An RPC that failed before it joined. Guards the others, who would wait for it for good. */
    void leave(Rpc rpc) {
        boolean last;
        synchronized (this) {
            boolean left = members.removeIf(member -> member.rpc == rpc && !member.joined);
            last = left && !members.isEmpty() && members.stream().allMatch(member -> member.joined);
        }
        if (last) {
            start();
        }
    }

    /**
     * An RPC of the call failed within this relay, before or after it joined. The call ends, if it is out, before the
     * RPC's end is told.
     */
    void fail(Rpc rpc) {
        leave(rpc);
        Subchannels.Call started;
        synchronized (this) {
            boolean joined = members.stream().anyMatch(member -> member.rpc == rpc);
            abandoned |= joined;
            started = joined ? call : null;
        }
        if (started != null) {
            started.abandon(CallEnd.CALLED_OFF);
        }
    }

    /**
     * Runs the action once the RPC is in no call that is out: at once where it has left, else at the end of
     * the call, which may come after the RPC's own time-out.
     */
    void afterCall(Rpc rpc, Runnable action) {
        members.stream()
                .filter(member -> member.rpc == rpc)
                .findFirst()
                .map(member -> member.callEnded)
                .orElse(CompletableFuture.completedFuture(null))
                .thenRun(action);
    }

    private void start() {
        double patience = patience();
        Subchannels.Call started;
        try {
            started = subchannels.call(
                    target,
                    members.stream().map(member -> member.rpc.request()).toList(),
                    patience,
                    this::clear,
                    (place, result) -> {
                        heard.accept(result);
                        members.get(place).result.complete(result);
                        members.get(place).callEnded.complete(null);
                    });
        } catch (RuntimeException e) {
            // Guards those that joined earlier: only the last one's chain would hear of it. It may have run.
            LOG.atError().setCause(e).addKeyValue("endpoint", target.id()).log("a call failed at its start");
            members.forEach(member -> member.result.complete(CallResult.of(CallEnd.BROKEN)));
            members.forEach(member -> member.callEnded.complete(null));
            return;
        }
        boolean off;
        synchronized (this) {
            call = started;
            off = abandoned;
        }
        if (off) {
            started.abandon(CallEnd.CALLED_OFF);
        }
        ScheduledFuture<?> timer = timers.schedule(
                () -> started.abandon(CallEnd.TIMED_OUT), (long) (patience * 1e9), TimeUnit.NANOSECONDS);
        members.forEach(member -> member.callEnded.whenComplete((result, failure) -> timer.cancel(false)));
    }

    /**
     * Seconds for which the call may be out: the longest that the module wants for one of its messages, but no longer
     * than the earliest of their deadlines. No message's end is told while a call with it is out: its endpoint would
     * deliver what is over, and an answer behind that deadline counts for none of those that share the call.
     */
    private double patience() {
        double longest = timeout - elapsed();
        double earliest = members.stream()
                .mapToDouble(member -> member.rpc.timeLeft())
                .min()
                .orElse(0);
        return Math.max(0, Math.min(longest, earliest - (members.size() > 1 ? ENDS_EARLY : 0)));
    }

    private boolean clear() {
        return clearance.mayStart() && members.stream().allMatch(member -> member.rpc.mayStart());
    }

    /**
     * The module calls an RPC's attempt off: the connection closes once nobody who shares it waits any more.
     * Guards the others against an RPC that is called off twice, and the slot against those whose time is up.
     */
    void callOff(Rpc rpc) {
        Subchannels.Call out;
        synchronized (this) {
            members.forEach(member -> member.calledOff |= member.rpc == rpc);
            abandoned = members.stream().allMatch(member -> member.calledOff || member.result.isDone());
            out = abandoned ? call : null;
        }
        if (out != null) {
            out.abandon(CallEnd.CALLED_OFF);
        }
    }
}
