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
 * Decides which of the two processes of an upgrade sends ordered messages. While both run, ordered messages that either
 * accepts are held back in the decision module. The owner continues with those that it accepted before it noticed its
 * successor; the successor sends the rest, merged by acceptance time, once the owner has ended. If the successor dies,
 * the owner releases what it held back. Safe for threads.
 */
final class OrderHandover {
    private static final Logger LOG = LoggerFactory.getLogger(OrderHandover.class);
    // How long a successor waits for the owner to yield; a multiple of the interval at which the owner checks for one.
    private static final long MAX_YIELD_WAIT_MILLIS = 1_000;

    private final SuccessorMark successorMark;
    private final Consumer<Event> moduleEvents;
    private final Object intakeLock = new Object();
    private final Map<Integer, Long> heldBackKeys = new ConcurrentHashMap<>(); // order keys by message number
    private boolean holdingBack; // guarded by intakeLock
    private volatile boolean otherProcessSeen;

    OrderHandover(SuccessorMark successorMark, Consumer<Event> moduleEvents) {
        this.successorMark = successorMark;
        this.moduleEvents = moduleEvents;
    }

    /**
     * Runs the acceptance of an ordered message. Only one runs at a time, so that the journal, the client and the
     * decision module see the same order.
     */
    void runInIntakeOrder(Runnable acceptance) {
        synchronized (intakeLock) {
            acceptance.run();
        }
    }

    /**
     * A message was accepted and is not passed to the decision module yet. If messages are held back, the module is
     * told first that the key has to wait.
     *
     * @param key order key of the message, 0 if it is not ordered
     */
    void accepted(int message, long key) {
        if (key == 0) {
            return;
        }
        synchronized (intakeLock) {
            if (holdingBack) {
                heldBackKeys.put(message, key);
                moduleEvents.accept(new AnswerPending(message, key));
            }
        }
    }

    /** The message has ended. */
    void finished(int message) {
        heldBackKeys.remove(message);
    }

    /** Whether another process has accepted messages that this one has not taken over. */
    boolean isOtherProcessSeen() {
        return otherProcessSeen;
    }

    /** Number of messages that are held back. */
    int heldBackCount() {
        return heldBackKeys.size();
    }

    // ---- calls as the successor ----

    /**
     * Holds back ordered messages that are accepted from now on. Returns once the owner holds back its own too, or has
     * not answered in time.
     */
    void awaitOwnerYield() {
        otherProcessSeen = true;
        synchronized (intakeLock) {
            holdingBack = true;
        }
        try {
            successorMark.set();
            if (!successorMark.awaitYield(MAX_YIELD_WAIT_MILLIS)) {
                LOG.warn("the owner has not confirmed that it holds back ordered messages");
            }
        } catch (IOException e) {
            LOG.atWarn().log("the successor file cannot be written, so the owner is not notified: {}", e.toString());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /**
     * Releases the messages held back. Called after the owner has ended and the decision module has received its
     * unfinished messages.
     */
    void ownerEnded() {
        otherProcessSeen = false;
        release();
        try {
            successorMark.clear();
        } catch (IOException e) {
            LOG.atWarn().log("the successor mark cannot be cleared: {}", e.toString());
        }
    }

    // ---- calls as the owner ----

    /** Checks for a successor and starts or stops holding back messages. Has to be called periodically. */
    void checkForSuccessor() throws IOException {
        boolean successorLives = successorMark.isSet();
        synchronized (intakeLock) {
            if (successorLives == holdingBack) {
                return;
            }
            holdingBack = successorLives;
        }
        if (successorLives) {
            otherProcessSeen = true; // also after its end, since it leaves its messages in the folder
            successorMark.confirmYield();
        } else {
            release();
        }
    }

    private void release() {
        synchronized (intakeLock) {
            holdingBack = false;
            heldBackKeys.forEach((message, key) -> moduleEvents.accept(new AnswerAcknowledged(message, key)));
            heldBackKeys.clear();
        }
    }
}
