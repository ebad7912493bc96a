package juniperusher.core;

import java.io.IOException;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;
import juniperusher.Protocol.AnswerAcknowledged;
import juniperusher.Protocol.AnswerPending;
import juniperusher.Protocol.Event;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Which of the two processes of an upgrade sends messages in order. While both live, messages in order that
 * either takes on are held back at the module: the owner goes on with those that it took before it saw its
 * successor, and the successor sends the rest, merged by the time at which they were taken on, once the owner
 * has ended. A successor that dies gives the order back. Safe for threads.
 */
final class OrderHandover {
    private static final Logger LOG = LoggerFactory.getLogger(OrderHandover.class);
    // ms for which a successor waits until the owner holds its messages back: many times the owner's looks
    private static final long MOST_WAIT = 1_000;

    private final SuccessorMark mark;
    private final Consumer<Event> module;
    private final Object intake = new Object();
    private final Map<Integer, Long> heldBack = new ConcurrentHashMap<>(); // order keys by message
    private boolean holding; // guarded by intake

    OrderHandover(SuccessorMark mark, Consumer<Event> module) {
        this.mark = mark;
        this.module = module;
    }

    /** Takes a message in order on: the journal, the client and the module see one order of them all. */
    void inOrder(Runnable takesOn) {
        synchronized (intake) {
            takesOn.run();
        }
    }

    /** A message was taken on, of which the module has not heard yet; {@code key} is 0 where it has no order. */
    void taken(int message, long key) {
        if (key == 0) {
            return;
        }
        synchronized (intake) {
            if (holding) {
                heldBack.put(message, key);
                module.accept(new AnswerPending(message, key));
            }
        }
    }

    /** The message has its answer. */
    void over(int message) {
        heldBack.remove(message);
    }

    /** How many messages are held back. */
    int waiting() {
        return heldBack.size();
    }

    // ---- as the successor ----

    /** Holds back what is taken on from now on, and returns once the owner does so too, or does not answer. */
    void awaitOwner() {
        synchronized (intake) {
            holding = true;
        }
        try {
            mark.raise();
            if (!mark.awaitYielded(MOST_WAIT)) {
                LOG.warn("the process before does not say that it holds back what it takes on in order");
            }
        } catch (IOException e) {
            LOG.atWarn().log("the process before is not told of its successor: {}", e.toString());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** The owner has ended, and the module has heard of all that it left. */
    void ownerEnded() {
        release();
        try {
            mark.lower();
        } catch (IOException e) {
            LOG.atWarn().log("the mark of a successor stays: {}", e.toString());
        }
    }

    // ---- as the owner ----

    /** Looks for a successor; to be called again and again. */
    void followSuccessor() throws IOException {
        boolean raised = mark.raised();
        synchronized (intake) {
            if (raised == holding) {
                return;
            }
            holding = raised;
        }
        if (raised) {
            mark.yield();
        } else {
            release();
        }
    }

    private void release() {
        synchronized (intake) {
            holding = false;
            heldBack.forEach((message, key) -> module.accept(new AnswerAcknowledged(message, key)));
            heldBack.clear();
        }
    }
}
