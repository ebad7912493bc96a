package juniperusher.storm;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.stream.Stream;
import juniperusher.Protocol.Action;
import juniperusher.Protocol.Advised;
import juniperusher.Protocol.Arrived;
import juniperusher.Protocol.Ended;
import juniperusher.Protocol.Event;
import juniperusher.Protocol.Fail;
import juniperusher.Protocol.Log;
import juniperusher.Protocol.Note;
import juniperusher.Protocol.Noted;
import juniperusher.Protocol.Phase;
import juniperusher.Protocol.Probe;
import juniperusher.Protocol.Probed;
import juniperusher.Protocol.Refuse;
import juniperusher.Protocol.Send;
import juniperusher.Protocol.Settings;
import juniperusher.Protocol.Target;
import juniperusher.Protocol.TargetList;
import juniperusher.Protocol.Withdrawn;

/**
 * Sees each round of the module: its events before it and its actions after it. Tells the module, by
 * {@link Advised}, at which rate this relay may call a destination, how much may be held for it and when
 * there
 * will be room; tells the other relays by notes. One thread; the same rounds give the same advice.
 */
public final class Storms {
    private static final double SHUT = 3; // s: a longer told wait is an outage's, not a limit's
    private static final double STALE = 5; // s after which what another relay holds is not known any more
    private static final double LEAST_CHANGE = 0.01; // of the rate, before the module is told anew
    private static final double HORIZON = 30; // s, the farthest return that is told
    private static final double MOST_HELD = 0.8; // of the relay's room, less what all others have of it
    private static final int LEAST_HELD = 4; // messages, whatever the bound says
    private static final int LEAST_NEED = 2; // messages owed, below which a relay lends most of its share

    private static final double PROBES = 4; // a second, of all relays together, and
    private static final double PROBE_SHARE = 0.4; // of what a destination takes cold

    private static final Shares.Echo NO_ECHO = new Shares.Echo(0, Double.POSITIVE_INFINITY);

    private final StormSettings settings;
    private final Settings module;
    private final int me;
    private final double epoch;
    private final Shares shares;
    private final Map<Integer, DestinationStorm> destinations = new TreeMap<>();
    // Those whose turn may change something; all others are calm and stay as they are until they are touched.
    private final Set<Integer> active = new TreeSet<>();
    private final Map<Integer, Target> targets = new TreeMap<>();
    // the module's probes that are out, by target
    private final Map<Integer, Integer> asking = new HashMap<>();
    private final Map<Integer, Integer> held = new HashMap<>(); // destination, by message
    private final Map<Long, Double> sent = new HashMap<>(); // when, by message and attempt
    private final Map<Integer, Integer> attempts = new HashMap<>(); // by message
    private final Map<Integer, Long> prints = new HashMap<>(); // by message
    private final Fingerprints fingerprints = new Fingerprints();
    private double roundAt; // the last round's time
    private final Map<Long, Heard> heard = new HashMap<>(); // by relay and destination
    private final Map<Integer, Advised> told = new HashMap<>();
    private final List<Log> lines = new ArrayList<>();
    private double noteAt;
    private long changes;

    /** What another relay holds for a destination. */
    private record Heard(int from, int owed, double at) {}

    /**
     * {@code me} is this relay's number among the senders, {@code epoch} what has to be added to the rounds'
     * time
     * to get a clock that does not go back over a restart; {@code born} is the rounds' time at the start.
     */
    public Storms(StormSettings settings, Settings module, int me, double epoch, double born) {
        this.settings = settings;
        this.module = module;
        this.me = me;
        this.epoch = epoch;
        shares = new Shares(module.senders(), epoch + born);
    }

    // ---- before a round ----

    /**
     * A message arrives whose client marks nothing; whether it was refused before. Called before the round in
     * which the module hears of it.
     */
    public boolean comesAgain(int message, long print) {
        prints.put(message, print);
        return fingerprints.again(print, roundAt);
    }

    /** Something was refused before it became a message. */
    public void turnedAway(double now, long print) {
        fingerprints.refused(print, now);
    }

    /**
     * Takes the events of a round; what the module is to be told: them, without probes of ours, and advice.
     */
    public List<Event> before(double now, List<Event> events) {
        List<Event> advice = new ArrayList<>();
        roundAt = now;
        for (Event event : events) {
            if (!(event instanceof Probed probed) || probed(now, probed)) {
                take(now, event);
                advice.add(event);
            }
        }
        for (Iterator<Integer> numbers = active.iterator(); numbers.hasNext(); ) {
            int number = numbers.next();
            DestinationStorm storm = destinations.get(number);
            DestinationStorm.Change change = storm.turn(now, shares.part(number, epoch + now));
            if (change != null) {
                changes++;
                lines.add(new Log("storm destination=" + number + " from=" + change.from() + " to="
                        + change.to()
                        + " reason=" + change.reason() + " owed=" + storm.owed() + " stated="
                        + storm.stated()));
            }
            Advised next = advise(number, storm, now);
            if (differs(told.get(number), next)) {
                told.put(number, next);
                advice.add(next);
            }
            if (storm.settled(now)) {
                numbers.remove();
            }
        }
        return advice;
    }

    private void take(double now, Event event) {
        if (event instanceof TargetList list) {
            list(list);
        } else if (event instanceof Arrived arrived) {
            int destination = arrived.message().destination();
            held.put(arrived.message().id(), destination);
            attempts.put(arrived.message().id(), arrived.message().attempts());
            at(destination).arrived(now, arrived.message().again());
        } else if (event instanceof Withdrawn withdrawn) {
            over(withdrawn.message());
        } else if (event instanceof Ended ended) {
            ended(now, ended);
        } else if (event instanceof Noted noted) {
            noted(now, noted);
        }
    }

    /** A probe's result; whether the module has asked for it. */
    private boolean probed(double now, Probed probed) {
        int asked = asking.getOrDefault(probed.target(), 0);
        asking.computeIfPresent(probed.target(), (key, count) -> count > 1 ? count - 1 : null);
        Target target = targets.get(probed.target());
        if (target != null) {
            DestinationStorm storm = at(target.destination());
            if (asked == 0) {
                storm.probeOver();
            }
            if (probed.ok()) {
                storm.succeeded(now, now - probed.elapsed(), 0);
                storm.backElsewhere(asked == 0);
            } else {
                storm.failed(now, now - probed.elapsed());
            }
        }
        return asked > 0;
    }

    /** The destination, which is about to be told something. */
    private DestinationStorm at(int destination) {
        active.add(destination);
        return destinations.computeIfAbsent(destination, key -> new DestinationStorm(settings, module.rules()));
    }

    private void list(TargetList list) {
        if (list.whole()) {
            targets.clear();
        }
        for (Target target : list.targets()) {
            targets.put(target.id(), target);
            // The listed weight is the whole destination's rate, and the same at each of its endpoints.
            if (target.phase() != Phase.GONE && module.weight() != juniperusher.Protocol.Weight.NONE) {
                at(target.destination()).listed(target.weight());
            }
        }
    }

    private void ended(double now, Ended ended) {
        Target target = targets.get(ended.target());
        Double sentAt = sent.remove(call(ended.message(), ended.attempt()));
        if (target != null) {
            DestinationStorm storm = at(target.destination());
            double from = sentAt == null ? now - ended.elapsed() : sentAt;
            double limit = ended.report() == null ? 0 : ended.report().limit();
            switch (ended.outcome()) {
                case DELIVERED -> storm.succeeded(now, from, limit);
                case FULL -> {
                    storm.told(now + ended.told());
                    if (ended.told() > SHUT) {
                        storm.failed(now, from);
                    } else {
                        storm.full(now, from, limit);
                    }
                }
                case NOT_SENT, CANCELLED -> {}
                default -> storm.failed(now, from);
            }
        }
        if (ended.over()) {
            over(ended.message());
        }
    }

    private static long call(int message, int attempt) {
        return (long) message << 16 | attempt;
    }

    private void over(int message) {
        Integer destination = held.remove(message);
        attempts.remove(message);
        prints.remove(message);
        if (destination != null) {
            at(destination).over();
        }
    }

    // ---- what follows from it ----

    private Advised advise(int number, DestinationStorm storm, double now) {
        Ramp all = storm.takes(now);
        if (all == null) {
            return new Advised(number, Double.POSITIVE_INFINITY, Integer.MAX_VALUE, 0, storm.seenBack());
        }
        double part = shares.part(number, epoch + now);
        double deadline =
                module.classes().stream().mapToDouble(c -> c.deadline()).max().orElse(HORIZON);
        // What cannot be delivered in its time is better turned away at once; nor may one storm fill the
        // relay.
        int room = (int) Math.min(
                Math.max(
                        module.allowed().held() * settings.heldShare(),
                        module.allowed().held() * MOST_HELD - (held.size() - storm.owed())),
                all.between(now, now + deadline) * part);
        double roomAt = all.after(now, storm.owed() / part, HORIZON);
        return new Advised(number, all.at(now) * part, Math.max(LEAST_HELD, room), roomAt - now, storm.seenBack());
    }

    /** Guards against advice in every round: a rate that has hardly moved is not told. */
    private static boolean differs(Advised before, Advised next) {
        if (next.back()) {
            return true;
        }
        if (before == null) {
            return next.rate() < Double.POSITIVE_INFINITY;
        }
        boolean same = before.rate() == next.rate()
                || Math.abs(before.rate() - next.rate()) < LEAST_CHANGE * before.rate() && next.rate() >= before.rate();
        return !(same
                && Math.abs(before.hold() - next.hold()) <= LEAST_CHANGE * before.hold()
                && Math.abs(before.returnIn() - next.returnIn()) <= LEAST_CHANGE * Math.max(1, before.returnIn()));
    }

    // ---- after a round ----

    /** Takes the actions of a round; what is to be done beside them. */
    public List<Action> after(double now, List<Action> actions) {
        for (Action action : actions) {
            if (action instanceof Send send) {
                int attempt = attempts.merge(send.message(), 1, Integer::sum) - 1;
                sent.put(call(send.message(), attempt), now);
            } else if (action instanceof Refuse refuse) {
                refused(now, refuse.message());
                Long print = prints.get(refuse.message());
                if (print != null) {
                    fingerprints.refused(print, now);
                }
                over(refuse.message());
            } else if (action instanceof Fail fail) {
                over(fail.message());
            } else if (action instanceof Probe probe) {
                asking.merge(probe.target(), 1, Integer::sum);
            }
        }
        List<Action> further = new ArrayList<>(lines);
        lines.clear();
        if (module.allowed().probes() && out() > 0) {
            probe(now, further);
        }
        if (now >= noteAt && module.allowed().notes() && module.senders() > 1) {
            StormNote note = note(now);
            if (note != null) {
                further.add(new Note(-1, note.bytes()));
                noteAt = now + settings.noteEvery();
            }
        }
        return further;
    }

    /**
     * Asks destinations that are out whether they are back, so that no message's attempt is spent on it and
     * the
     * return is found while few calls leave: all relays together no more often than {@link #PROBES} a second
     * and
     * than a part of what it would take cold.
     */
    private void probe(double now, List<Action> further) {
        for (Target target : targets.values()) {
            DestinationStorm storm = target.phase() == Phase.READY ? destinations.get(target.destination()) : null;
            if (storm != null) {
                double most = Math.min(PROBES, PROBE_SHARE * module.rules().coldFrom() * storm.stated());
                if (most > 0 && storm.probes(now, module.senders() / most, (me + 0.5) / module.senders())) {
                    further.add(new Probe(target.id()));
                }
            }
        }
    }

    private void refused(double now, int message) {
        Integer destination = held.get(message);
        if (destination != null) {
            at(destination).refused(now);
        }
    }

    // ---- notes ----

    private StormNote note(double now) {
        List<Map.Entry<Integer, DestinationStorm>> stormy = active.stream()
                .map(number -> Map.entry(number, destinations.get(number)))
                .filter(entry -> entry.getValue().state() != StormState.CALM)
                .sorted(Comparator.comparingInt(entry -> -entry.getValue().owed()))
                .limit(StormNote.MOST_ENTRIES)
                .toList();
        if (stormy.isEmpty()) {
            return null;
        }
        List<StormNote.Entry> entries = new ArrayList<>();
        for (Map.Entry<Integer, DestinationStorm> entry : stormy) {
            DestinationStorm storm = entry.getValue();
            int to = neediest(entry.getKey(), storm.owed(), now);
            Shares.Echo echo = to < 0 ? null : shares.echo(to, epoch + now);
            double part = echo == null ? 0 : shares.lend(entry.getKey(), to, surplus(storm, now), epoch + now);
            entries.add(new StormNote.Entry(
                    entry.getKey(),
                    storm.out(),
                    now - storm.outFrom(),
                    now - storm.backAt(),
                    storm.owed(),
                    part > 0 ? to : -1,
                    part,
                    part > 0 ? echo : NO_ECHO));
        }
        return new StormNote(epoch + now, entries);
    }

    /** The relay that holds most for the destination, and more than this one; -1 for none. */
    private int neediest(int destination, int owed, double now) {
        int best = -1;
        int most = Math.max(LEAST_NEED, 2 * owed);
        for (int relay = 0; relay < module.senders(); relay++) {
            Heard other = heard.get(key(relay, destination));
            if (other != null && now - other.at() < STALE && other.owed() > most) {
                best = relay;
                most = other.owed();
            }
        }
        return best;
    }

    /**
     * The part of its share that this relay does not need in the next seconds: what it holds and what is
     * likely to
     * arrive goes first. Nothing where it keeps to no share itself.
     */
    private double surplus(DestinationStorm storm, double now) {
        Ramp all = storm.takes(now);
        if (all == null) {
            return 0;
        }
        double seconds = 2 * Shares.LENT;
        double can = all.between(now, now + seconds) / module.senders();
        return 1 - (storm.owed() + storm.demand(now) * seconds + LEAST_NEED) / can;
    }

    private static long key(int relay, int destination) {
        return (long) relay << 32 | destination & 0xffffffffL;
    }

    private void noted(double now, Noted noted) {
        StormNote note = StormNote.read(noted.note());
        if (note == null
                || noted.from() == me
                || noted.from() < 0
                || noted.from() >= module.senders()
                || !shares.heard(noted.from(), note.sentAt(), epoch + now)) {
            return; // another version, spoilt, doubled or out of order: it says nothing
        }
        for (StormNote.Entry entry : note.entries()) {
            heard.put(key(noted.from(), entry.destination()), new Heard(noted.from(), entry.owed(), now));
            DestinationStorm storm = destinations.get(entry.destination());
            if (storm == null) {
                continue; // never listed here
            }
            active.add(entry.destination());
            if (entry.out()) {
                storm.heardOut(now, now - entry.outAge());
            } else if (Double.isFinite(entry.backAge())) {
                storm.heardBack(now - entry.backAge());
            }
            if (entry.to() == me) {
                shares.borrow(noted.from(), entry.destination(), entry.part(), entry.echo(), epoch + now);
            }
        }
    }

    // ---- what there is to see ----

    /** The state of a destination. */
    public StormState state(int destination) {
        DestinationStorm storm = destinations.get(destination);
        return storm == null ? StormState.CALM : storm.state();
    }

    /** How many destinations are in the state. */
    public int count(StormState state) {
        int inIt = (int) activeStorms().filter(storm -> storm.state() == state).count();
        return state == StormState.CALM ? destinations.size() - active.size() + inIt : inIt;
    }

    /** How many destinations count as out. */
    public int out() {
        return (int) activeStorms().filter(DestinationStorm::out).count();
    }

    private Stream<DestinationStorm> activeStorms() {
        return active.stream().map(destinations::get);
    }

    /** How many destinations a round looks at. */
    int active() {
        return active.size();
    }

    /** Changes of state so far. */
    public long changes() {
        return changes;
    }
}
