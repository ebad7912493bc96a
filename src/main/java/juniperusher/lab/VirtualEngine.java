package juniperusher.lab;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import juniperusher.Control;
import juniperusher.Protocol.Action;
import juniperusher.Protocol.AnswerAcknowledged;
import juniperusher.Protocol.AnswerPending;
import juniperusher.Protocol.Arrived;
import juniperusher.Protocol.Cancel;
import juniperusher.Protocol.Effect;
import juniperusher.Protocol.Ended;
import juniperusher.Protocol.Event;
import juniperusher.Protocol.Fail;
import juniperusher.Protocol.Log;
import juniperusher.Protocol.Message;
import juniperusher.Protocol.Note;
import juniperusher.Protocol.Noted;
import juniperusher.Protocol.Outcome;
import juniperusher.Protocol.Phase;
import juniperusher.Protocol.Probe;
import juniperusher.Protocol.Probed;
import juniperusher.Protocol.Refuse;
import juniperusher.Protocol.Send;
import juniperusher.Protocol.Settings;
import juniperusher.Protocol.Target;
import juniperusher.Protocol.TargetList;
import juniperusher.Protocol.WakeAt;
import juniperusher.Protocol.Woken;
import juniperusher.lab.Plan.Crash;
import juniperusher.storm.StormSettings;
import juniperusher.storm.StormState;
import juniperusher.storm.Storms;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * Plays a plan in virtual time: the relays' own decisions ({@link Control} and the storm package) among the
 * laboratory's models. The same plan gives the same history, bit for bit.
 */
public final class VirtualEngine {
    private static final double GAP = 0.005; // s between two rounds of a relay
    private static final double NEAR = 0.015; // s, the least way to a destination, and
    private static final double FAR = 0.045; // the longest
    private static final double GRACE = 0.05; // s by which a final answer may be late
    private static final double ROUNDING = 1e-9; // s by which sums of times may differ
    private static final double PROBE = 1.5; // s after which an unanswered probe has failed
    private static final double FULL = 0.5; // s that a relay without room tells

    private final Plan plan;
    private final Settings settings;
    private final Demand demand;
    private final NoteModel notes;
    private final List<UniformRandomProvider> ways = new ArrayList<>();
    private final UniformRandomProvider probeWays;
    private final UniformRandomProvider seeds;
    private final UniformRandomProvider acknowledgements;
    private final List<DestinationModel> destinations = new ArrayList<>();
    private final List<Relay> relays = new ArrayList<>();
    private final PriorityQueue<Timed> queue = new PriorityQueue<>();
    private final RuleChecker rules;
    private final Tally tally;
    private double now;
    private long sequence;
    private long hash = 17;
    private int lastMessage;

    private record Timed(double at, long sequence, Runnable what) implements Comparable<Timed> {
        @Override
        public int compareTo(Timed other) {
            int first = Double.compare(at, other.at);
            return first != 0 ? first : Long.compare(sequence, other.sequence);
        }
    }

    /** A message taken by a relay. */
    private static final class Taken {
        int id;
        Wish wish;
        int attempts;
        boolean out;
        boolean mayHaveRun;
        boolean over;
    }

    private VirtualEngine(Plan plan) {
        this.plan = plan;
        settings = LabSettings.of(plan);
        rules = new RuleChecker(GRACE, -ROUNDING, settings.rules().keyQuiet() - ROUNDING);
        tally = new Tally(plan, settings.classes());
        demand = new Demand(plan);
        notes = plan.noteModel();
        seeds = plan.seeds();
        acknowledgements = plan.acknowledgements();
        probeWays = plan.ways(plan.destinations().size());
        for (int i = 0; i < plan.destinations().size(); i++) {
            destinations.add(plan.model(i));
            ways.add(plan.ways(i));
        }
        for (int i = 0; i < plan.relays().count(); i++) {
            relays.add(new Relay(i));
        }
        for (int i = 0; i < destinations.size(); i++) {
            arrivals(i);
        }
    }

    /** Plays it. */
    public static Run play(String variant, Plan plan) {
        return new VirtualEngine(plan).play(variant);
    }

    private Run play(String variant) {
        for (Crash crash : plan.crashes()) {
            at(crash.at(), () -> relays.get(crash.relay()).die(crash.down()));
        }
        for (double second = 0.5; second < plan.seconds(); second++) {
            at(second, this::sample);
        }
        double last = plan.seconds() + LabSettings.longestDeadline(plan) + 1;
        while (!queue.isEmpty() && queue.peek().at() <= last) {
            Timed next = queue.poll();
            now = next.at();
            next.what().run();
        }
        rules.over(last);
        return tally.result(variant, destinations, rules, hash);
    }

    private void at(double time, Runnable what) {
        queue.add(new Timed(time, sequence++, what));
    }

    private void note(int what, int which) {
        hash = (hash * 31 + Double.hashCode(now)) * 31 + what * 1_000_003L + which;
    }

    private static double way(UniformRandomProvider random) {
        return NEAR + random.nextDouble() * (FAR - NEAR);
    }

    private void sample() {
        int owed = 0;
        int storms = 0;
        int recovering = 0;
        for (Relay relay : relays) {
            owed += relay.taken.size();
            if (relay.storms != null && !relay.away) {
                storms += relay.storms.count(StormState.STORM);
                recovering += relay.storms.count(StormState.RECOVERING);
            }
        }
        tally.sampled("owed", now, owed);
        tally.sampled("storms", now, storms);
        tally.sampled("recovering", now, recovering);
        for (int i = 0; i < destinations.size(); i++) {
            if (plan.destinations().get(i).struck()) {
                tally.sampled("capacity, struck", now, destinations.get(i).capacity(now));
            }
        }
    }

    private DestinationModel.Answer reached(int destination) {
        tally.called(destination, now);
        DestinationModel.Answer answer = destinations.get(destination).call(now);
        if (answer.outcome() == Outcome.FULL) {
            tally.refusedCall(destination, now);
        }
        return answer;
    }

    // ---- clients ----

    private void arrivals(int destination) {
        at(now + demand.gap(destination), () -> {
            if (now < plan.seconds()) {
                Wish wish = demand.next(destination, now);
                tally.asked(wish);
                handIn(wish);
                arrivals(destination);
            }
        });
    }

    private void handIn(Wish wish) {
        if (relays.get(wish.relay).away) {
            at(now + demand.clients(wish.destination).unreached(), () -> handIn(wish));
        } else if (now < wish.until) {
            wish.handedIn();
            relays.get(wish.relay).offer(wish);
        }
    }

    private void refused(Wish wish, double after) {
        tally.turnedAway(now);
        double back = demand.clients(wish.destination).back(wish.tries(), after);
        if (back < Double.POSITIVE_INFINITY) {
            at(now + back, () -> handIn(wish));
        }
    }

    /** Whether the messages behind it wait until the notice of its end is acknowledged. */
    private boolean awaitsAcknowledgement(Wish wish) {
        return wish.keyed() && plan.sequenced().acknowledgedAfter() > 0;
    }

    private double acknowledgedIn() {
        return -Math.log(1 - acknowledgements.nextDouble()) * plan.sequenced().acknowledgedAfter();
    }

    private boolean unsafe(Wish wish) {
        return settings.classes().get(wish.messageClass).effect() == Effect.UNSAFE;
    }

    // ---- a relay ----

    private final class Relay {
        private final int number;
        private final Map<Integer, Taken> taken = new LinkedHashMap<>();
        private final Map<Integer, Taken> unacknowledged = new LinkedHashMap<>(); // whose notices have no answer yet
        private Control control;
        private Storms storms;
        private List<Object> inbox = new ArrayList<>();
        private boolean due;
        private double lastRound = -1;
        private int life;
        private boolean away;

        Relay(int number) {
            this.number = number;
            begin();
        }

        private void begin() {
            life++;
            control = new Control(settings, seeds.nextLong());
            storms = plan.relays().storm()
                    ? new Storms(StormSettings.USUAL, settings, number, 1000 + number * 7.5, now)
                    : null;
            inbox = new ArrayList<>();
            due = false;
            List<Target> targets = new ArrayList<>();
            for (int i = 0; i < plan.destinations().size(); i++) {
                targets.add(
                        new Target(i + 1, i, 0, 0, plan.destinations().get(i).rate(), Phase.READY));
            }
            post(new TargetList(true, targets));
        }

        /** The process is killed; what it had taken is in its journal. */
        void die(double down) {
            away = true;
            life++;
            rules.restarted(number, now);
            taken.keySet().forEach(id -> rules.died(id, now + down));
            at(now + down, () -> {
                away = false;
                begin();
                unacknowledged.values().forEach(this::pending);
                List.copyOf(taken.values()).forEach(this::recover);
            });
        }

        /** Takes up a message that the process before has left. */
        private void recover(Taken message) {
            message.mayHaveRun |= message.out;
            message.out = false;
            if (now < message.wish.until && !(unsafe(message.wish) && message.mayHaveRun)) {
                post(message);
                return;
            }
            if (awaitsAcknowledgement(message.wish)) {
                pending(message);
            }
            undelivered(message, !message.mayHaveRun);
            if (!message.mayHaveRun) {
                refused(message.wish, 0);
            }
        }

        private void pending(Taken message) {
            post(new AnswerPending(message.id, message.wish.key));
        }

        void offer(Wish wish) {
            if (taken.size() >= settings.allowed().held()) {
                refused(wish, FULL);
                return;
            }
            Taken message = new Taken();
            message.id = ++lastMessage;
            message.wish = wish;
            taken.put(message.id, message);
            if (wish.keyed()) {
                rules.taken(message.id, unsafe(wish), wish.until, number, wish.subject());
            } else {
                rules.taken(message.id, unsafe(wish), wish.until);
            }
            post(message);
        }

        /** An event, or a message that becomes one when the round takes it. */
        private void post(Object event) {
            inbox.add(event);
            if (!due) {
                due = true;
                int of = life;
                at(Math.max(now, lastRound + GAP), () -> {
                    if (of == life) {
                        round();
                    }
                });
            }
        }

        private void round() {
            due = false;
            lastRound = now;
            List<Event> events = new ArrayList<>();
            for (Object one : inbox) {
                events.add(
                        one instanceof Taken message
                                ? new Arrived(new Message(
                                        message.id,
                                        message.wish.messageClass,
                                        message.wish.tenant,
                                        message.wish.destination,
                                        message.wish.key,
                                        Math.max(0, message.wish.until - now),
                                        message.attempts,
                                        null,
                                        message.wish.tries() > 1,
                                        0,
                                        awaitsAcknowledgement(message.wish)))
                                : (Event) one);
            }
            inbox = new ArrayList<>();
            List<Action> actions = control.decide(now, storms == null ? events : storms.before(now, events));
            if (storms != null) {
                actions.addAll(storms.after(now, actions));
            }
            actions.forEach(this::carryOut);
        }

        private void carryOut(Action action) {
            if (action instanceof Send send) {
                send(taken.get(send.message()), send);
            } else if (action instanceof Refuse refuse) {
                Taken message = taken.get(refuse.message());
                note(2, message.id);
                undelivered(message, true);
                refused(message.wish, refuse.after());
            } else if (action instanceof Fail fail) {
                note(3, fail.message());
                undelivered(taken.get(fail.message()), false);
            } else if (action instanceof WakeAt wake) {
                later(wake.time(), () -> post(new Woken(wake.token())));
            } else if (action instanceof Cancel cancel) {
                cancel(cancel);
            } else if (action instanceof Probe probe) {
                probe(probe.target());
            } else if (action instanceof Note note) {
                tell(note);
            } else if (action instanceof Log) {
                note(4, number);
            }
        }

        private void later(double time, Runnable what) {
            int of = life;
            at(time, () -> {
                if (of == life && !away) {
                    what.run();
                }
            });
        }

        private void send(Taken message, Send send) {
            note(1, message.id);
            int destination = message.wish.destination;
            rules.begun(message.id, now);
            rules.called(number, destination, now);
            int attempt = message.attempts++;
            message.out = true;
            double left = now;
            double way = way(ways.get(destination));
            int of = life;
            at(now + way, () -> {
                // A call that has left arrives, whatever becomes of its relay.
                DestinationModel.Answer answer = reached(destination);
                double back = now + answer.after() + way;
                boolean silent = back - left > send.timeout();
                at(silent ? left + send.timeout() : back, () -> {
                    if (of == life && !away) {
                        ended(
                                message,
                                attempt,
                                left,
                                silent ? Outcome.TIMED_OUT : answer.outcome(),
                                silent ? 0 : answer.told());
                    } else if (answer.outcome() == Outcome.DELIVERED) {
                        message.mayHaveRun = true;
                    }
                });
            });
        }

        private void ended(Taken message, int attempt, double left, Outcome outcome, double told) {
            if (message.over || !message.out || message.attempts - 1 != attempt) {
                return;
            }
            message.out = false;
            message.mayHaveRun |= !outcome.neverRan();
            if (outcome.mayStillRun()) {
                rules.abandoned(message.id, now, true);
            } else {
                rules.ended(message.id, !outcome.neverRan());
            }
            if (told > 0) {
                rules.told(number, message.wish.destination, now, now + told);
            }
            boolean over = outcome == Outcome.DELIVERED;
            if (over) {
                rules.answered(message.id, now, false);
                over(message);
                tally.delivered(message.wish, now);
            }
            post(new Ended(message.id, attempt, message.wish.destination + 1, outcome, now - left, over, told, null));
        }

        private void cancel(Cancel cancel) {
            Taken message = taken.get(cancel.message());
            if (message != null && message.out && message.attempts - 1 == cancel.attempt()) {
                message.mayHaveRun = true;
                message.out = false;
                rules.abandoned(message.id, now, true);
                post(new Ended(
                        message.id,
                        cancel.attempt(),
                        message.wish.destination + 1,
                        Outcome.CANCELLED,
                        0,
                        false,
                        0,
                        null));
            }
        }

        private void probe(int target) {
            double left = now;
            double way = way(probeWays);
            rules.called(number, target - 1, now);
            at(now + way, () -> {
                DestinationModel.Answer answer = reached(target - 1);
                later(
                        Math.min(now + answer.after() + way, left + PROBE),
                        () -> post(new Probed(
                                target,
                                answer.outcome() == Outcome.DELIVERED,
                                answer.outcome() == Outcome.FULL,
                                now - left)));
            });
        }

        private void tell(Note note) {
            for (Relay other : relays) {
                if (other == this || note.to() >= 0 && note.to() != other.number) {
                    continue;
                }
                for (double took : notes.copies()) {
                    at(now + took, () -> {
                        if (!other.away) {
                            other.post(new Noted(number, note.note()));
                        }
                    });
                }
            }
        }

        /** It ends by a notice. */
        private void undelivered(Taken message, boolean handedBack) {
            over(message);
            if (awaitsAcknowledgement(message.wish)) {
                rules.noticed(message.id, now, handedBack);
                unacknowledged.put(message.id, message);
                at(now + acknowledgedIn(), () -> acknowledged(message));
            } else {
                rules.answered(message.id, now, handedBack);
            }
        }

        private void acknowledged(Taken message) {
            if (away) {
                at(now + acknowledgedIn(), () -> acknowledged(message)); // the notice goes again after the restart
                return;
            }
            unacknowledged.remove(message.id);
            rules.acknowledged(message.id);
            post(new AnswerAcknowledged(message.id, message.wish.key));
        }

        private void over(Taken message) {
            message.over = true;
            taken.remove(message.id);
        }
    }
}
