package juniperusher.lab;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;

/**
 * Checks the rules on what an engine saw of each message: one final answer in time, never two attempts out, nothing
 * that may have run twice, no told wait cut short, messages of one key one at a time and in order. Free of I/O and of
 * the engine; not safe for threads.
 */
public final class RuleChecker {
    private static final int MOST = 20; // breaks that are told in full

    private final double lateAnswer; // s by which a final answer may be late
    private final double lateWait; // s after a told wait's beginning in which calls are let through
    private final KeyOrder order;
    private final Map<Object, Life> lives = new LinkedHashMap<>(); // those without a final answer
    private final Set<Object> withdrawn = new HashSet<>();
    private final Map<List<Integer>, double[]> waits = new HashMap<>(); // relay and destination: from, until
    private final List<String> broken = new ArrayList<>();
    private int count;

    /**
     * A checker that allows an engine so much for what it cannot see at once.
     *
     * @param lateAnswer s by which a final answer may be late
     * @param lateWait   s after a told wait's beginning in which calls are let through
     * @param keyQuiet   s for which a key rests after an attempt that ended without an answer
     */
    public RuleChecker(double lateAnswer, double lateWait, double keyQuiet) {
        this.lateAnswer = lateAnswer;
        this.lateWait = lateWait;
        order = new KeyOrder(keyQuiet);
    }

    /** What is known of a message that a relay has taken. */
    private static final class Life {
        final boolean unsafe;
        final double until;
        int out;
        boolean mayHaveRun;
        double excused;

        Life(boolean unsafe, double until) {
            this.unsafe = unsafe;
            this.until = until;
        }
    }

    /** A relay has taken a message, whose time ends at {@code until}. */
    public void taken(Object id, boolean unsafe, double until) {
        lives.put(id, new Life(unsafe, until));
    }

    /** A relay has taken a message of a class in order, after all that it took before it with the same key. */
    public void taken(Object id, boolean unsafe, double until, int relay, String key) {
        taken(id, unsafe, until);
        order.taken(relay, key, id);
    }

    /** Its client has turned away: nothing that is done under this id counts any more. */
    public void withdrawn(Object id) {
        order.withdrawn(id);
        lives.remove(id);
        withdrawn.add(id);
    }

    /** An attempt begins. */
    public void begun(Object id, double now) {
        if (withdrawn.contains(id)) {
            return;
        }
        Life life = lives.get(id);
        if (life == null) {
            broken(now, id, "is sent after its end, or was never taken");
            return;
        }
        if (life.out > 0) {
            broken(now, id, "has two attempts out");
        }
        if (life.mayHaveRun && life.unsafe) {
            broken(now, id, "is sent again though it may have run");
        }
        order.begun(id, now).ifPresent(how -> broken(now, id, how));
        life.out++;
    }

    /** An attempt was answered, or never reached its destination. */
    public void ended(Object id, boolean mayHaveRun) {
        order.ended(id);
        notOut(id, mayHaveRun);
    }

    /** An attempt ended without an answer (a time-out, reset or cancel): it may still run, and its key rests. */
    public void abandoned(Object id, double now, boolean mayHaveRun) {
        order.abandoned(id, now);
        notOut(id, mayHaveRun);
    }

    private void notOut(Object id, boolean mayHaveRun) {
        Life life = lives.get(id);
        if (life != null) {
            life.out = Math.max(0, life.out - 1);
            life.mayHaveRun |= mayHaveRun;
        }
    }

    /**
     * The relay that held it has died: what was out may have run, and nothing is any more.
     *
     * @param excused until when no answer is owed, since the relay has to come up first
     */
    public void died(Object id, double excused) {
        Life life = lives.get(id);
        if (life != null) {
            life.mayHaveRun |= life.out > 0;
            life.out = 0;
            life.excused = excused;
        }
    }

    /** It is delivered, or its final answer is given and heard: {@code handedBack} for one that may come again. */
    public void answered(Object id, double now, boolean handedBack) {
        noticed(id, now, handedBack);
        acknowledged(id);
    }

    /** Its final answer is given by a notice; in the order of its key it is over once that is acknowledged. */
    public void noticed(Object id, double now, boolean handedBack) {
        Life life = lives.remove(id);
        if (life == null) {
            broken(now, id, "is answered twice, or was never taken");
        } else if (handedBack && life.unsafe && (life.mayHaveRun || life.out > 0)) {
            broken(now, id, "is handed back though it may have run");
        } else if (now > Math.max(life.until, life.excused) + lateAnswer) {
            broken(now, id, late(life, now));
        }
    }

    /** The notice of a message's end is acknowledged. */
    public void acknowledged(Object id) {
        order.over(id);
    }

    /** Whether it still has no final answer. */
    public boolean open(Object id) {
        return lives.containsKey(id);
    }

    private static String late(Life life, double now) {
        return String.format(Locale.ROOT, "has its final answer %.3f s after its time", now - life.until);
    }

    /** A destination has told a relay to wait until then. */
    public void told(int relay, int destination, double now, double until) {
        double[] known = waits.get(List.of(relay, destination));
        if (known == null || known[1] < until) {
            waits.put(List.of(relay, destination), new double[] {now, until});
        }
    }

    /** A relay's process has died: its waits have ended with it, and its attempts have no answer any more. */
    public void restarted(int relay, double now) {
        order.restarted(relay, now);
        waits.keySet().removeIf(key -> key.get(0) == relay);
    }

    /** A relay calls a destination, or probes it. */
    public void called(int relay, int destination, double now) {
        double[] wait = waits.get(List.of(relay, destination));
        if (wait != null && now > wait[0] + lateWait && now < wait[1] - 1e-6) {
            broken(
                    now,
                    "of relay " + relay,
                    String.format(
                            Locale.ROOT,
                            "is sent to destination %d %.3f s before a told wait is over",
                            destination,
                            wait[1] - now));
        }
    }

    /** The run is over: what has no answer though its time is up never gets one. */
    public void over(double now) {
        lives.forEach((id, life) -> {
            if (now > Math.max(life.until, life.excused) + lateAnswer) {
                broken(now, id, "is never answered");
            }
        });
    }

    private void broken(double now, Object id, String how) {
        count++;
        if (broken.size() < MOST) {
            broken.add(String.format(Locale.ROOT, "%.3f s: message %s %s", now, id, how));
        }
    }

    /** How often a rule was broken. */
    public int count() {
        return count;
    }

    /** The first breaks, each in one line. */
    public List<String> broken() {
        return List.copyOf(broken);
    }
}
