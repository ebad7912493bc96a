package juniperusher.core;

import java.util.ArrayList;
import java.util.List;
import java.util.PriorityQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import juniperusher.Control;
import juniperusher.Protocol.Action;
import juniperusher.Protocol.Event;
import juniperusher.Protocol.SetTimer;
import juniperusher.Protocol.TimerFired;
import juniperusher.memory.HeapExhaustion;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Runs the decision module, which is not safe for threads, in one thread. Each round takes all queued events and due
 * wake-ups, asks the module for its actions and has them carried out in order. A minimum time passes between the starts
 * of two rounds, so that events that arrive together are decided together.
 */
final class DecisionLoop implements Runnable {
    private static final Logger LOG = LoggerFactory.getLogger(DecisionLoop.class);

    private final Control control;
    private final RoundInterceptor interceptor;
    private final long minRoundNanos;
    private final ActionExecutor actionExecutor;
    private final long originNanos = System.nanoTime();
    private final BlockingQueue<Supplier<Event>> queue = new LinkedBlockingQueue<>();
    private final PriorityQueue<SetTimer> wakeUps = new PriorityQueue<>((a, b) -> Double.compare(a.time(), b.time()));

    private volatile boolean stopped;

    /** Carries out the actions of one round, in order. */
    interface ActionExecutor {
        void carryOut(List<Action> actions);
    }

    /**
     * Creates a loop, which runs once it is given to a thread.
     *
     * @param interceptor may be null
     * @param minRoundSeconds minimum time between the starts of two rounds
     */
    DecisionLoop(Control control, RoundInterceptor interceptor, double minRoundSeconds, ActionExecutor actionExecutor) {
        this.control = control;
        this.interceptor = interceptor;
        this.minRoundNanos = (long) (minRoundSeconds * 1e9);
        this.actionExecutor = actionExecutor;
    }

    /** Queues the event for the next round. Safe for threads. */
    void post(Event event) {
        queue.add(() -> event);
    }

    /** Posts an event that is created when its round starts, because its content depends on the time. */
    void postDeferred(Supplier<Event> event) {
        queue.add(event);
    }

    /** The number of events that no round has taken yet. */
    int queuedCount() {
        return queue.size();
    }

    /**
     * Ends the loop without a further decision. The thread is not interrupted: an interrupt during a write would close
     * the journal's file, and the rest of the round's actions would go unrecorded.
     */
    void stop() {
        stopped = true;
        queue.add(() -> new TimerFired(-1));
    }

    private double nowSeconds() {
        return (System.nanoTime() - originNanos) / 1e9;
    }

    @Override
    public void run() {
        try {
            while (!stopped) {
                runRound();
            }
        } catch (InterruptedException e) {
            LOG.debug("decision loop interrupted");
        } catch (RuntimeException | Error e) {
            HeapExhaustion.endProcessIfCausedBy(e); // a line of log might fail in the same way
            // A relay that accepts RPCs without deciding on them is worse than one that is down and gets restarted.
            LOG.error("the decision loop failed, the process exits", e);
            Runtime.getRuntime().halt(3);
        }
    }

    private void runRound() throws InterruptedException {
        List<Supplier<Event>> suppliers = new ArrayList<>();
        SetTimer nextWakeUp = wakeUps.peek();
        Supplier<Event> first = nextWakeUp == null
                ? queue.take()
                : queue.poll((long) (Math.max(0, nextWakeUp.time() - nowSeconds()) * 1e9) + 1, TimeUnit.NANOSECONDS);
        long startedNanos = System.nanoTime();
        if (first != null) {
            suppliers.add(first);
        }
        queue.drainTo(suppliers);
        double nowSeconds = nowSeconds();
        List<Event> events = new ArrayList<>();
        suppliers.forEach(event -> events.add(event.get()));
        while (!wakeUps.isEmpty() && wakeUps.peek().time() <= nowSeconds) {
            events.add(new TimerFired(wakeUps.poll().token()));
        }
        if (events.isEmpty() || stopped) {
            return;
        }
        List<Action> actions = control.decide(
                nowSeconds, interceptor == null ? events : interceptor.beforeDecision(nowSeconds, events));
        if (interceptor != null) {
            actions.addAll(interceptor.afterDecision(nowSeconds, actions));
        }
        for (Action action : actions) {
            if (action instanceof SetTimer timer) {
                wakeUps.add(timer);
            }
        }
        actionExecutor.carryOut(actions);
        TimeUnit.NANOSECONDS.sleep(minRoundNanos - (System.nanoTime() - startedNanos));
    }
}
