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
 * A call and the RPCs that share it, and with it one connection. The call starts when the last of them has joined, so
 * that the journal holds the attempt of each before the first byte.
 */
final class SharedCall {
    private static final Logger LOG = LoggerFactory.getLogger(SharedCall.class);
    // A call with several RPCs ends this long before their earliest deadline, so that the end of each is reported in
    // time.
    private static final double DEADLINE_MARGIN_SECONDS = 0.02;

    private static final AtomicLong LAST_NUMBER = new AtomicLong();

    private final Target target;
    private final Subchannels subchannels;
    private final Subchannels.StartPermission permission;
    private final ScheduledExecutorService timers;
    private final Consumer<CallResult> resultListener;
    private final List<Member> members = new ArrayList<>();
    private double timeoutSeconds;
    private Subchannels.Call call;
    private boolean abandonRequested;
    private final long createdAtNanos = System.nanoTime();
    private final long number = LAST_NUMBER.incrementAndGet(); // identifies the call in the log

    private static final class Member {
        final Rpc rpc;
        final CompletableFuture<CallResult> result = new CompletableFuture<>();
        final CompletableFuture<Void> callEnded = new CompletableFuture<>(); // may complete after the result
        boolean joined;
        boolean cancelled;

        Member(Rpc rpc) {
            this.rpc = rpc;
        }
    }

    /**
     * Creates a call without RPCs.
     *
     * @param permission asked before the first byte, in addition to the RPCs
     * @param resultListener receives each result before the RPC of the result does
     */
    SharedCall(
            Target target,
            Subchannels subchannels,
            Subchannels.StartPermission permission,
            ScheduledExecutorService timers,
            Consumer<CallResult> resultListener) {
        this.target = target;
        this.subchannels = subchannels;
        this.permission = permission;
        this.timers = timers;
        this.resultListener = resultListener;
    }

    /** Number of the call in the log, unique within this process. */
    long number() {
        return number;
    }

    Target target() {
        return target;
    }

    /** Seconds since the decision module decided on the call. */
    double elapsedSeconds() {
        return (System.nanoTime() - createdAtNanos) / 1e9;
    }

    int size() {
        return members.size();
    }

    /** Whether the transport can carry the RPC beside the present ones. */
    boolean hasRoomFor(Rpc rpc) {
        List<RpcRequest> requests = new ArrayList<>();
        members.forEach(member -> requests.add(member.rpc.request()));
        requests.add(rpc.request());
        return subchannels.mayShareCall(target, requests);
    }

    /**
     * Adds an RPC. Called only by the decision thread, before any RPC joins.
     *
     * @param requestedSeconds timeout that the decision module wants for this RPC; the longest one applies to the call
     */
    void add(Rpc rpc, double requestedSeconds) {
        members.add(new Member(rpc));
        timeoutSeconds = Math.max(timeoutSeconds, requestedSeconds);
    }

    /**
     * Joins the RPC to the call and returns its result, which is still to come. The last RPC to join starts the call.
     */
    CompletableFuture<CallResult> join(Rpc rpc) {
        Member self =
                members.stream().filter(member -> member.rpc == rpc).findFirst().orElseThrow();
        boolean allJoined;
        synchronized (this) {
            self.joined = true;
            allJoined = members.stream().allMatch(member -> member.joined);
        }
        if (allJoined) {
            start();
        }
        return self.result;
    }

    /** Removes an RPC that has not joined; otherwise the others would wait for it forever. */
    void leave(Rpc rpc) {
        boolean allOthersJoined;
        synchronized (this) {
            boolean removed = members.removeIf(member -> member.rpc == rpc && !member.joined);
            allOthersJoined = removed && !members.isEmpty() && members.stream().allMatch(member -> member.joined);
        }
        if (allOthersJoined) {
            start();
        }
    }

    /**
     * Ends the call because an RPC failed within this relay, before or after it joined. A call in flight ends before
     * the end of the RPC is reported.
     */
    void fail(Rpc rpc) {
        leave(rpc);
        Subchannels.Call started;
        synchronized (this) {
            boolean joined = members.stream().anyMatch(member -> member.rpc == rpc);
            abandonRequested |= joined;
            started = joined ? call : null;
        }
        if (started != null) {
            started.abandon(CallEnd.CALLED_OFF);
        }
    }

    /**
     * Runs the action once no call with the RPC is in flight: immediately if the RPC has left, else at the end of the
     * call, which may come after the result of the RPC.
     */
    void runAfterCall(Rpc rpc, Runnable action) {
        members.stream()
                .filter(member -> member.rpc == rpc)
                .findFirst()
                .map(member -> member.callEnded)
                .orElse(CompletableFuture.completedFuture(null))
                .thenRun(action);
    }

    private void start() {
        double limitSeconds = callTimeoutSeconds();
        Subchannels.Call started;
        try {
            started = subchannels.call(
                    target,
                    members.stream().map(member -> member.rpc.request()).toList(),
                    limitSeconds,
                    this::mayStart,
                    (place, result) -> {
                        try {
                            resultListener.accept(result);
                        } finally {
                            members.get(place).result.complete(result);
                            members.get(place).callEnded.complete(null);
                        }
                    });
        } catch (RuntimeException e) {
            // The exception would reach only the RPC that joined last, so all results are set here. The call may have
            // run.
            LOG.atError().setCause(e).addKeyValue("endpoint", target.id()).log("a call failed to start");
            members.forEach(member -> member.result.complete(CallResult.of(CallEnd.BROKEN)));
            members.forEach(member -> member.callEnded.complete(null));
            return;
        }
        boolean abandonNow;
        synchronized (this) {
            call = started;
            abandonNow = abandonRequested;
        }
        if (abandonNow) {
            started.abandon(CallEnd.CALLED_OFF);
        }
        ScheduledFuture<?> timer = timers.schedule(
                () -> started.abandon(CallEnd.TIMED_OUT), (long) (limitSeconds * 1e9), TimeUnit.NANOSECONDS);
        members.forEach(member -> member.callEnded.whenComplete((result, failure) -> timer.cancel(false)));
    }

    /**
     * Timeout of the call in seconds: the longest that the decision module wants for one of its RPCs, but at most until
     * the earliest of their deadlines. The end of an RPC must not be reported while a call with it is in flight, since
     * the endpoint could still deliver it. An answer after the earliest deadline would count for none of the RPCs.
     */
    private double callTimeoutSeconds() {
        double longestSeconds = timeoutSeconds - elapsedSeconds();
        double earliestSeconds = members.stream()
                .mapToDouble(member -> member.rpc.secondsLeft())
                .min()
                .orElse(0);
        return Math.max(
                0, Math.min(longestSeconds, earliestSeconds - (members.size() > 1 ? DEADLINE_MARGIN_SECONDS : 0)));
    }

    private boolean mayStart() {
        return permission.mayStart() && members.stream().allMatch(member -> member.rpc.mayStart());
    }

    /**
     * Cancels the attempt of an RPC. The connection closes once every RPC of the call is cancelled or has its result.
     * Cancelling the same RPC twice counts once, so that the others are not affected.
     */
    void cancel(Rpc rpc) {
        Subchannels.Call toAbandon;
        synchronized (this) {
            members.forEach(member -> member.cancelled |= member.rpc == rpc);
            abandonRequested = members.stream().allMatch(member -> member.cancelled || member.result.isDone());
            toAbandon = abandonRequested ? call : null;
        }
        if (toAbandon != null) {
            toAbandon.abandon(CallEnd.CALLED_OFF);
        }
    }
}
