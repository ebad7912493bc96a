package juniperusher.http;

import java.io.Closeable;
import java.io.IOException;
import java.nio.channels.ServerSocketChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import java.util.stream.Stream;
import juniperusher.Protocol.Target;
import juniperusher.Protocol.TargetList;
import juniperusher.clock.SteadyClock;
import juniperusher.core.Counters;
import juniperusher.core.Extension;
import juniperusher.core.Relay;
import juniperusher.core.RoutedSubchannels;
import juniperusher.core.Subchannels;
import juniperusher.maintenance.Maintenance;
import juniperusher.maintenance.MaintenanceFile;
import juniperusher.membership.Endpoint;
import juniperusher.membership.Snapshot;
import juniperusher.mgmt.Operated;
import juniperusher.net.HttpPool;
import juniperusher.net.Network;
import juniperusher.storm.StormSettings;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** A relay on the platform: the core between the platform's front and its endpoints. */
public final class Platform implements AutoCloseable, Operated {
    private static final Logger LOG = LoggerFactory.getLogger(Platform.class);
    private static final double IDLE_SHARE = 0.8; // of the endpoints' idle time: closed by us before
    private static final double IDLE_DESCRIPTORS = 0.15; // of all, for idle connections to endpoints
    private static final int LEAST_IDLE = 8; // whatever the limit says
    private static final long FOLLOW = 250; // ms between two looks at the maintenance file
    // ms that a process that comes back waits for discovery's first word: the list known last may be older
    // than a drain that counts as told. An agent that is there answers at once; after the drain rule's half
    // second a silent one is not waited for.
    private static final long FIRST_WORD = 500;
    private static final long LOOK = 20; // ms between two looks at what is left at the end

    private final AtomicReference<Config> config;
    private final Network network;
    private final Extension extension;
    private final Relay relay;
    private final Resolver resolver;
    private final Peers peers;
    private final PlatformFront front;
    private final StatusReporter notices;
    private final Closeable listener;
    private final Counters counters;
    private final Object held = new Object(); // orders what the module is told of discovery and maintenance
    private final MaintenanceFile maintenanceFile;
    private Maintenance maintenance = Maintenance.NONE;
    private boolean maintenanceUnwritten; // the file lacks what is in force; under the lock of what is told
    private Snapshot told = Snapshot.EMPTY; // discovery's word, before maintenance
    private boolean deciding; // the relay has started; under the lock of what it is told
    private volatile boolean serving;
    private volatile boolean closed;
    private final boolean handedOn; // the clients' socket is the platform's, and outlives this process
    private boolean listening = true;

    /** Starts a relay that keeps its journal in {@code state}; {@code extension} may be null. */
    public Platform(Config first, Path state, Counters counters, Network network, Extension extension)
            throws Exception {
        this(first, state, counters, network, extension, null);
    }

    /** The same, with the storm package on where {@code storms} is not null. */
    public Platform(
            Config first, Path state, Counters counters, Network network, Extension extension, StormSettings storms)
            throws Exception {
        this(first, state, counters, network, extension, storms, null);
    }

    /**
     * The same, serving clients on {@code inherited} where it is not null: the listening socket that the
     * platform holds across an upgrade. The configuration's {@code listen} is then not bound.
     */
    public Platform(
            Config first,
            Path state,
            Counters counters,
            Network network,
            Extension extension,
            StormSettings storms,
            ServerSocketChannel inherited)
            throws Exception {
        boolean again = ranBefore(state);
        this.counters = counters;
        config = new AtomicReference<>(first);
        this.network = network;
        this.extension = extension;
        var allowed = first.settings().settings().allowed();
        HttpPool pool = new HttpPool(network, allowed.keepAlive() * IDLE_SHARE, Math.max(LEAST_IDLE, (int)
                (first.descriptors() * IDLE_DESCRIPTORS)));
        peers = new Peers(config::get);
        Relay[] made = new Relay[1];
        maintenanceFile = new MaintenanceFile(state);
        maintenance = readMaintenance(Maintenance.NONE);
        resolver = new Resolver(first, pool, network, counters, (snapshot, list) -> resolved(made[0], snapshot, list));
        Subchannels usual = new HttpSubchannels(first, pool, network, resolver);
        Subchannels subchannels = extension == null ? usual : new RoutedSubchannels(usual, extension);
        relay = new Relay(
                first.settings().settings(),
                first.seed(),
                first.gap(),
                state,
                first.diskBytes(),
                counters,
                subchannels,
                peers::send,
                storms == null ? null : new StormCompanion(storms, first, counters));
        made[0] = relay;
        notices = new StatusReporter(() -> config.get().discovery(), pool, network);
        counters.gauge("notices_waiting", notices::waiting);
        counters.gauge("connections_in", network.inbound()::size);
        counters.gauge("connections_shed", network::shed);
        counters.gauge("connections_unopened", network::unopened);
        counters.gauge("connections_coming", network::coming);
        counters.gauge("accept_failures", network::acceptFailures);
        front = new PlatformFront(config::get, notices, counters, relay);
        relay.add(front);
        if (extension != null) {
            extension.join(relay);
        }
        told = resolver.known(first.known(), extension == null ? List.of() : extension.targets());
        resolver.start(first.discovery());
        if (again && !resolver.awaitWord(FIRST_WORD)) {
            LOG.info("discovery says nothing; beginning with the list known last");
        }
        if (inherited != null) {
            relay.shareWaits(); // only there can an upgrade's other process run beside this one
        }
        synchronized (held) {
            deciding = true;
            relay.start(maintenance.over(told));
        }
        peers.start(relay::tell);
        listener = front.listen(network, inherited);
        handedOn = inherited != null;
        if (extension != null) {
            extension.open();
        }
        counters.gauge("endpoints_maintenance", () -> maintenance().held().size());
        network.scheduler().schedule(this::followMaintenance, FOLLOW, TimeUnit.MILLISECONDS);
        serving = true;
    }

    /** Whether a process has begun in this folder before: then it comes back, perhaps late. */
    static boolean ranBefore(Path state) throws IOException {
        if (!Files.isDirectory(state)) {
            return false;
        }
        try (Stream<Path> files = Files.list(state)) {
            return files.findAny().isPresent();
        }
    }

    // ---- endpoint maintenance: what discovery says, with the held endpoints draining ----

    private void resolved(Relay to, Snapshot snapshot, TargetList list) {
        synchronized (held) {
            told = snapshot;
            if (!deciding) {
                return; // the start hands it on whole
            }
            List<Target> targets = new ArrayList<>();
            for (Target target : list.targets()) {
                Endpoint endpoint = snapshot.endpoints().get(target.id());
                targets.add(endpoint == null ? target : maintenance.over(endpoint.id(), target));
            }
            to.resolved(maintenance.over(snapshot), new TargetList(list.whole(), targets));
        }
    }

    private Maintenance maintenance() {
        synchronized (held) {
            return maintenance;
        }
    }

    /** Puts {@code next} in force: the module and the guards hear of each endpoint that it changes. */
    private void hold(Maintenance next) {
        List<Target> changed = next.changedFrom(maintenance, told);
        maintenance = next;
        relay.resolved(next.over(told), new TargetList(false, changed));
    }

    @Override
    public boolean serving() {
        return serving;
    }

    @Override
    public Answer enter(String id) {
        return maintain(id, true);
    }

    @Override
    public Answer exit(String id) {
        return maintain(id, false);
    }

    private Answer maintain(String id, boolean enter) {
        synchronized (held) {
            if (!Maintenance.known(id, told) && !maintenance.holds(id)) {
                return Answer.UNKNOWN;
            }
            Maintenance next = enter ? maintenance.enter(id) : maintenance.exit(id);
            try {
                // Written before the yes, so that a restart or the other process of an upgrade keeps it.
                maintenanceFile.write(next);
                maintenanceUnwritten = false;
            } catch (IOException e) {
                maintenanceUnwritten = true; // and is written as soon as that can be
                LOG.atError().addKeyValue("target", id).log("maintenance is not on disk yet: {}", e.toString());
            }
            hold(next);
            return Answer.DONE;
        }
    }

    /** Takes up what the other process of an upgrade wrote; runs on a timer until the end. */
    private void followMaintenance() {
        if (closed) {
            return;
        }
        synchronized (held) {
            if (maintenanceUnwritten) {
                writeMaintenance(); // what the file holds is older than what is in force
            } else {
                takeMaintenance();
            }
        }
        network.scheduler().schedule(this::followMaintenance, FOLLOW, TimeUnit.MILLISECONDS);
    }

    private void writeMaintenance() {
        try {
            maintenanceFile.write(maintenance);
            maintenanceUnwritten = false;
            LOG.info("maintenance is on disk now");
        } catch (IOException e) {
            LOG.debug("maintenance is not on disk yet: {}", e.toString());
        }
    }

    private void takeMaintenance() {
        Maintenance onDisk = readMaintenance(maintenance);
        if (!onDisk.equals(maintenance)) {
            LOG.atInfo().addKeyValue("held", onDisk.held()).log("maintenance taken from the folder");
            hold(onDisk);
        }
    }

    private Maintenance readMaintenance(Maintenance otherwise) {
        try {
            return maintenanceFile.read();
        } catch (IOException e) {
            LOG.atWarn().log("maintenance in force stays: {}", e.getMessage());
            return otherwise;
        }
    }

    /**
     * What SIGHUP asks for: puts the newer file's addresses in force in one step and keeps all that is held.
     * A file that cannot be read changes nothing and costs one line in the log.
     */
    public void reload(Path file) {
        Config newer;
        try {
            newer = Config.read(file);
        } catch (IOException | IllegalArgumentException e) {
            LOG.error("the configuration in force stays: {}", e.getMessage());
            counters.add("reloads_total", "result", "refused");
            return;
        }
        Config before = config.get();
        Config after = before.movedTo(newer);
        if (!after.settings().settings().equals(before.settings().settings())) {
            // The module hears of new classes before the front lets the first message of one in.
            relay.retune(after.settings().settings());
            LOG.atInfo()
                    .addKeyValue("classes", after.classes())
                    .addKeyValue(
                            "attempts", after.settings().settings().allowed().attempts())
                    .log("settings read anew");
        }
        config.set(after);
        resolver.moved(newer.discovery());
        counters.add("reloads_total", "result", "done");
        LOG.info("configuration read anew; discovery is at {}", newer.discovery());
    }

    /** What SIGTERM asks for, see {@link Ending}. */
    public void drain() throws InterruptedException, IOException {
        serving = false;
        long from = SteadyClock.millis();
        relay.noCallsAfter(from + Ending.LAST_UNSAFE, from + Ending.LAST_CALL);
        Ending ending = new Ending(handedOn);
        while (true) {
            List<Ending.Step> steps =
                    ending.at(SteadyClock.millis() - from, network.inbound().size(), relay.held(), notices.waiting());
            for (Ending.Step step : steps) {
                switch (step) {
                    case LAST_ANSWERS -> front.close();
                    case STOP_LISTENING -> stopListening();
                    case END_RESTING -> network.inbound().endAll(true);
                    case END_ALL -> network.inbound().endAll(false);
                    default -> {
                        LOG.info("ending with {} RPCs owed", relay.held());
                        return;
                    }
                }
            }
            Thread.sleep(LOOK);
        }
    }

    private synchronized void stopListening() throws IOException {
        if (listening) {
            listening = false;
            listener.close();
        }
    }

    /** The counters. */
    public Counters counters() {
        return counters;
    }

    @Override
    public void close() throws Exception {
        closed = true;
        serving = false;
        front.close();
        resolver.stop();
        stopListening();
        if (extension != null) {
            extension.close();
        }
        peers.close();
        relay.close();
        network.close();
        relay.closeJournal();
    }
}
