package juniperusher;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import juniperusher.Protocol.Action;
import juniperusher.Protocol.AttemptEnded;
import juniperusher.Protocol.DestinationKind;
import juniperusher.Protocol.Effect;
import juniperusher.Protocol.Event;
import juniperusher.Protocol.Fail;
import juniperusher.Protocol.LoadReport;
import juniperusher.Protocol.Message;
import juniperusher.Protocol.MessageAccepted;
import juniperusher.Protocol.MessageClass;
import juniperusher.Protocol.Outcome;
import juniperusher.Protocol.Phase;
import juniperusher.Protocol.Refuse;
import juniperusher.Protocol.Rules;
import juniperusher.Protocol.Send;
import juniperusher.Protocol.SenderLimits;
import juniperusher.Protocol.SetTimer;
import juniperusher.Protocol.Settings;
import juniperusher.Protocol.Target;
import juniperusher.Protocol.TargetList;
import juniperusher.Protocol.TimerFired;
import juniperusher.Protocol.Weight;

/**
 * Passes events to a {@link Control}, fires its timer between them, and checks each action against the rules: each
 * message ends once, in time, and is not sent afterwards; retry-after delays, drains, key order and the repeats that a
 * class allows are observed.
 */
final class ControlHarness {
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
    static final DestinationKind PLAIN = new DestinationKind(1, false);
    static final DestinationKind BATCHED = new DestinationKind(5, false);
    static final DestinationKind SEPARATE_ROUTES = new DestinationKind(1, true);
    static final Rules RULES = new Rules(0.25, 0.2, 12, 2, 1.5, 0.5, 10);
    static final SenderLimits ALLOWED = new SenderLimits(8, 100, 20, true, false, false, false, true, 2, 1, 10);

    /** State of a message as seen from outside. */
    private static final class MessageState {
        Message message;
        double deadline;
        double mayHaveRunSince = Double.NaN;
        int mayHaveRunZone = -1;
        int attempts;
        int lastTarget;
        boolean inFlight;
        boolean finished;
        boolean withdrawn;
    }

    final Settings settings;
    final Control control;
    double now;
    private final Map<Integer, MessageState> messages = new LinkedHashMap<>();
    private final Map<Integer, Target> listedTargets = new HashMap<>();
    private final Map<Integer, Double> retryAfterUntil = new HashMap<>();
    private final Map<Long, Double> quietUntil = new HashMap<>();
    private double timerAt = Double.POSITIVE_INFINITY;
    private long timerToken;
    private int attemptsInFlight;

    ControlHarness(Settings settings, Target... targets) {
        this.settings = settings;
        control = new Control(settings, 7);
        play(new TargetList(true, List.of(targets)));
    }

    static Settings settings(SenderLimits limits, boolean watchesList, Weight weight) {
        return settings(1, limits, watchesList, weight);
    }

    /** Settings of one of many senders, each of which makes few calls. */
    static Settings settings(int senders) {
        return settings(senders, ALLOWED, false, Weight.NONE);
    }

    private static Settings settings(int senders, SenderLimits limits, boolean watchesList, Weight weight) {
        return settings(senders, limits, watchesList, weight, RULES);
    }

    /** Settings whose recovering destinations collapse after another time of overload than that of {@link #RULES}. */
    static Settings settings(int senders, double tipAfter) {
        return settings(
                senders,
                ALLOWED,
                false,
                Weight.NONE,
                new Rules(
                        RULES.drainGrace(),
                        RULES.coldShare(),
                        RULES.warmUp(),
                        RULES.overloadFactor(),
                        tipAfter,
                        RULES.keyQuiet(),
                        RULES.listMaxAge()));
    }

    private static Settings settings(
            int senders, SenderLimits limits, boolean watchesList, Weight weight, Rules rules) {
        return new Settings(
                senders,
                0,
                watchesList,
                weight,
                1,
                false,
                0,
                List.of(0.0, 0.0),
                rules,
                limits,
                List.of(SAFE, KEYED, KEYED_ZONE, UNSAFE, ORDERED),
                List.of(PLAIN, BATCHED, SEPARATE_ROUTES),
                List.of());
    }

    static Settings settings() {
        return settings(ALLOWED, false, Weight.NONE);
    }

    static Target target(int id, int destination, int kind, int zone) {
        return new Target(id, destination, kind, zone, 1, Phase.READY);
    }

    static Target phase(Target target, Phase phase) {
        return new Target(target.id(), target.destination(), target.kind(), target.zone(), target.weight(), phase);
    }

    static MessageAccepted message(int id, int messageClass, int destination) {
        return message(id, messageClass, destination, 0);
    }

    static MessageAccepted message(int id, int messageClass, int destination, long key) {
        return new MessageAccepted(new Message(id, messageClass, 0, destination, key, 20));
    }

    /** Passes events at the current time; returns the actions except timers and log lines. */
    List<Action> play(Event... events) {
        List<Action> actions = new ArrayList<>();
        for (Event event : events) {
            observe(event);
        }
        for (Action action : control.decide(now, List.of(events))) {
            if (action instanceof SetTimer timer) {
                assertTrue(timer.time() > now, "timer set in the past");
                timerAt = timer.time();
                timerToken = timer.token();
            } else if (!(action instanceof Protocol.Log)) {
                check(action);
                actions.add(action);
            }
        }
        return actions;
    }

    /** Fires timers up to the given time, which becomes the current time; returns all actions on the way. */
    List<Action> advanceTo(double time) {
        List<Action> actions = new ArrayList<>();
        while (timerAt <= time) {
            now = Math.max(now, timerAt);
            timerAt = Double.POSITIVE_INFINITY;
            actions.addAll(play(new TimerFired(timerToken)));
        }
        now = time;
        return actions;
    }

    /** Ends the last attempt of a message at the current time. */
    List<Action> endAttempt(int message, Outcome outcome) {
        return endAttempt(message, outcome, 0, null);
    }

    List<Action> endAttempt(int message, Outcome outcome, double retryAfter, LoadReport report) {
        return play(endOfAttempt(message, outcome, retryAfter, report));
    }

    /** The event that ends the last attempt of a message. */
    AttemptEnded endOfAttempt(int message, Outcome outcome, double retryAfter, LoadReport report) {
        MessageState state = messages.get(message);
        boolean over = outcome == Outcome.DELIVERED || state.finished;
        return new AttemptEnded(message, state.attempts - 1, state.lastTarget, outcome, 0.1, over, retryAfter, report);
    }

    /** The sends among the actions. */
    static List<Send> sends(List<Action> actions) {
        return actions.stream()
                .filter(Send.class::isInstance)
                .map(Send.class::cast)
                .toList();
    }

    /** Ids of the messages sent by the actions. */
    static List<Integer> sentIds(List<Action> actions) {
        return sends(actions).stream().map(Send::message).toList();
    }

    private void observe(Event event) {
        if (event instanceof MessageAccepted a) {
            MessageState state = new MessageState();
            state.message = a.message();
            state.deadline = now + a.message().timeLeft();
            state.attempts = a.message().attempts();
            messages.put(a.message().id(), state);
        } else if (event instanceof TargetList list) {
            if (list.fullList()) {
                listedTargets.clear();
            }
            list.targets().forEach(t -> listedTargets.put(t.id(), t));
        } else if (event instanceof Protocol.MessageWithdrawn w && messages.containsKey(w.message())) {
            messages.get(w.message()).finished = true;
            messages.get(w.message()).withdrawn = true;
        } else if (event instanceof AttemptEnded e && messages.containsKey(e.message())) {
            MessageState state = messages.get(e.message());
            if (e.attempt() != state.attempts - 1 || !state.inFlight) {
                return;
            }
            state.inFlight = false;
            attemptsInFlight--;
            if (e.finished()) {
                state.finished = true;
            }
            if (!e.outcome().neverRan() && Double.isNaN(state.mayHaveRunSince)) {
                state.mayHaveRunSince = now - e.elapsed();
                state.mayHaveRunZone = listedTargets.get(e.target()).zone();
            }
            if (e.retryAfter() > 0) {
                Target target = listedTargets.get(e.target());
                retryAfterUntil.merge(retryAfterScope(target), now + e.retryAfter(), Math::max);
            }
            if (e.outcome() == Outcome.TIMED_OUT || e.outcome() == Outcome.RESET || e.outcome() == Outcome.CANCELLED) {
                quietUntil.put(state.message.key(), now + settings.rules().keyQuiet());
            }
        }
    }

    /** The destination or, where routes are separate, the target to which a retry-after delay applies. */
    private int retryAfterScope(Target target) {
        return settings.kinds().get(target.kind()).separateRoutes() ? target.id() : -1 - target.destination();
    }

    private void check(Action action) {
        if (action instanceof Send send) {
            checkSend(send);
        } else if (action instanceof Refuse refuse) {
            MessageState state = markAnswered(refuse.message());
            MessageClass kind = settings.classes().get(state.message.messageClass());
            boolean mayHaveRun = !Double.isNaN(state.mayHaveRunSince) || state.inFlight;
            assertFalse(
                    mayHaveRun && (kind.effect() == Effect.UNSAFE || kind.effect() == Effect.KEYED && kind.zoneOnly()),
                    "a refused message may have run");
        } else if (action instanceof Fail fail) {
            markAnswered(fail.message());
        } else if (action instanceof Protocol.Probe) {
            assertTrue(settings.limits().mayProbe(), "probe sent although not allowed");
        } else if (action instanceof Protocol.SendNote) {
            assertTrue(settings.limits().mayNotify(), "note sent although not allowed");
        } else if (action instanceof Protocol.CancelAttempt) {
            assertTrue(settings.limits().mayCancel(), "attempt cancelled although not allowed");
        }
    }

    private MessageState markAnswered(int message) {
        MessageState state = messages.get(message);
        assertFalse(state.finished, "second end of message " + message);
        assertTrue(now <= state.deadline + 0.02, "answered after its deadline: message " + message);
        state.finished = true;
        return state;
    }

    private void checkSend(Send send) {
        MessageState state = messages.get(send.message());
        Target target = listedTargets.get(send.target());
        MessageClass kind = settings.classes().get(state.message.messageClass());
        assertFalse(state.finished || state.inFlight, "sent while in flight or finished: message " + send.message());
        assertTrue(target.destination() == state.message.destination(), "sent to another destination");
        assertTrue(target.phase() == Phase.READY, "sent to a draining or removed target");
        assertTrue(
                retryAfterUntil.getOrDefault(retryAfterScope(target), 0.0) <= now,
                "sent before the end of a retry-after delay");
        if (!Double.isNaN(state.mayHaveRunSince)) {
            assertFalse(kind.effect() == Effect.UNSAFE, "unsafe message repeated");
            if (kind.effect() == Effect.KEYED) {
                assertTrue(now <= state.mayHaveRunSince + kind.keyWindow(), "repeated outside the key window");
                assertTrue(!kind.zoneOnly() || state.mayHaveRunZone == target.zone(), "repeated in another zone");
            }
        }
        if (kind.ordered() && state.message.key() != 0) {
            boolean arrivedBefore = true;
            for (MessageState other : messages.values()) {
                arrivedBefore &= other != state;
                int acceptance = Long.compare(other.message.acceptedAt(), state.message.acceptedAt());
                boolean before = other != state && (acceptance < 0 || acceptance == 0 && arrivedBefore);
                assertFalse(
                        before && other.message.key() == state.message.key() && (!other.finished || other.inFlight),
                        "sent out of order: message " + send.message());
            }
            assertTrue(
                    state.attempts > 0 || quietUntil.getOrDefault(state.message.key(), 0.0) <= now,
                    "sent in the quiet time of its key");
        }
        state.attempts++;
        assertTrue(state.attempts <= settings.limits().maxAttempts(), "too many attempts");
        state.inFlight = true;
        state.lastTarget = send.target();
        attemptsInFlight++;
    }

    boolean isFinished(int message) {
        return messages.get(message).finished;
    }

    int attemptsInFlight() {
        return attemptsInFlight;
    }
}
