package juniperusher.lab.scale;

import java.util.ArrayList;
import java.util.List;
import juniperusher.Control;
import juniperusher.Protocol.Action;
import juniperusher.Protocol.AttemptEnded;
import juniperusher.Protocol.DestinationKind;
import juniperusher.Protocol.Effect;
import juniperusher.Protocol.Event;
import juniperusher.Protocol.Message;
import juniperusher.Protocol.MessageAccepted;
import juniperusher.Protocol.MessageClass;
import juniperusher.Protocol.Outcome;
import juniperusher.Protocol.Phase;
import juniperusher.Protocol.Rules;
import juniperusher.Protocol.Send;
import juniperusher.Protocol.SenderLimits;
import juniperusher.Protocol.Settings;
import juniperusher.Protocol.Target;
import juniperusher.Protocol.TargetList;
import juniperusher.Protocol.Weight;

/** A decision module with destinations, one endpoint each, driven round by round. */
final class ControlFixture {
    /** Destinations of a usual relay today. */
    static final int USUAL_DESTINATIONS = 280;

    private static final double ROUND = 0.005; // s between two rounds
    private static final double LONG = 1e7; // s, a deadline that no measurement reaches
    private static final double CLOSED = 1e6; // s, a Retry-After that no measurement reaches
    private static final int UNLIMITED = 100_000_000;
    private static final double ANSWER = 0.02; // s
    private static final double RATE = 60; // calls a second that a listed destination takes

    private final Control control;
    private final int destinations;
    private int called; // destinations that messages are for: the first so many
    private double now;
    private int messages;

    ControlFixture(int destinations) {
        this.destinations = destinations;
        called = destinations;
        control = new Control(settings(1), 1);
        round(List.of(new TargetList(true, targets(destinations))));
    }

    /** Settings of a relay among so many, without limits that a measurement would meet. */
    static Settings settings(int relays) {
        return new Settings(
                relays,
                0,
                false,
                Weight.NOMINAL,
                1,
                true,
                0,
                List.of(0.0),
                new Rules(0.5, 0.14, 13, 2.5, 1.5, 0.5, 10),
                new SenderLimits(12, UNLIMITED, UNLIMITED, true, false, true, true, true, 2, 1, 10),
                List.of(new MessageClass("notice", Effect.SAFE, false, 5, false, 0.8, LONG, 1, 0.1)),
                List.of(new DestinationKind(1, false)),
                List.of());
    }

    /** One endpoint for each destination, numbered as its destination. */
    static List<Target> targets(int destinations) {
        List<Target> targets = new ArrayList<>(destinations);
        for (int i = 0; i < destinations; i++) {
            targets.add(target(i, Phase.READY));
        }
        return targets;
    }

    private static Target target(int destination, Phase phase) {
        return new Target(destination, destination, 0, 0, RATE, phase);
    }

    /** A round with these events. */
    List<Action> round(List<Event> events) {
        now += ROUND;
        return control.decide(now, events);
    }

    /** A round in which the first destination's endpoint changes its phase. */
    void changeOne() {
        Phase phase = ++messages % 2 == 0 ? Phase.READY : Phase.DRAINING;
        round(List.of(new TargetList(false, List.of(target(0, phase)))));
    }

    /**
     * Has the first destinations answer a call with a long Retry-After; what arrives from now on goes to these, and
     * is held.
     */
    ControlFixture closeFirst(int count) {
        called = Math.min(count, destinations);
        List<Event> ends = new ArrayList<>();
        for (Action action : round(arrivals(called))) {
            if (action instanceof Send send) {
                ends.add(new AttemptEnded(send.message(), 0, send.target(), Outcome.FULL, ANSWER, false, CLOSED, null));
            }
        }
        requireSent(ends, called);
        round(ends);
        return this;
    }

    /** Has all endpoints drain, so that what arrives from now on is held. */
    ControlFixture drainAll() {
        List<Target> draining = new ArrayList<>(destinations);
        for (int i = 0; i < destinations; i++) {
            draining.add(target(i, Phase.DRAINING));
        }
        round(List.of(new TargetList(true, draining)));
        return this;
    }

    /** Holds so many further messages, spread over all destinations. */
    ControlFixture hold(int count) {
        round(arrivals(count));
        return this;
    }

    /** Takes so many messages on in one round and has all of them delivered in the next. */
    void deliver(int count) {
        List<Event> ends = new ArrayList<>(count);
        for (Action action : round(arrivals(count))) {
            if (action instanceof Send send) {
                ends.add(new AttemptEnded(send.message(), 0, send.target(), Outcome.DELIVERED, ANSWER, true, 0, null));
            }
        }
        requireSent(ends, count);
        round(ends);
    }

    private static void requireSent(List<Event> ends, int count) {
        if (ends.size() != count) {
            throw new IllegalStateException(ends.size() + " of " + count + " messages were sent");
        }
    }

    private List<Event> arrivals(int count) {
        List<Event> arrivals = new ArrayList<>(count);
        for (int i = 0; i < count; i++) {
            int id = messages++;
            arrivals.add(new MessageAccepted(new Message(id, 0, 0, id % called, 0, LONG)));
        }
        return arrivals;
    }
}
