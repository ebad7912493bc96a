package juniperusher.core;

import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import juniperusher.Protocol.Fail;
import juniperusher.Protocol.Refuse;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The life of one RPC, from top to bottom, on a thread of its own. The module is asked at each point of
 * choice: it is told of the arrival and of each attempt's end, and its next choice comes into the mailbox.
 */
final class Rpc implements Runnable {
    private static final Logger LOG = LoggerFactory.getLogger(Rpc.class);

    private final int number;
    private final RpcRequest request;
    private final Relay relay;
    private final BlockingQueue<Object> mailbox = new LinkedBlockingQueue<>();
    private int attempts;
    private volatile SharedCall out;
    private volatile boolean over;

    Rpc(int number, RpcRequest request, int attemptsUsed, Relay relay) {
        this.number = number;
        this.request = request;
        this.attempts = attemptsUsed;
        this.relay = relay;
    }

    @Override
    public void run() {
        try {
            relay.arrived(this, attempts);
            while (true) {
                Object choice = mailbox.take();
                if (choice instanceof SharedCall call) {
                    int attempt = attempts++;
                    out = call;
                    relay.journal().attempt(number);
                    CallResult result = call.await(this);
                    out = null;
                    over = result.end() == CallEnd.DELIVERED || result.end() == CallEnd.OVER;
                    relay.attemptEnded(this, attempt, call, result, over);
                    if (over) {
                        relay.end(this, new RpcEnd(request.id(), request.returnAddress(),
                                RpcEnd.Kind.DELIVERED, 0));
                        return;
                    }
                } else if (choice instanceof Refuse refuse) {
                    over = true;
                    relay.end(this, new RpcEnd(request.id(), request.returnAddress(),
                            RpcEnd.Kind.HANDED_BACK, refuse.after()));
                    return;
                } else if (choice instanceof Fail) {
                    over = true;
                    relay.end(this, new RpcEnd(request.id(), request.returnAddress(),
                            RpcEnd.Kind.GIVEN_UP, 0));
                    return;
                }
            }
        } catch (RuntimeException | StackOverflowError e) {
            // Guards against an RPC that nobody answers for: what broke is unknown, so it may have run.
            LOG.error("RPC {} failed", number, e);
            if (!over) {
                over = true;
                relay.abandon(this, attempts - 1, out);
                relay.end(this, new RpcEnd(request.id(), request.returnAddress(), RpcEnd.Kind.GIVEN_UP, 0));
            }
        } catch (InterruptedException e) {
            // The process is ending: the RPC is owed, and the journal holds it.
            Thread.currentThread().interrupt();
        }
    }

    /** The module's choice: a {@link SharedCall}, a {@link Refuse} or a {@link Fail}. */
    void choose(Object choice) {
        mailbox.add(choice);
    }

    void callOff() {
        SharedCall call = out;
        if (call != null) {
            call.callOff();
        }
    }

    /** Whether a call with it may still start; asked just before the first byte. */
    boolean mayStart() {
        return !over && timeLeft() > 0 && relay.mayStart(this);
    }

    int number() {
        return number;
    }

    RpcRequest request() {
        return request;
    }

    double timeLeft() {
        return (request.deadline() - System.currentTimeMillis()) / 1000.0;
    }
}
