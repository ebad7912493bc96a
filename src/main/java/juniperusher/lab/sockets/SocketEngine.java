package juniperusher.lab.sockets;

import com.eclipsesource.json.JsonArray;
import com.eclipsesource.json.JsonObject;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.function.DoubleConsumer;
import java.util.stream.Stream;
import juniperusher.Protocol.Effect;
import juniperusher.Protocol.MessageClass;
import juniperusher.lab.ClientMessage;
import juniperusher.lab.Demand;
import juniperusher.lab.DestinationModel;
import juniperusher.lab.LabSettings;
import juniperusher.lab.Plan;
import juniperusher.lab.Plan.Crash;
import juniperusher.lab.RuleChecker;
import juniperusher.lab.RunResult;
import juniperusher.lab.Tally;
import juniperusher.net.Network;

/**
 * Plays a plan on sockets: relay processes from this program's own class path among emulated endpoints,
 * discovery, notes
 * and clients, all on loopback. A run takes its plan's seconds and the orders' time beyond; it ends what it
 * started.
 * What happens is decided by the models on one thread; the machine's own scheduling makes two runs differ.
 */
public final class SocketEngine implements Emulation.Watcher {
    private static final double LATE_ANSWER = 0.35; // s: the protocol's 300 ms, and 50 for sockets
    private static final double LATE_WAIT = 0.1; // s after a told wait in which calls are let through
    private static final double SLACK = 0.05; // s by which an engine on sockets sees an end later than its relay
    private static final double START = 5; // s in which a relay has to be up again, and 1.5 s for its notices
    private static final int DESCRIPTORS = 8192;
    private static final int CLIENT_CONNECTIONS = 2000;
    private static final byte[] BODY = new byte[200];

    private final Plan plan;
    private final String program;
    private final ScheduledThreadPoolExecutor lab;
    private final Network network;
    private final Client client;
    private final List<MessageClass> classes;
    private final Tally tally;
    private final RuleChecker rules;
    private final List<DestinationModel> models = new ArrayList<>();
    private final Demand demand;
    private final HandInOrder handInOrder = new HandInOrder();
    private final List<Emulation> emulations = new ArrayList<>();
    private final List<RelayProcess> relays = new ArrayList<>();
    private final Map<String, ClientMessage> wishes = new HashMap<>(); // what a relay has, by id
    private final Set<String> delivered = new HashSet<>(); // that may be repeated
    private final CompletableFuture<Void> end = new CompletableFuture<>();
    private int returning; // clients that will hand a message in again
    private long origin;
    private int lastId;

    private SocketEngine(Plan plan, String program) throws Exception {
        this.plan = plan;
        this.program = program;
        lab = new ScheduledThreadPoolExecutor(1, task -> {
            Thread thread = new Thread(task, "lab");
            thread.setDaemon(true);
            return thread;
        });
        lab.setRemoveOnCancelPolicy(true);
        lab.setExecuteExistingDelayedTasksAfterShutdownPolicy(false);
        network = new Network(1, DESCRIPTORS);
        client = new Client(network, CLIENT_CONNECTIONS);
        classes = LabSettings.classes(plan);
        demand = new Demand(plan);
        tally = new Tally(plan, classes);
        rules = new RuleChecker(
                LATE_ANSWER, LATE_WAIT, LabSettings.of(plan).rules().keyQuiet() - SLACK);
        for (int i = 0; i < plan.destinations().size(); i++) {
            models.add(plan.destinationModel(i));
        }
    }

    /**
     * Plays it.
     *
     * @param program  the main class whose command {@code serve} is a relay
     * @param progress is told the seconds played, about once a second
     * @throws IOException if a relay does not start
     */
    public static RunResult run(String variant, Plan plan, String program, DoubleConsumer progress) throws Exception {
        Path folder = Files.createTempDirectory("juniperusher-lab");
        SocketEngine engine = new SocketEngine(plan, program);
        try {
            return engine.run(variant, folder, progress);
        } finally {
            engine.close();
            try (Stream<Path> files = Files.walk(folder)) {
                for (Path path : files.sorted(Comparator.reverseOrder()).toList()) {
                    Files.delete(path);
                }
            }
        }
    }

    private void close() throws IOException {
        relays.parallelStream().forEach(RelayProcess::close);
        lab.shutdownNow();
        for (Emulation emulation : emulations) {
            emulation.close();
        }
        network.close();
    }

    private RunResult run(String variant, Path folder, DoubleConsumer progress) throws Exception {
        NoteNetwork notes = prepare(folder);
        try {
            for (RelayProcess relay : relays) {
                relay.start();
            }
            for (RelayProcess relay : relays) {
                relay.awaitUp();
            }
            origin = System.nanoTime();
            begin(progress);
            double last = plan.seconds() + LabSettings.longestDeadline(plan) + 1;
            try {
                end.get((long) (last * 1000), TimeUnit.MILLISECONDS);
            } catch (java.util.concurrent.TimeoutException e) {
                progress.accept(now()); // what has no answer by now is told by the rules
            } catch (ExecutionException e) {
                throw new IOException("the run failed: " + e.getCause(), e.getCause());
            }
            return lab.submit(() -> {
                        rules.runFinished(now());
                        return tally.result(variant, models, rules, 0);
                    })
                    .get();
        } finally {
            notes.close();
        }
    }

    private NoteNetwork prepare(Path folder) throws IOException {
        List<InetSocketAddress> noteAddresses = new ArrayList<>();
        for (int i = 0; i < plan.relays().count(); i++) {
            noteAddresses.add(Ports.unused());
        }
        NoteNetwork notes = new NoteNetwork(noteAddresses, plan.noteModel(), lab);
        Path settings = Files.writeString(
                folder.resolve("operator.toml"),
                "[storm]\non = " + plan.relays().stormEnabled() + "\n");
        int[] connections = new int[models.size()];
        for (int i = 0; i < plan.relays().count(); i++) {
            Emulation emulation = new Emulation(plan, i, network, lab, models, connections, this);
            emulations.add(emulation);
            InetSocketAddress listen = Ports.unused();
            JsonArray peers = new JsonArray();
            notes.peers(i).forEach(peer -> peers.add(Ports.text(peer)));
            JsonObject json = new JsonObject()
                    .add("name", "lab-" + i)
                    .add("listen", Ports.text(listen))
                    .add("discovery", Ports.text(emulation.discovery()))
                    .add("seed", Long.toHexString(plan.seed() * 31 + i))
                    .add(
                            "limits",
                            new JsonObject()
                                    .add("cores", 1)
                                    .add("memory_mb", 192)
                                    .add("sockets", 1024)
                                    .add("disk_mb", 16))
                    .add("peer_listen", Ports.text(noteAddresses.get(i)))
                    .add("peers", peers)
                    .add("peers_all", Ports.text(notes.all(i)))
                    .add("known", emulation.list())
                    .add("settings", LabSettings.json(plan, i, Emulation.KEEP_ALIVE));
            Path own = Files.createDirectories(folder.resolve("relay-" + i));
            Files.writeString(own.resolve("relay.json"), json.toString());
            relays.add(new RelayProcess(own, listen, List.of(program, "serve", "--settings", settings.toString())));
        }
        return notes;
    }

    private void begin(DoubleConsumer progress) {
        lab.execute(() -> {
            for (int i = 0; i < plan.destinations().size(); i++) {
                arrivals(i, 0);
            }
            for (Crash crash : plan.crashes()) {
                at(crash.at(), () -> crash(crash));
            }
            at(plan.seconds(), this::endOnceAllIsOver);
            for (int second = 0; second < plan.seconds(); second++) {
                at(second + 0.5, () -> {
                    sample();
                    progress.accept(now());
                });
            }
        });
    }

    private void endOnceAllIsOver() {
        if (wishes.isEmpty() && returning == 0 && handInOrder.isEmpty()) {
            end.complete(null);
        } else {
            at(now() + 0.1, this::endOnceAllIsOver);
        }
    }

    private void comesBack(ClientMessage wish, double after) {
        returning++;
        at(now() + after, () -> {
            returning--;
            handIn(wish);
        });
    }

    @Override
    public double now() {
        return (System.nanoTime() - origin) / 1e9;
    }

    private void at(double time, Runnable what) {
        lab.schedule(
                () -> {
                    try {
                        what.run();
                    } catch (RuntimeException e) {
                        end.completeExceptionally(e);
                    }
                },
                (long) Math.max(0, (time - now()) * 1e9),
                TimeUnit.NANOSECONDS);
    }

    private void sample() {
        for (int i = 0; i < models.size(); i++) {
            if (plan.destinations().get(i).hasTrouble()) {
                tally.addSample("capacity, struck", now(), models.get(i).capacity(now()));
            }
        }
        double at = now();
        for (RelayProcess relay : relays) {
            client.metrics(
                    relay.listen(),
                    text -> lab.execute(() -> {
                        tally.addSample("owed", at, gauge(text, "juniperusher_held "));
                        tally.addSample("storms", at, gauge(text, "juniperusher_storms "));
                        tally.addSample("recovering", at, gauge(text, "juniperusher_storms_recovering "));
                    }));
        }
    }

    private static double gauge(String text, String name) {
        return text.lines()
                .filter(line -> line.startsWith(name))
                .findFirst()
                .map(line -> Double.parseDouble(line.substring(name.length())))
                .orElse(0.0);
    }

    private void crash(Crash crash) {
        RelayProcess relay = relays.get(crash.relay());
        relay.kill();
        rules.relayRestarted(crash.relay(), now());
        wishes.forEach((id, wish) -> {
            if (wish.relay == crash.relay()) {
                rules.messageInterrupted(id, now() + crash.downSeconds() + START);
            }
        });
        at(now() + crash.downSeconds(), () -> {
            try {
                relay.start();
            } catch (IOException e) {
                end.completeExceptionally(e);
            }
        });
    }

    // ---- clients: open loop, from the time at which each message was meant to be sent ----

    private void arrivals(int destination, double from) {
        double next = from + demand.nextGap(destination);
        if (next >= plan.seconds()) {
            return;
        }
        at(next, () -> {
            ClientMessage wish = demand.nextMessage(destination, next);
            tally.messageRequested(wish);
            handIn(wish);
            arrivals(destination, next);
        });
    }

    /** Messages of one key are handed in one after another, each when the one before it has its answer. */
    private void handIn(ClientMessage wish) {
        if (handInOrder.mayGo(wish)) {
            handInNow(wish);
        }
    }

    private void answered(ClientMessage wish) {
        handInOrder.answered(wish).ifPresent(this::handInNow);
    }

    private void handInNow(ClientMessage wish) {
        if (now() >= wish.deadline) {
            answered(wish);
            return;
        }
        wish.countSubmission();
        String id = Long.toHexString(plan.seed()) + '-' + ++lastId;
        wishes.put(id, wish);
        if (wish.hasKey()) {
            rules.messageAccepted(id, unsafe(wish), wish.deadline, wish.relay, wish.keyText());
        } else {
            rules.messageAccepted(id, unsafe(wish), wish.deadline);
        }
        client.handIn(relays.get(wish.relay).listen(), message(id, wish), new Client.Answered() {
            @Override
            public void taken() {
                lab.execute(() -> answered(wish));
            }

            @Override
            public void refused(double after) {
                lab.execute(() -> {
                    wishes.remove(id);
                    rules.messageWithdrawn(id);
                    SocketEngine.this.refused(wish, after);
                    answered(wish);
                });
            }

            @Override
            public void failed(String why) {
                lab.execute(() -> {
                    // What the relay still does under this id counts for nothing.
                    wishes.remove(id);
                    rules.messageWithdrawn(id);
                    wish.uncountSubmission();
                    tally.addSample("unreached", now(), 1);
                    comesBack(wish, demand.clientModel(wish.destination).reconnectDelay());
                    answered(wish);
                });
            }
        });
    }

    private Client.Message message(String id, ClientMessage wish) {
        return new Client.Message(
                id,
                classes.get(wish.messageClass).name(),
                wish.hasKey() ? wish.keyText() : null,
                plan.tenants().isEmpty()
                        ? null
                        : plan.tenants().get(wish.tenant).name(),
                wish.destination,
                wish.deadline - now(),
                wish.submissions() > 1,
                BODY);
    }

    private boolean unsafe(ClientMessage wish) {
        return classes.get(wish.messageClass).effect() == Effect.UNSAFE;
    }

    private void refused(ClientMessage wish, double after) {
        tally.messageRefused(now());
        double back = demand.clientModel(wish.destination).resubmissionDelay(wish.submissions(), after);
        if (back < Double.POSITIVE_INFINITY) {
            comesBack(wish, back);
        }
    }

    // ---- what the emulation sees; on the lab's thread ----

    @Override
    public boolean begun(int relay, int destination, String id) {
        if (id != null && delivered.contains(id)) {
            return false; // of a relay that died before it could note the delivery, or gave up just before it
        }
        tally.callReceived(destination, now());
        rules.destinationCalled(relay, destination, now());
        if (id != null) {
            rules.attemptStarted(id, now());
        }
        return true;
    }

    @Override
    public void refused(int relay, int destination, String id, double told) {
        tally.callRefused(destination, now());
        if (told > 0) {
            rules.retryAfterReceived(relay, destination, now(), now() + told);
        }
    }

    @Override
    public void abandoned(String id, boolean mayHaveRun) {
        rules.attemptAbandoned(id, now(), mayHaveRun);
    }

    @Override
    public void ended(int destination, String id, boolean done, boolean mayHaveRun) {
        rules.attemptEnded(id, mayHaveRun);
        ClientMessage wish = wishes.get(id);
        if (done && wish != null) {
            wishes.remove(id);
            rules.messageAnswered(id, now(), false);
            tally.messageDelivered(wish, now());
            if (!unsafe(wish)) {
                delivered.add(id);
            }
        }
    }

    @Override
    public void notice(int relay, String id, boolean handedBack, double after) {
        ClientMessage wish = wishes.remove(id);
        if (wish == null) {
            return; // over, withdrawn, or told before: a notice goes again until it is acknowledged
        }
        rules.statusReported(id, now(), handedBack);
        if (handedBack) {
            refused(wish, after);
        }
    }

    @Override
    public void acknowledged(String id) {
        rules.reportAcknowledged(id);
    }
}
