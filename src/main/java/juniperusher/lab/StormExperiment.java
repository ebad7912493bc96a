package juniperusher.lab;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import juniperusher.Control;
import juniperusher.Protocol.Action;
import juniperusher.Protocol.Allowed;
import juniperusher.Protocol.Arrived;
import juniperusher.Protocol.Cancel;
import juniperusher.Protocol.Effect;
import juniperusher.Protocol.Ended;
import juniperusher.Protocol.Event;
import juniperusher.Protocol.Fail;
import juniperusher.Protocol.Kind;
import juniperusher.Protocol.Log;
import juniperusher.Protocol.Message;
import juniperusher.Protocol.MessageClass;
import juniperusher.Protocol.Note;
import juniperusher.Protocol.Noted;
import juniperusher.Protocol.Outcome;
import juniperusher.Protocol.Phase;
import juniperusher.Protocol.Probe;
import juniperusher.Protocol.Probed;
import juniperusher.Protocol.Refuse;
import juniperusher.Protocol.Rules;
import juniperusher.Protocol.Send;
import juniperusher.Protocol.Settings;
import juniperusher.Protocol.Target;
import juniperusher.Protocol.TargetList;
import juniperusher.Protocol.WakeAt;
import juniperusher.Protocol.Weight;
import juniperusher.Protocol.Woken;
import juniperusher.storm.StormSettings;
import juniperusher.storm.Storms;

/**
 * A large destination is out for a while and comes back cold, among sound ones; relays, clients and notes are
 * played in virtual time round the relays' own decisions. The rules are checked on every step: one final
 * answer in
 * time, never two attempts out, nothing unsafe that may have run again.
 */
public final class StormExperiment {
    private static final double GAP = 0.005; // s between two rounds of a relay
    private static final double NEAR = 0.015; // s, the least way to a destination, and
    private static final double FAR = 0.045; // the longest
    private static final double GRACE = 0.05; // s by which a final answer may be late
    private static final double DOWN = 2.5; // s for which a relay that was killed is away
    private static final double DOUBLED = 0.05; // share of notes that come twice
    private static final double LATE_NOTES = 0.02; // share of notes that come 2 s late
    private static final int RETURNS = 3; // times that a client hands a refused message in again
    private static final double HEEDS = 0.6; // share of clients that keep a told time to return
    private static final double MINUTE = 60; // s after the return in which worth is counted
    private static final MessageClass NOTICE = new MessageClass(Effect.SAFE, false, 5, false, 0.8, 6, 1, 0.1);
    private static final MessageClass ORDER = new MessageClass(Effect.UNSAFE, false, 5, false, 4, 20, 3, 0.5);
    private static final double ORDERS = 0.24; // share of all messages

    /**
     * What is played.
     *
     * @param storms   the relays have the storm package on
     * @param noteLoss share of notes that are lost
     * @param load     messages over what the destinations take
     * @param trouble  how the struck destination is out: shut, errors or hang
     * @param heed     clients keep told times as usual, else none does
     * @param crash    a relay is killed 4 s after the return and comes back with its journal
     */
    public record Plan(long seed, int relays, boolean storms, double noteLoss, double load, String trouble,
            boolean heed, boolean crash) {
    }

    /**
     * What came of it.
     *
     * @param worth     delivered, of messages asked for in the minute after the return, over what was asked
     * for
     * @param struck    the same for the struck destination alone
     * @param soundP99  s, 99th percentile of deliveries to sound destinations over the whole run
     * @param above     calls beyond what the struck destination takes, in the worst 1.5 s after its return
     * @param turned    calls that it refused above its rate
     * @param fell      times that it fell over
     * @param broken    rules broken, at most some of them
     * @param hash      of the history: the same for the same plan
     */
    public record Result(double worth, double struck, double soundP99, double above, int turned, int fell,
            List<String> broken, long hash) {
    }

    private final Plan plan;
    private final SplittableRandom random;
    private final Settings settings;
    private final List<DestinationModel> destinations = new ArrayList<>();
    private final List<Relay> relays = new ArrayList<>();
    private final PriorityQueue<Timed> queue = new PriorityQueue<>();
    private final List<Double> sound = new ArrayList<>();
    private final List<String> broken = new ArrayList<>();
    private final double outFrom = 10;
    private final double outUntil = 40;
    private final double end = outUntil + MINUTE;
    private double now;
    private long sequence;
    private long hash = 17;
    private final double[] asked = new double[2]; // struck, sound
    private final double[] won = new double[2];
    private int lastMessage;

    private record Timed(double at, long sequence, Runnable what) implements Comparable<Timed> {
        @Override
        public int compareTo(Timed other) {
            int first = Double.compare(at, other.at);
            return first != 0 ? first : Long.compare(sequence, other.sequence);
        }
    }

    /** A client's wish, over all its handings-in. */
    private static final class Wish {
        int destination;
        int kind;
        double from;
        double until;
        int tries;
        Relay at;
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

    private StormExperiment(Plan plan) {
        this.plan = plan;
        random = new SplittableRandom(plan.seed());
        double[] rates = {60, 20, 20, 12, 8};
        double total = 0;
        for (int i = 0; i < rates.length; i++) {
            total += rates[i];
            destinations.add(new DestinationModel(rates[i], 0.22, i == 0 ? outFrom : 1e9, i == 0 ? outUntil
                    : 1e9 + 1,
                    DestinationModel.Trouble.valueOf(plan.trouble()), 0.14, 13, 2.5, random.split()));
        }
        double part = total / plan.relays();
        settings = new Settings(plan.relays(), 0, false, Weight.NOMINAL, 1, true, 0, List.of(),
                new Rules(0.5, 0.14, 13, 2.5, 1.5, 0.5, 10), new Allowed(12, (int) Math.max(12, 9 * part),
                (int) Math.max(3, Math.ceil(1.9 * part * 0.3)), true, false, true, true, true, 2, 1, 10),
                List.of(NOTICE, ORDER), List.of(new Kind(1, false)), List.of());
        for (int i = 0; i < plan.relays(); i++) {
            relays.add(new Relay(i));
        }
        for (int i = 0; i < rates.length; i++) {
            arrivals(i, rates[i] * plan.load());
        }
    }

    /** Plays it. */
    public static Result run(Plan plan) {
        return new StormExperiment(plan).play();
    }

    private Result play() {
        if (plan.crash()) {
            at(outUntil + 4, () -> relays.get(plan.relays() - 1).die());
        }
        double last = end + ORDER.deadline() + 1;
        while (!queue.isEmpty() && queue.peek().at() <= last) {
            Timed next = queue.poll();
            now = next.at();
            next.what().run();
        }
        for (Relay relay : relays) {
            relay.taken.values().forEach(message -> broken(message, "is never answered"));
        }
        Collections.sort(sound);
        DestinationModel struck = destinations.get(0);
        return new Result((won[0] + won[1]) / (asked[0] + asked[1]), won[0] / asked[0],
                sound.get((int) (sound.size() * 0.99)), struck.above(), struck.refused(), struck.fell(),
                List.copyOf(broken.subList(0, Math.min(5, broken.size()))), hash);
    }

    private void at(double time, Runnable what) {
        queue.add(new Timed(time, sequence++, what));
    }

    private void note(int what, int which) {
        hash = (hash * 31 + Double.hashCode(now)) * 31 + what * 1_000_003L + which;
    }

    private double between(double low, double high) {
        return low + random.nextDouble() * (high - low);
    }

    private void broken(Taken message, String how) {
        broken.add(String.format("%.3f s: message %d for destination %d %s", now, message.id,
                message.wish.destination, how));
    }

    // ---- clients ----

    private void arrivals(int destination, double rate) {
        at(now - Math.log(1 - random.nextDouble()) / rate, () -> {
            if (now < end) {
                Wish wish = new Wish();
                wish.destination = destination;
                wish.kind = random.nextDouble() < ORDERS ? 1 : 0;
                wish.from = now;
                wish.until = now + settings.classes().get(wish.kind).deadline();
                wish.at = relays.get(random.nextInt(relays.size()));
                if (now >= outUntil) {
                    asked[destination == 0 ? 0 : 1] += settings.classes().get(wish.kind).worth();
                }
                handIn(wish);
                arrivals(destination, rate);
            }
        });
    }

    private void handIn(Wish wish) {
        if (wish.at.away) {
            at(now + between(0.3, 1.2), () -> handIn(wish)); // not refused: it cannot be reached
        } else if (now < wish.until) {
            wish.tries++;
            wish.at.offer(wish);
        }
    }

    /** A refused client returns after the told time, or after one of its own. */
    private void refused(Wish wish, double after) {
        if (wish.tries > RETURNS) {
            return;
        }
        double own = between(0.68, 1.4) * Math.pow(2, wish.tries - 1);
        boolean heeds = plan.heed() && random.nextDouble() < HEEDS;
        at(now + (heeds && after > 0 ? after : own), () -> handIn(wish));
    }

    private void delivered(Wish wish) {
        MessageClass kind = settings.classes().get(wish.kind);
        double took = now - wish.from;
        double share = took <= kind.aim() ? 1 : Math.max(kind.lateShare(),
                Math.pow(0.5, (took - kind.aim()) / kind.aim()));
        if (wish.from >= outUntil) {
            won[wish.destination == 0 ? 0 : 1] += share * kind.worth();
        }
        if (wish.destination != 0) {
            sound.add(took);
        }
    }

    // ---- a relay ----

    private final class Relay {
        private final int number;
        private final Map<Integer, Taken> taken = new LinkedHashMap<>();
        private final Map<Long, Double> wakes = new HashMap<>();
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
            control = new Control(settings, random.nextLong());
            storms = plan.storms() ? new Storms(StormSettings.USUAL, settings, number, 1000 + number * 7.5,
                    now) : null;
            inbox = new ArrayList<>();
            due = false;
            List<Target> targets = new ArrayList<>();
            for (int i = 0; i < destinations.size(); i++) {
                targets.add(new Target(i + 1, i, 0, 0, destinations.get(i).capacity(0), Phase.READY));
            }
            post(new TargetList(true, targets));
        }

        /** The process is killed; what it had taken is in its journal. */
        void die() {
            away = true;
            life++;
            at(now + DOWN, () -> {
                away = false;
                begin();
                for (Taken message : List.copyOf(taken.values())) {
                    message.mayHaveRun |= message.out;
                    message.out = false;
                    if (now >= message.wish.until || message.wish.kind == 1 && message.mayHaveRun) {
                        over(message);
                        if (!message.mayHaveRun) {
                            refused(message.wish, 0);
                        }
                    } else {
                        post(message);
                    }
                }
            });
        }

        void offer(Wish wish) {
            if (taken.size() >= settings.allowed().held()) {
                refused(wish, 0.5);
                return;
            }
            Taken message = new Taken();
            message.id = ++lastMessage;
            message.wish = wish;
            taken.put(message.id, message);
            int of = life;
            at(wish.until + GRACE, () -> {
                if (!message.over && of == life) {
                    broken(message, "has no final answer in its time");
                }
            });
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
                events.add(one instanceof Taken message
                        ? new Arrived(new Message(message.id, message.wish.kind, 0,
                        message.wish.destination, 0, Math.max(0, message.wish.until - now), message.attempts,
                        message.wish.tries > 1)) : (Event) one);
            }
            inbox = new ArrayList<>();
            if (storms != null) {
                events.addAll(storms.before(now, events));
            }
            List<Action> actions = control.decide(now, events);
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
                if (message.mayHaveRun && message.wish.kind == 1) {
                    broken(message, "is handed back though it may have run");
                }
                over(message);
                refused(message.wish, refuse.after());
            } else if (action instanceof Fail fail) {
                note(3, fail.message());
                over(taken.get(fail.message()));
            } else if (action instanceof WakeAt wake) {
                later(wake.time(), () -> post(new Woken(wake.token())));
            } else if (action instanceof Cancel cancel) {
                Taken message = taken.get(cancel.message());
                if (message != null && message.out && message.attempts - 1 == cancel.attempt()) {
                    message.mayHaveRun = true;
                    message.out = false;
                    post(new Ended(message.id, cancel.attempt(), message.wish.destination + 1,
                            Outcome.CANCELLED, 0,
                            false, 0, null));
                }
            } else if (action instanceof Probe probe) {
                probe(probe.target());
            } else if (action instanceof Note note) {
                notes(note.note());
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
            if (message.out) {
                broken(message, "has two attempts out");
            }
            if (message.mayHaveRun && message.wish.kind == 1) {
                broken(message, "is sent again though it may have run");
            }
            int attempt = message.attempts++;
            message.out = true;
            double left = now;
            double way = between(NEAR, FAR);
            int of = life;
            at(now + way, () -> {
                // A call that has left arrives, whatever becomes of its relay.
                DestinationModel.Answer answer = destinations.get(message.wish.destination).call(now);
                double back = now + answer.after() + way;
                boolean silent = back - left > send.timeout();
                at(silent ? left + send.timeout() : back, () -> {
                    if (of == life && !away) {
                        ended(message, attempt, left, silent ? Outcome.TIMED_OUT : answer.outcome());
                    } else if (answer.outcome() == Outcome.DELIVERED) {
                        message.mayHaveRun = true;
                    }
                });
            });
        }

        private void ended(Taken message, int attempt, double left, Outcome outcome) {
            if (message.over || !message.out || message.attempts - 1 != attempt) {
                return;
            }
            message.out = false;
            message.mayHaveRun |= !outcome.neverRan();
            boolean over = outcome == Outcome.DELIVERED;
            if (over) {
                over(message);
                delivered(message.wish);
            }
            post(new Ended(message.id, attempt, message.wish.destination + 1, outcome, now - left, over, 0,
                    null));
        }

        private void probe(int target) {
            double left = now;
            double way = between(NEAR, FAR);
            at(now + way, () -> {
                DestinationModel.Answer answer = destinations.get(target - 1).call(now);
                later(Math.min(now + answer.after() + way, left + 1.5), () -> post(new Probed(target,
                        answer.outcome() == Outcome.DELIVERED, answer.outcome() == Outcome.FULL,
                                now - left)));
            });
        }

        private void notes(byte[] note) {
            for (Relay other : relays) {
                for (int copy = random.nextDouble() < DOUBLED ? 0 : 1; copy < 2; copy++) {
                    if (other != this && random.nextDouble() >= plan.noteLoss()) {
                        double took = random.nextDouble() < LATE_NOTES ? 2 : between(0.0021, 0.034);
                        other.later(now + took, () -> other.post(new Noted(number, note)));
                    }
                }
            }
        }

        private void over(Taken message) {
            if (message.over) {
                broken(message, "is answered twice");
            }
            message.over = true;
            taken.remove(message.id);
        }
    }

    /** A table of plans against results, for a terminal. */
    public static String table(Map<Plan, Result> results) {
        StringBuilder out =
                new StringBuilder(String.format("%-7s %-7s %6s %5s %6s | %7s %7s %8s %6s %6s %4s%n", "storms",
                "trouble", "lost", "load", "seed", "worth", "struck", "p99 s", "above", "full", "fell"));
        results.forEach((plan,
                result) -> out.append(String.format("%-7s %-7s %5.0f%% %5.2f %6d | %7.4f %7.4f %8.3f %6.1f "
                + "%6d %4d%s%n", plan.storms() ? "on" : "off",
                        plan.trouble().toLowerCase(java.util.Locale.ROOT),
                plan.noteLoss() * 100, plan.load(), plan.seed(), result.worth(), result.struck(),
                        result.soundP99(),
                result.above(), result.turned(), result.fell(), result.broken().isEmpty() ? "" : " BROKEN "
                + result.broken().get(0))));
        return out.toString();
    }

    /**
     * Whether no run broke a rule or pushed the destination, nor, with the package on, sent it more than it
     * takes.
     */
    public static boolean held(Map<Plan, Result> results) {
        return results.entrySet().stream().allMatch(one -> one.getValue().broken().isEmpty()
                && one.getValue().fell() == 0 && (!one.getKey().storms() || one.getValue().above() == 0));
    }

    /** Runs each plan over so many seeds from the plan's own on. */
    public static Map<Plan, Result> sweep(Plan first, int seeds) {
        Map<Plan, Result> out = new LinkedHashMap<>();
        for (int i = 0; i < seeds; i++) {
            Plan plan = new Plan(first.seed() + i, first.relays(), first.storms(), first.noteLoss(),
                    first.load(),
                    first.trouble(), first.heed(), first.crash());
            out.put(plan, run(plan));
        }
        return out;
    }
}
