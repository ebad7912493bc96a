package juniperusher;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import juniperusher.Protocol.Action;
import juniperusher.Protocol.Allowed;
import juniperusher.Protocol.Arrived;
import juniperusher.Protocol.Effect;
import juniperusher.Protocol.Ended;
import juniperusher.Protocol.Event;
import juniperusher.Protocol.Fail;
import juniperusher.Protocol.Kind;
import juniperusher.Protocol.Message;
import juniperusher.Protocol.MessageClass;
import juniperusher.Protocol.Outcome;
import juniperusher.Protocol.Phase;
import juniperusher.Protocol.Refuse;
import juniperusher.Protocol.Report;
import juniperusher.Protocol.Rules;
import juniperusher.Protocol.Send;
import juniperusher.Protocol.Settings;
import juniperusher.Protocol.Target;
import juniperusher.Protocol.TargetList;
import juniperusher.Protocol.WakeAt;
import juniperusher.Protocol.Weight;
import juniperusher.Protocol.Woken;

/**
 * Plays scripted events to a {@link Control}, serves its timer between them, and checks the rules on every
 * action: one end a message and in time, nothing sent after it, told waits, drains, key order, repeats
 * within the class.
 */
final class Script {
    static final MessageClass SAFE = new MessageClass(Effect.SAFE, false, 5, false, 3, 20, 2, 0.5);
    static final MessageClass KEYED = new MessageClass(Effect.KEYED, false, 10, false, 3, 20, 1, 0.5);
    static final MessageClass KEYED_ZONE = new MessageClass(Effect.KEYED, true, 10, false, 3, 20, 1, 0.5);
    static final MessageClass UNSAFE = new MessageClass(Effect.UNSAFE, false, 5, false, 3, 20, 1, 0.5);
    static final MessageClass ORDERED = new MessageClass(Effect.KEYED, false, 10, true, 3, 20, 1, 0.5);
    static final int SAFE_CLASS = 0;
    static final int KEYED_CLASS = 1;
    static final int KEYED_ZONE_CLASS = 2;
    static final int UNSAFE_CLASS = 3;
    static final int ORDERED_CLASS = 4;
    static final Kind PLAIN = new Kind(1, false);
    static final Kind BATCHED = new Kind(5, false);
    static final Kind APART = new Kind(1, true);
    static final Rules RULES = new Rules(0.25, 0.2, 12, 2, 1.5, 0.5, 10);
    static final Allowed ALLOWED = new Allowed(8, 100, 20, true, false, false, false, true, 2, 1, 10);

    /** What the script knows of a message. */
    private static final class Known {
        Message message;
        double until;
        double mayHaveRunSince = Double.NaN;
        int zone = -1;
        int sends;
        int target;
        boolean out;
        boolean over;
        boolean ended;
    }

    final Settings settings;
    final Control control;
    double now;
    private final Map<Integer, Known> messages = new LinkedHashMap<>();
    private final Map<Integer, Target> listed = new HashMap<>();
    private final Map<Integer, Double> toldUntil = new HashMap<>();
    private final Map<Long, Double> quietUntil = new HashMap<>();
    private double timer = Double.POSITIVE_INFINITY;
    private long token;
    private int outcomesDue;

    Script(Settings settings, Target... targets) {
        this.settings = settings;
        control = new Control(settings, 7);
        play(new TargetList(true, List.of(targets)));
    }

    static Settings settings(Allowed allowed, boolean ask, Weight weight) {
        return settings(1, allowed, ask, weight);
    }

    /** One of many senders, which sees little of what the others do. */
    static Settings settings(int senders) {
        return settings(senders, ALLOWED, false, Weight.NONE);
    }

    private static Settings settings(int senders, Allowed allowed, boolean ask, Weight weight) {
        return settings(senders, allowed, ask, weight, RULES);
    }

    /** One whose returning destinations fall after another time than that of {@link #RULES}. */
    static Settings settings(int senders, double tipAfter) {
        return settings(
                senders,
                ALLOWED,
                false,
                Weight.NONE,
                new Rules(
                        RULES.drainGrace(),
                        RULES.coldFrom(),
                        RULES.warmWithin(),
                        RULES.tipMultiple(),
                        tipAfter,
                        RULES.keyQuiet(),
                        RULES.askWithin()));
    }

    private static Settings settings(int senders, Allowed allowed, boolean ask, Weight weight, Rules rules) {
        return new Settings(
                senders,
                0,
                ask,
                weight,
                1,
                false,
                0,
                List.of(0.0, 0.0),
                rules,
                allowed,
                List.of(SAFE, KEYED, KEYED_ZONE, UNSAFE, ORDERED),
                List.of(PLAIN, BATCHED, APART),
                List.of());
    }

    static Settings settings() {
        return settings(ALLOWED, false, Weight.NONE);
    }

    static Target target(int id, int destination, int kind, int zone) {
        return new Target(id, destination, kind, zone, 1, Phase.READY);
    }

    static Target phase(Target t, Phase phase) {
        return new Target(t.id(), t.destination(), t.kind(), t.zone(), t.weight(), phase);
    }

    static Arrived message(int id, int messageClass, int destination) {
        return message(id, messageClass, destination, 0);
    }

    static Arrived message(int id, int messageClass, int destination, long key) {
        return new Arrived(new Message(id, messageClass, 0, destination, key, 20));
    }

    /** Plays events at the present moment; returns the actions but for timers and log lines. */
    List<Action> play(Event... events) {
        List<Action> out = new ArrayList<>();
        for (Event event : events) {
            learn(event);
        }
        for (Action action : control.decide(now, List.of(events))) {
            if (action instanceof WakeAt wake) {
                assertTrue(wake.time() > now, "a timer in the past");
                timer = wake.time();
                token = wake.token();
            } else if (!(action instanceof Protocol.Log)) {
                check(action);
                out.add(action);
            }
        }
        return out;
    }

    /** Serves timers up to the time, then stands there; returns all actions in between. */
    List<Action> until(double time) {
        List<Action> out = new ArrayList<>();
        while (timer <= time) {
            now = Math.max(now, timer);
            timer = Double.POSITIVE_INFINITY;
            out.addAll(play(new Woken(token)));
        }
        now = time;
        return out;
    }

    /** The outcome of the last send of a message, now. */
    List<Action> end(int message, Outcome outcome) {
        return end(message, outcome, 0, null);
    }

    List<Action> end(int message, Outcome outcome, double told, Report report) {
        return play(ended(message, outcome, told, report));
    }

    Ended ended(int message, Outcome outcome, double told, Report report) {
        Known known = messages.get(message);
        boolean over = outcome == Outcome.DELIVERED || known.over;
        return new Ended(message, known.sends - 1, known.target, outcome, 0.1, over, told, report);
    }

    /** Sends among actions. */
    static List<Send> sends(List<Action> actions) {
        return actions.stream()
                .filter(Send.class::isInstance)
                .map(Send.class::cast)
                .toList();
    }

    static List<Integer> sent(List<Action> actions) {
        return sends(actions).stream().map(Send::message).toList();
    }

    private void learn(Event event) {
        if (event instanceof Arrived a) {
            Known known = new Known();
            known.message = a.message();
            known.until = now + a.message().timeLeft();
            known.sends = a.message().attempts();
            messages.put(a.message().id(), known);
        } else if (event instanceof TargetList list) {
            if (list.whole()) {
                listed.clear();
            }
            list.targets().forEach(t -> listed.put(t.id(), t));
        } else if (event instanceof Protocol.Withdrawn w && messages.containsKey(w.message())) {
            messages.get(w.message()).over = true;
            messages.get(w.message()).ended = true;
        } else if (event instanceof Ended e && messages.containsKey(e.message())) {
            Known known = messages.get(e.message());
            if (e.attempt() != known.sends - 1 || !known.out) {
                return;
            }
            known.out = false;
            outcomesDue--;
            if (e.over()) {
                known.over = true;
            }
            if (!e.outcome().neverRan() && Double.isNaN(known.mayHaveRunSince)) {
                known.mayHaveRunSince = now - e.elapsed();
                known.zone = listed.get(e.target()).zone();
            }
            if (e.told() > 0) {
                Target target = listed.get(e.target());
                toldUntil.merge(gate(target), now + e.told(), Math::max);
            }
            if (e.outcome() == Outcome.TIMED_OUT || e.outcome() == Outcome.RESET || e.outcome() == Outcome.CANCELLED) {
                quietUntil.put(known.message.key(), now + settings.rules().keyQuiet());
            }
        }
    }

    private int gate(Target target) {
        return settings.kinds().get(target.kind()).apart() ? target.id() : -1 - target.destination();
    }

    private void check(Action action) {
        if (action instanceof Send send) {
            checkSend(send);
        } else if (action instanceof Refuse refuse) {
            Known known = over(refuse.message());
            MessageClass kind = settings.classes().get(known.message.messageClass());
            boolean ran = !Double.isNaN(known.mayHaveRunSince) || known.out;
            assertFalse(
                    ran && (kind.effect() == Effect.UNSAFE || kind.effect() == Effect.KEYED && kind.zoneOnly()),
                    "refused, but may have run");
        } else if (action instanceof Fail fail) {
            over(fail.message());
        } else if (action instanceof Protocol.Probe) {
            assertTrue(settings.allowed().probes(), "probes are not allowed");
        } else if (action instanceof Protocol.Note) {
            assertTrue(settings.allowed().notes(), "notes are not allowed");
        } else if (action instanceof Protocol.Cancel) {
            assertTrue(settings.allowed().cancel(), "cancels are not allowed");
        }
    }

    private Known over(int message) {
        Known known = messages.get(message);
        assertFalse(known.over, "a second end of message " + message);
        assertTrue(now <= known.until + 0.02, "answered late: message " + message);
        known.over = true;
        return known;
    }

    private void checkSend(Send send) {
        Known known = messages.get(send.message());
        Target target = listed.get(send.target());
        MessageClass kind = settings.classes().get(known.message.messageClass());
        assertFalse(known.over || known.out, "sent while out or over: message " + send.message());
        assertTrue(target.destination() == known.message.destination(), "sent to another destination");
        assertTrue(target.phase() == Phase.READY, "sent to a target that drains or is gone");
        assertTrue(toldUntil.getOrDefault(gate(target), 0.0) <= now, "a told wait was cut short");
        if (!Double.isNaN(known.mayHaveRunSince)) {
            assertFalse(kind.effect() == Effect.UNSAFE, "an unsafe message repeated");
            if (kind.effect() == Effect.KEYED) {
                assertTrue(now <= known.mayHaveRunSince + kind.keyWindow(), "repeated outside the key window");
                assertTrue(!kind.zoneOnly() || known.zone == target.zone(), "repeated in another zone");
            }
        }
        if (kind.ordered() && known.message.key() != 0) {
            boolean arrivedBefore = true;
            for (Known other : messages.values()) {
                arrivedBefore &= other != known;
                int taken = Long.compare(other.message.takenAt(), known.message.takenAt());
                boolean before = other != known && (taken < 0 || taken == 0 && arrivedBefore);
                assertFalse(
                        before && other.message.key() == known.message.key() && (!other.over || other.out),
                        "sent out of turn: message " + send.message());
            }
            assertTrue(
                    known.sends > 0 || quietUntil.getOrDefault(known.message.key(), 0.0) <= now, "the key had no rest");
        }
        known.sends++;
        assertTrue(known.sends <= settings.allowed().attempts(), "too many attempts");
        known.out = true;
        known.target = send.target();
        outcomesDue++;
    }

    boolean isOver(int message) {
        return messages.get(message).over;
    }

    int outcomesDue() {
        return outcomesDue;
    }
}
