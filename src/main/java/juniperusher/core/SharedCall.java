package juniperusher.core;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import juniperusher.Protocol.Target;

/**
 * One call and the RPCs that share it: one connection, one fate. It starts when the last of them has
 * joined, so that each has its attempt in the journal before the first byte.
 */
final class SharedCall {
    // s before its deadline an RPC ceases to wait for the others
    private static final double ENDS_EARLY = 0.02;

    private final Target target;
    private final Subchannels subchannels;
    private final Subchannels.Clearance clearance;
    private final List<Member> members = new ArrayList<>();
    private int joined;
    private int calledOff;
    private double timeout;
    private Subchannels.Call call;
    private boolean abandoned;
    private final long madeAt = System.nanoTime();

    private static final class Member {
        final Rpc rpc;
        final CompletableFuture<CallResult> result = new CompletableFuture<>();

        Member(Rpc rpc) {
            this.rpc = rpc;
        }
    }

    SharedCall(Target target, Subchannels subchannels, Subchannels.Clearance clearance) {
        this.target = target;
        this.subchannels = subchannels;
        this.clearance = clearance;
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

    /**
     * Joins and waits for this RPC's result. Guards against a second copy: an RPC whose own time-out is
     * over stays while the call is out for the others, up to its deadline, since nobody sends it again
     * after that.
     */
    CallResult await(Rpc rpc) throws InterruptedException {
        Member self = members.stream().filter(member -> member.rpc == rpc).findFirst().orElseThrow();
        boolean last;
        synchronized (this) {
            last = ++joined == members.size();
        }
        if (last) {
            Subchannels.Call started = subchannels.call(target, members.stream().map(member ->
                    member.rpc.request()).toList(), timeout, this::clear, (place, result) ->
                    members.get(place).result.complete(result));
            synchronized (this) {
                call = started;
            }
            if (abandoned()) {
                started.abandon(CallEnd.CALLED_OFF);
            }
        }
        try {
            double left = Math.min(timeout - elapsed(), rpc.timeLeft() - (members.size() > 1 ? ENDS_EARLY
                    : 0));
            return self.result.get((long) (Math.max(0, left) * 1e9), TimeUnit.NANOSECONDS);
        } catch (TimeoutException e) {
            return timedOut(self);
        } catch (ExecutionException e) {
            throw new IllegalStateException(e);
        }
    }

    private CallResult timedOut(Member self) throws InterruptedException {
        Subchannels.Call out;
        boolean alone;
        synchronized (this) {
            out = call;
            alone = elapsed() >= timeout || members.stream().allMatch(member -> member == self
                    || member.result.isDone());
        }
        if (out != null && (alone || members.size() == 1)) {
            out.abandon(CallEnd.TIMED_OUT);
            return self.result.join();
        }
        self.result.complete(CallResult.of(CallEnd.TIMED_OUT));
        return self.result.join();
    }

    private boolean clear() {
        return clearance.mayStart() && members.stream().allMatch(member -> member.rpc.mayStart());
    }

    private synchronized boolean abandoned() {
        return abandoned;
    }

    /** The module calls an RPC's attempt off: the connection closes once all that share it are called off. */
    void callOff() {
        Subchannels.Call out;
        synchronized (this) {
            abandoned = ++calledOff >= members.size();
            out = abandoned ? call : null;
        }
        if (out != null) {
            out.abandon(CallEnd.CALLED_OFF);
        }
    }
}
