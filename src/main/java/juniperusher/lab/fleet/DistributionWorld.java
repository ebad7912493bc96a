package juniperusher.lab.fleet;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.IdentityHashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import juniperusher.distribution.ControlMessage;
import juniperusher.distribution.ControlMessageCodec;
import juniperusher.distribution.ControlProcess;
import juniperusher.distribution.DamagedFrameException;
import juniperusher.distribution.DamagedStateException;
import juniperusher.distribution.Limits;
import juniperusher.distribution.Publisher;
import juniperusher.distribution.PublisherStep;
import juniperusher.distribution.Subscriber;
import juniperusher.distribution.SubscriberStep;
import juniperusher.distribution.SubscriberStep.Reason;
import juniperusher.distribution.Timing;
import juniperusher.distribution.Version;

/**
 * Control processes c1, c2, ... and relays r1, r2, ... in virtual time, with real frames on the connections between
 * them. One control process leads under a token; the others follow it and the relays follow any. Each process has a
 * clock of its own.
 */
public final class DistributionWorld {
    private static final double MOST_AHEAD = 7_200; // s by which clocks differ
    private static final double ROUNDING = 1e-6; // s, so that a process wakes after its due time
    private static final int SMALL = 100; // relays up to which publishers are looked at after each step
    private static final int SAMPLE = 64;
    private static final double UNLIMITED = Double.POSITIVE_INFINITY;

    private final Setting setting;
    private final SplittableRandom random;
    private final EventQueue events = new EventQueue();
    private final DistributionChecker checker;
    private final Timeline timeline;
    private final Map<String, Node> nodes = new LinkedHashMap<>();
    private final List<ControlNode> controls = new ArrayList<>();
    private final List<RelayNode> relays = new ArrayList<>();
    private final List<String> controlNames = new ArrayList<>();
    private final Map<ControlMessage, byte[]> frames = new IdentityHashMap<>(); // of this moment
    private long tokens;
    private String leader = ""; // the last that was elected

    /**
     * A world's size and machines.
     *
     * @param delay seconds that a frame takes
     * @param stateBytes of an encoded state
     * @param changeBytes of a change
     */
    public record Setting(
            int controls,
            int relays,
            Timing timing,
            Limits limits,
            double delay,
            int stateBytes,
            int changeBytes,
            long seed) {}

    /** A process. */
    private abstract class Node {
        final String name;
        final double offset;
        final Map<Long, Link> upstream = new HashMap<>(); // by this process's own numbers
        boolean alive;
        boolean apart; // cut off, with all others that are
        double readRate = UNLIMITED; // bytes in a second
        int life;
        long bytesIn; // from its sources
        double wakeAt = Double.POSITIVE_INFINITY;
        Subscriber<Ledger> subscriber;

        Node(String name) {
            this.name = name;
            offset = MOST_AHEAD * random.nextDouble();
        }

        double clock() {
            return offset + events.now();
        }

        Subscriber<Ledger> newSubscriber() {
            return new Subscriber<>(
                    name,
                    setting.timing(),
                    setting.limits().maxStateBytes(),
                    new LedgerCodec(setting.stateBytes()),
                    random.nextLong());
        }

        void later(double delay, Runnable what) {
            int of = life;
            events.at(events.now() + delay, () -> {
                if (alive && life == of) {
                    what.run();
                }
            });
        }

        void planWake(double due) {
            double at = Math.max(events.now(), due - offset) + ROUNDING;
            if (at < wakeAt) {
                wakeAt = at;
                later(at - events.now(), () -> {
                    wakeAt = Double.POSITIVE_INFINITY;
                    tick();
                });
            }
        }

        void carryOut(List<SubscriberStep<Ledger>> steps) {
            for (SubscriberStep<Ledger> step : steps) {
                if (step instanceof SubscriberStep.Connect<Ledger> connect) {
                    connect(this, connect.connection(), (ControlNode) nodes.get(connect.source()));
                } else if (step instanceof SubscriberStep.Send<Ledger> send) {
                    Link link = upstream.get(send.connection());
                    if (link != null) {
                        link.toServer.send(frame(send.message()), setting.delay(), UNLIMITED);
                    }
                } else if (step instanceof SubscriberStep.Disconnect<Ledger> disconnect) {
                    draw(name, "leaves: " + disconnect.reason());
                    Link link = upstream.remove(disconnect.connection());
                    if (link != null) {
                        link.toServer.end(setting.delay());
                    }
                } else if (step instanceof SubscriberStep.Replaced<Ledger> replaced) {
                    tookOver(replaced.version(), "whole " + replaced.version());
                } else if (step instanceof SubscriberStep.Advanced<Ledger> advanced) {
                    tookOver(advanced.toVersion(), advanced.fromVersion() + " to " + advanced.toVersion());
                } else if (step instanceof SubscriberStep.Refused<Ledger> refused) {
                    draw(name, "refuses " + refused.version());
                }
            }
        }

        private void tookOver(Version version, String drawn) {
            draw(name, drawn);
            checker.tookOver(events.now(), name, version, subscriber.state());
        }

        void checkStaleness() {
            checker.staleness(events.now(), name, subscriber.version(), subscriber.stalenessSeconds(clock()));
        }

        abstract void start();

        abstract void tick();

        abstract void connected(long connection);

        abstract void disconnected(long connection);

        abstract void fromSource(long connection, ControlMessage message);

        abstract Version version();
    }

    private final class RelayNode extends Node {
        double tookOverAt;

        RelayNode(String name) {
            super(name);
        }

        @Override
        void start() {
            Subscriber<Ledger> before = subscriber;
            subscriber = newSubscriber();
            if (before != null && before.state() != null) {
                subscriber.resume(before.version(), before.state(), before.lastKnownCurrentAt()); // as from its folder
            }
            run(subscriber.start(preferred(), clock()));
        }

        /** All control processes, from one on that differs from relay to relay. */
        private List<String> preferred() {
            List<String> all = new ArrayList<>(controlNames);
            java.util.Collections.rotate(all, -(Integer.parseInt(name.substring(1)) % all.size()));
            return all;
        }

        private void run(List<SubscriberStep<Ledger>> steps) {
            Version before = heldBefore;
            carryOut(steps);
            if (!subscriber.version().equals(before)) {
                heldBefore = subscriber.version();
                tookOverAt = events.now();
            }
            planWake(subscriber.nextTickAt());
        }

        private Version heldBefore = Version.NONE;

        @Override
        void tick() {
            run(subscriber.tick(clock()));
        }

        @Override
        void connected(long connection) {
            run(subscriber.connected(connection, clock()));
        }

        @Override
        void disconnected(long connection) {
            run(subscriber.disconnected(connection, clock()));
        }

        @Override
        void fromSource(long connection, ControlMessage message) {
            run(subscriber.received(connection, message, clock()));
            checkStaleness();
        }

        @Override
        Version version() {
            return subscriber.version();
        }
    }

    private final class ControlNode extends Node {
        final Map<Long, Link> downstream = new LinkedHashMap<>(); // by this process's own numbers
        ControlProcess<Ledger> process;
        long accepted;
        long handled;

        ControlNode(String name) {
            super(name);
        }

        @Override
        void start() {
            subscriber = newSubscriber();
            process = new ControlProcess<>(
                    subscriber,
                    new Publisher<>(
                            setting.timing(),
                            setting.limits(),
                            new LedgerCodec(setting.stateBytes()),
                            random.nextLong()));
            checker.emptied(name);
            if (!leader.isEmpty() && !leader.equals(name)) {
                follow();
            }
        }

        void follow() {
            run(process.follow(List.of(leader), clock()));
        }

        void run(ControlProcess.Steps<Ledger> steps) {
            carryOut(steps.upstream());
            for (PublisherStep step : steps.downstream()) {
                if (step instanceof PublisherStep.Send send) {
                    Link link = downstream.get(send.connection());
                    if (link != null) {
                        link.toClient.send(frame(send.message()), setting.delay(), link.client.readRate);
                    }
                } else if (step instanceof PublisherStep.Close close) {
                    Link link = downstream.remove(close.connection());
                    if (link != null) {
                        link.toClient.end(setting.delay());
                    }
                } else if (step instanceof PublisherStep.Deposed deposed) {
                    draw(name, "deposed by " + deposed.term());
                    later(0, this::follow);
                }
            }
            if (++handled % (setting.relays() <= SMALL ? 1 : SAMPLE) == 0) {
                checker.memory(events.now(), name, process.publisher().memory());
            }
            planWake(process.nextTickAt());
        }

        void published(long from) {
            Publisher<Ledger> publisher = process.publisher();
            if (publisher.newestVersion().revision() > from) {
                checker.published(events.now(), publisher.newestVersion(), publisher.state());
            }
        }

        @Override
        void tick() {
            run(process.tick(clock()));
        }

        @Override
        void connected(long connection) {
            run(process.connected(connection, clock()));
        }

        @Override
        void disconnected(long connection) {
            run(process.disconnected(connection, clock()));
        }

        @Override
        void fromSource(long connection, ControlMessage message) {
            run(process.fromSource(connection, message, clock()));
            checkStaleness();
        }

        @Override
        Version version() {
            return process.publisher().newestVersion();
        }
    }

    /** A connection; each side has its own number for it. */
    private final class Link {
        final Node client;
        final Pipe toClient;
        final Pipe toServer;

        Link(Node client, long clientNumber, ControlNode server, long serverNumber) {
            this.client = client;
            int clientLife = client.life;
            int serverLife = server.life;
            ControlMessageCodec.Decoder clientDecoder = new ControlMessageCodec.Decoder();
            ControlMessageCodec.Decoder serverDecoder = new ControlMessageCodec.Decoder();
            toClient = new Pipe(
                    events,
                    () -> client.apart == server.apart,
                    frame -> {
                        client.bytesIn += frame.length;
                        if (client.alive && client.life == clientLife && client.upstream.containsKey(clientNumber)) {
                            read(
                                    clientDecoder,
                                    frame,
                                    message -> client.fromSource(clientNumber, message),
                                    () -> endAtClient(clientNumber));
                        }
                    },
                    () -> {
                        if (client.alive && client.life == clientLife) {
                            endAtClient(clientNumber);
                        }
                    });
            toServer = new Pipe(
                    events,
                    () -> client.apart == server.apart,
                    frame -> {
                        if (server.alive && server.life == serverLife && server.downstream.containsKey(serverNumber)) {
                            read(
                                    serverDecoder,
                                    frame,
                                    message -> server.run(
                                            server.process.fromSubscriber(serverNumber, message, server.clock())),
                                    () -> endAtServer(server, serverNumber));
                        }
                    },
                    () -> {
                        if (server.alive && server.life == serverLife) {
                            endAtServer(server, serverNumber);
                        }
                    });
        }

        private void endAtClient(long number) {
            Link link = client.upstream.remove(number);
            if (link != null) {
                draw(client.name, "connection ends");
                link.toServer.end(setting.delay());
                client.disconnected(number);
            }
        }

        private void endAtServer(ControlNode server, long number) {
            Link link = server.downstream.remove(number);
            if (link != null) {
                link.toClient.end(setting.delay());
                server.process.closed(number, server.clock());
            }
        }
    }

    private static void read(
            ControlMessageCodec.Decoder decoder, byte[] frame, Consumer<ControlMessage> reader, Runnable damaged) {
        decoder.feed(frame);
        try {
            for (ControlMessage message = decoder.next(); message != null; message = decoder.next()) {
                reader.accept(message);
            }
        } catch (DamagedFrameException ex) {
            damaged.run();
        }
    }

    /** A world in which c1 leads with an empty state, the others follow it, and the relays start with nothing. */
    public DistributionWorld(Setting setting) {
        this.setting = setting;
        random = new SplittableRandom(setting.seed());
        checker = new DistributionChecker(setting.limits());
        for (int i = 1; i <= setting.controls(); i++) {
            controls.add(new ControlNode("c" + i));
        }
        for (int i = 1; i <= setting.relays(); i++) {
            relays.add(new RelayNode("r" + i));
        }
        controls.forEach(node -> nodes.put(node.name, node));
        controls.forEach(node -> controlNames.add(node.name));
        relays.forEach(node -> nodes.put(node.name, node));
        timeline = nodes.size() <= 10 ? new Timeline(List.copyOf(nodes.keySet())) : null;
        nodes.values().forEach(node -> {
            node.alive = true;
            node.start();
        });
        ControlNode first = controls.get(0);
        first.run(first.process.resume(new Version(0, 1), Ledger.EMPTY, Double.NEGATIVE_INFINITY, first.clock()));
        checker.published(0, new Version(0, 1), Ledger.EMPTY);
        elect("c1");
    }

    private void draw(String node, String what) {
        if (timeline != null) {
            timeline.add(events.now(), node, what);
        }
    }

    private byte[] frame(ControlMessage message) {
        if (frames.size() > 1_000) {
            frames.clear();
        }
        return frames.computeIfAbsent(message, ControlMessageCodec::encode);
    }

    private void connect(Node client, long clientNumber, ControlNode server) {
        events.at(events.now() + setting.delay(), () -> {
            if (client.apart != server.apart) {
                return; // nobody answers
            }
            if (!server.alive) {
                client.later(setting.delay(), () -> client.disconnected(clientNumber));
                return;
            }
            long serverNumber = ++server.accepted;
            Link link = new Link(client, clientNumber, server, serverNumber);
            server.downstream.put(serverNumber, link);
            client.later(setting.delay(), () -> {
                draw(client.name, "reads " + server.name);
                client.upstream.put(clientNumber, link);
                client.connected(clientNumber);
            });
        });
    }

    // ---- what the fleet does ----

    /**
     * That control process leads from now on, under the next token, and the one before does no more: its lease was
     * over first, by its own clock.
     */
    public void elect(String control) {
        if (!leader.isEmpty() && !leader.equals(control)) {
            ControlNode old = (ControlNode) nodes.get(leader);
            if (old.alive) {
                old.run(old.process.follow(List.of(), old.clock()));
            }
        }
        electBeside(control);
    }

    /** That control process leads, and the one before, which has not heard, believes that it still does too. */
    public void electBeside(String control) {
        ControlNode next = (ControlNode) nodes.get(control);
        if (!next.alive) {
            return;
        }
        if (next.process.publisher().state() == null) { // as from the store
            next.run(next.process.resume(
                    checker.newest(), checker.newestState(), Double.NEGATIVE_INFINITY, next.clock()));
        }
        leader = control;
        draw(control, "leads under " + (tokens + 1));
        long from = next.version().revision();
        next.run(next.process.lead(++tokens, next.clock()));
        next.published(from);
        for (ControlNode other : controls) {
            if (other != next && other.alive && !other.process.publisher().isLeading()) {
                other.later(setting.delay(), () -> {
                    if (!other.process.publisher().isLeading()) {
                        other.follow();
                    }
                });
            }
        }
    }

    /** A process that believes to lead hears from the store that another one does. */
    public void leaseLost(String control) {
        ControlNode node = (ControlNode) nodes.get(control);
        if (node.alive && node.process.publisher().isLeading() && !control.equals(leader)) {
            draw(control, "lease lost");
            node.follow();
        }
    }

    /** Two lead at once from now on, so nobody can know how stale it is. */
    public void twoLead() {
        checker.twoLead();
    }

    /** Each control process that believes to lead publishes so many changes in one go. */
    public void change(int count) {
        for (ControlNode control : controls) {
            if (control.alive && control.process.publisher().isLeading()) {
                publish(control, count);
            }
        }
    }

    private void publish(ControlNode control, int count) {
        List<PublisherStep> steps = new ArrayList<>();
        try {
            for (int i = 0; i < count; i++) {
                long from = control.version().revision();
                List<byte[]> one = List.of(LedgerCodec.change(random.nextLong(), setting.changeBytes()));
                steps.addAll(control.process.publish(one, control.clock()).downstream());
                control.published(from);
            }
        } catch (DamagedStateException ex) {
            throw new IllegalStateException(ex);
        }
        draw(control.name, "publishes " + control.version());
        control.run(new ControlProcess.Steps<>(List.of(), steps));
    }

    // ---- faults ----

    /** SIGKILL: what the process had sent last is cut anywhere. */
    public void kill(String name) {
        Node node = nodes.get(name);
        if (!node.alive) {
            return;
        }
        draw(name, "SIGKILL");
        node.alive = false;
        node.life++;
        node.wakeAt = Double.POSITIVE_INFINITY;
        node.upstream.values().forEach(link -> link.toServer.breakOff(setting.delay(), random));
        node.upstream.clear();
        if (node instanceof ControlNode control) {
            control.downstream.values().forEach(link -> link.toClient.breakOff(setting.delay(), random));
            control.downstream.clear();
        }
    }

    /** Another life of a process that was killed: a relay has its state from its folder, a control process none. */
    public void start(String name) {
        Node node = nodes.get(name);
        if (!node.alive) {
            draw(name, "starts");
            node.alive = true;
            node.start();
        }
    }

    /** These processes reach each other but no other one, or all do again. What is on its way waits. */
    public void cut(Set<String> names, boolean cut) {
        for (Node node : nodes.values()) { // in their order, which a set does not have
            if (names.contains(node.name) && node.apart != cut) {
                draw(node.name, cut ? "cut off" : "reached again");
                node.apart = cut;
            }
        }
        for (Node node : nodes.values()) {
            for (Link link : List.copyOf(node.upstream.values())) {
                link.toClient.flow();
                link.toServer.flow();
            }
            if (node instanceof ControlNode control) {
                for (Link link : List.copyOf(control.downstream.values())) {
                    link.toClient.flow();
                    link.toServer.flow();
                }
            }
        }
    }

    /** From now on that process reads so many bytes a second; infinitely many as at the start. */
    public void readRate(String name, double bytesPerSecond) {
        nodes.get(name).readRate = bytesPerSecond;
    }

    /** The next frame from its source to that process is lost, as by a fault of the source. */
    public void loseNext(String name) {
        next(name, Pipe.Fault.LOST);
    }

    /** The next frame to that process comes twice. */
    public void doubleNext(String name) {
        next(name, Pipe.Fault.DOUBLED);
    }

    /** The next frame but one to that process comes before the next. */
    public void swapNext(String name) {
        next(name, Pipe.Fault.SWAPPED);
    }

    /** The next frame to that process has a wrong bit. */
    public void damageNext(String name) {
        next(name, Pipe.Fault.DAMAGED);
    }

    private void next(String name, Pipe.Fault fault) {
        nodes.get(name).upstream.values().forEach(link -> link.toClient.next(fault));
    }

    /** Plays until then, in seconds. */
    public void run(double until) {
        while (events.playNext(until)) {
            // each event is all there is to do
        }
    }

    // ---- what is asked ----

    /** The first break of what must hold, or null. */
    public String broken() {
        return checker.broken();
    }

    /** The drawing of what happened; empty for a world of more than ten processes. */
    public String drawn() {
        return timeline == null ? "" : timeline.draw();
    }

    /** The newest version that was published. */
    public Version newest() {
        return checker.newest();
    }

    /** The version that a process has. */
    public Version version(String name) {
        return nodes.get(name).version();
    }

    /** Seconds for which a process says that its state may be out of date. */
    public double staleness(String name) {
        Node node = nodes.get(name);
        return node instanceof ControlNode control
                ? control.process.publisher().ageSeconds(node.clock())
                : node.subscriber.stalenessSeconds(node.clock());
    }

    /** Whether a process lives. */
    public boolean alive(String name) {
        return nodes.get(name).alive;
    }

    /** The process that was last elected. */
    public String leader() {
        return leader;
    }

    /** The control process that a relay is subscribed to, or null. */
    public String source(String relay) {
        return nodes.get(relay).subscriber.source();
    }

    /** How often a process has left a source for that reason. */
    public long breaks(String name, Reason reason) {
        return nodes.get(name).subscriber.disconnects(reason);
    }

    /** States and changes that a process has refused. */
    public long refused(String name) {
        return nodes.get(name).subscriber.refusedCount();
    }

    /** Messages to a process that brought nothing new. */
    public long doubled(String name) {
        return nodes.get(name).subscriber.duplicateCount();
    }

    /** A control process's publisher. */
    public Publisher<Ledger> publisher(String control) {
        return ((ControlNode) nodes.get(control)).process.publisher();
    }

    /** How many bytes have come to a process from its sources. */
    public long bytesTo(String name) {
        return nodes.get(name).bytesIn;
    }

    /** Names of the relays. */
    public List<String> relays() {
        return relays.stream().map(node -> node.name).toList();
    }

    /** When the last of all relays that live took over what it has. */
    public double lastTakeOver() {
        return relays.stream()
                .filter(node -> node.alive)
                .mapToDouble(node -> node.tookOverAt)
                .max()
                .orElse(0);
    }

    /** The first living process that does not have the newest version, or null. */
    public String behind() {
        for (Node node : nodes.values()) {
            if (node.alive && !node.version().equals(newest())) {
                return node.name;
            }
        }
        return null;
    }
}
