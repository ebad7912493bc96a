package juniperusher.lab.fleet;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import juniperusher.ownership.Holding;
import juniperusher.ownership.Lease;
import juniperusher.ownership.LeaseTiming;
import juniperusher.ownership.Step;
import juniperusher.store.Op;
import juniperusher.store.Reply;
import juniperusher.store.Request;
import juniperusher.store.StoreState;

/**
 * Several processes that want one thing, and the store, in virtual time. Each process has a clock of its
 * own, off
 * by hours and a little fast or slow; it acts on the fleet's behalf whenever it believes that it may.
 */
public final class OwnershipWorld {
    /** The thing that all want. */
    public static final String THING = "owner/range-1";

    private static final String MARK = "acts";
    private static final double ACT = 0.3; // s between two acts of an owner
    private static final double MOST_AHEAD = 7_200; // s by which clocks differ
    private static final double WAY = 0.01; // s that a request or an answer takes

    private final LeaseTiming timing;
    private final StoreState store = new StoreState();
    private final TokenChecker checker = new TokenChecker();
    private final Timeline timeline;
    private final Map<String, Node> nodes = new LinkedHashMap<>();
    private final EventQueue events = new EventQueue();
    private final SplittableRandom random;
    private boolean storeDown;

    /** What is between a process and the store. */
    private static final class Way {
        boolean cut; // nothing passes
        boolean deaf; // requests arrive and are done, answers are lost
        double delay = WAY; // s
    }

    private final class Node {
        final String name;
        final double offset; // s by which its clock is ahead
        final double rate; // its seconds in one of the store's
        final Way way = new Way();
        final List<Runnable> waiting = new ArrayList<>(); // what has come while it stood still
        Lease lease;
        int life;
        boolean stopped;
        boolean alive;
        double wakeAt = Double.POSITIVE_INFINITY; // by the world's clock
        double actedAt;
        boolean owns;

        Node(String name, double offset, double rate) {
            this.name = name;
            this.offset = offset;
            this.rate = rate;
        }

        double clock() {
            return offset + now() * rate;
        }

        void start() {
            alive = true;
            stopped = false;
            waiting.clear();
            wakeAt = Double.POSITIVE_INFINITY;
            lease = new Lease(timing, THING, name + "/" + ++life, random.nextLong());
            carryOut(lease.acquire(clock()));
        }

        /** Guards what is out from a life that is over: its answers come to nobody. */
        void later(double delay, Runnable what) {
            int of = life;
            events.at(now() + delay, () -> {
                if (alive && life == of) {
                    if (stopped) {
                        waiting.add(what);
                    } else {
                        what.run();
                    }
                }
            });
        }

        void carryOut(List<Step> steps) {
            for (Step step : steps) {
                if (step instanceof Step.SendRequest ask) {
                    send(this, ask.request(), reply -> carryOut(lease.answerReceived(ask.number(), reply, clock())));
                } else if (step instanceof Step.Acquired held) {
                    timeline.add(now(), name, "owns " + held.holding().token());
                } else if (step instanceof Step.Uncertain) {
                    timeline.add(now(), name, "in doubt");
                } else if (step instanceof Step.Lost) {
                    timeline.add(now(), name, "lost");
                }
            }
            believe();
            double due = now() + (lease.nextTickAt() - clock()) / rate;
            if (due < wakeAt) {
                wakeAt = due;
                later(Math.max(0, due - now()), this::wake);
            }
        }

        void wake() {
            wakeAt = Double.POSITIVE_INFINITY;
            carryOut(lease.tick(clock()));
        }

        void believe() {
            boolean holds = !stopped && alive && lease.isOwner(clock());
            owns = holds;
            checker.believes(now(), THING, name, holds ? lease.holding().token() : 0);
            if (holds && now() >= actedAt + ACT) {
                act();
            }
        }

        /** Something on behalf of the fleet: counts only if the store lets the token pass. */
        void act() {
            actedAt = now();
            Holding holding = lease.holding();
            send(
                    this,
                    holding.fence(new Request.Txn(List.of(), List.of(new Op.Put(MARK, name, 0)), List.of())),
                    reply -> {});
            later(ACT, this::believe);
        }
    }

    /** Hears the store's answer. */
    private interface Answer {
        void heard(Reply reply);
    }

    /**
     * A world of so many processes, a, b, c and on, that all want the thing from the start. No clock runs
     * further
     * apart from the store's than the margin allows for.
     */
    public OwnershipWorld(LeaseTiming timing, int size, long seed) {
        this(timing, size, seed, timing.safetyMarginSeconds() / timing.ttlSeconds() / 3);
    }

    /**
     * The same, with clocks that run apart from the store's by up to {@code drift} of the time that passes.
     */
    public OwnershipWorld(LeaseTiming timing, int size, long seed, double drift) {
        this.timing = timing;
        random = new SplittableRandom(seed);
        List<String> columns = new ArrayList<>(List.of("store"));
        for (int i = 0; i < size; i++) {
            columns.add(String.valueOf((char) ('a' + i)));
        }
        timeline = new Timeline(columns);
        for (int i = 0; i < size; i++) {
            String name = columns.get(i + 1);
            nodes.put(
                    name, new Node(name, MOST_AHEAD * random.nextDouble(), 1 + drift * (2 * random.nextDouble() - 1)));
        }
        nodes.values().forEach(Node::start);
    }

    private double now() {
        return events.now();
    }

    private void send(Node from, Request request, Answer answer) {
        if (from.way.cut) {
            return;
        }
        double back = from.way.delay;
        events.at(now() + from.way.delay, () -> {
            if (storeDown) {
                return;
            }
            Reply reply = store.answer(request, now());
            if (reply instanceof Reply.Done done
                    && done.succeeded()
                    && request instanceof Request.Txn txn
                    && !txn.then().isEmpty()
                    && txn.then().get(0) instanceof Op.Put put
                    && put.key().equals(MARK)) {
                checker.acted(now(), THING, from.name, txn.compare().get(0).number());
            }
            if (!from.way.deaf && !from.way.cut) {
                from.later(back, () -> answer.heard(reply));
            }
        });
    }

    // ---- faults ----

    /** Nothing passes between the process and the store, or does so again. */
    public void cut(String node, boolean cut) {
        timeline.add(now(), node, cut ? "cut off" : "reached again");
        nodes.get(node).way.cut = cut;
    }

    /** What the process asks is done and it does not hear so, or does again. */
    public void deaf(String node, boolean deaf) {
        timeline.add(now(), node, deaf ? "answers lost" : "answers heard");
        nodes.get(node).way.deaf = deaf;
    }

    /** Each way takes so long. */
    public void slow(String node, double seconds) {
        timeline.add(now(), node, "each way " + seconds + " s");
        nodes.get(node).way.delay = seconds;
    }

    /** SIGSTOP: it stands still, and believes on waking what it believed before. */
    public void stop(String node) {
        timeline.add(now(), node, "SIGSTOP");
        nodes.get(node).stopped = true;
        nodes.get(node).believe();
    }

    /** SIGCONT: what it does first it does by what it believed, unless it looks at its clock. */
    public void go(String node) {
        Node one = nodes.get(node);
        if (!one.stopped || !one.alive) {
            return;
        }
        timeline.add(now(), node, "SIGCONT");
        one.stopped = false;
        one.believe();
        List<Runnable> waiting = List.copyOf(one.waiting);
        one.waiting.clear();
        waiting.forEach(Runnable::run);
        one.carryOut(one.lease.tick(one.clock()));
    }

    /** SIGKILL. */
    public void kill(String node) {
        timeline.add(now(), node, "SIGKILL");
        nodes.get(node).alive = false;
        nodes.get(node).believe();
    }

    /** Another life of a process that was killed. */
    public void start(String node) {
        if (!nodes.get(node).alive) {
            timeline.add(now(), node, "starts");
            nodes.get(node).start();
        }
    }

    /**
     * The store is not there for a while; it comes back with what it had and gives each lease its time
     * anew.
     */
    public void storeDown(boolean down) {
        timeline.add(now(), "store", down ? "down" : "back");
        if (!down && storeDown) {
            store.restart(now());
        }
        storeDown = down;
    }

    /** A lease ends before its time, by the store's fault. */
    public void endEarly() {
        timeline.add(now(), "store", "ends leases early");
        checker.leasesBroken();
        store.leases().forEach(store::endLease);
    }

    /** Plays until then, in seconds. */
    public void run(double until) {
        while (events.playNext(until)) {
            nodes.values().forEach(Node::believe);
        }
    }

    /** What happened. */
    public Timeline timeline() {
        return timeline;
    }

    /** The first break of what must hold, or null. */
    public String broken() {
        return checker.broken();
    }

    /** Who believes that it may act, or an empty string. */
    public String owner() {
        return nodes.values().stream()
                .filter(node -> node.owns)
                .map(node -> node.name)
                .findFirst()
                .orElse("");
    }
}
