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
    private static final double IDLE_TIME_SHARE = 0.8; // of the endpoints' idle time: closed by us before
    private static final double IDLE_DESCRIPTOR_SHARE = 0.15; // of all, for idle connections to endpoints
    private static final int MIN_IDLE_CONNECTIONS = 8; // whatever the limit says
    private static final long MAINTENANCE_POLL_MILLIS = 250; // ms between two looks at the maintenance file
    // ms that a process that comes back waits for discovery's first word: the list known last may be older
    // than a drain that counts as told. An agent that is there answers at once; after the drain rule's half
    // second a silent one is not waited for.
    private static final long FIRST_LIST_WAIT_MILLIS = 500;
    private static final long SHUTDOWN_POLL_MILLIS = 20; // ms between two looks at what is left at the end

    private final AtomicReference<Config> config;
    private final Network network;
    private final Extension extension;
    private final Relay relay;
    private final Resolver resolver;
    private final PeerDatagrams peerDatagrams;
    private final PlatformFront front;
    private final StatusReporter statusReporter;
    private final Closeable listener;
    private final Counters counters;
    private final Object targetsLock = new Object(); // orders what the module is told of discovery and maintenance
    private final MaintenanceFile maintenanceFile;
    private Maintenance maintenance = Maintenance.NONE;
    private boolean maintenanceUnsaved; // the file lacks what is in force; under the lock of what is told
    private Snapshot discovered = Snapshot.EMPTY; // discovery's word, before maintenance
    private boolean relayStarted; // the relay has started; under the lock of what it is told
    private volatile boolean serving;
    private volatile boolean closed;
    private final boolean listenerInherited; // the clients' socket is the platform's, and outlives this process
    private boolean listening = true;

    /** Starts a relay that keeps its journal in {@code state}; {@code extension} may be null. */
    public Platform(Config initialConfig, Path state, Counters counters, Network network, Extension extension)
            throws Exception {
        this(initialConfig, state, counters, network, extension, null);
    }

    /** The same, with the storm package on where {@code storms} is not null. */
    public Platform(
            Config initialConfig,
            Path state,
            Counters counters,
            Network network,
            Extension extension,
            StormSettings stormSettings)
            throws Exception {
        this(initialConfig, state, counters, network, extension, stormSettings, null);
    }

    /**
     * The same, serving clients on {@code inherited} where it is not null: the listening socket that the
     * platform holds across an upgrade. The configuration's {@code listen} is then not bound.
     */
    public Platform(
            Config initialConfig,
            Path state,
            Counters counters,
            Network network,
            Extension extension,
            StormSettings stormSettings,
            ServerSocketChannel inherited)
            throws Exception {
        boolean restarted = hasState(state);
        this.counters = counters;
        config = new AtomicReference<>(initialConfig);
        this.network = network;
        this.extension = extension;
        var allowed = initialConfig.settings().settings().allowed();
        HttpPool pool =
                new HttpPool(network, allowed.keepAlive() * IDLE_TIME_SHARE, Math.max(MIN_IDLE_CONNECTIONS, (int)
                        (initialConfig.descriptors() * IDLE_DESCRIPTOR_SHARE)));
        peerDatagrams = new PeerDatagrams(config::get);
        Relay[] relayHolder = new Relay[1];
        maintenanceFile = new MaintenanceFile(state);
        maintenance = readMaintenance(Maintenance.NONE);
        resolver = new Resolver(
                initialConfig,
                pool,
                network,
                counters,
                (snapshot, list) -> onDiscovered(relayHolder[0], snapshot, list));
        Subchannels httpSubchannels = new HttpSubchannels(initialConfig, pool, network, resolver);
        Subchannels subchannels =
                extension == null ? httpSubchannels : new RoutedSubchannels(httpSubchannels, extension);
        relay = new Relay(
                initialConfig.settings().settings(),
                initialConfig.seed(),
                initialConfig.minRoundGapSeconds(),
                state,
                initialConfig.diskBytes(),
                counters,
                subchannels,
                peerDatagrams::send,
                stormSettings == null ? null : new StormCompanion(stormSettings, initialConfig, counters));
        relayHolder[0] = relay;
        statusReporter = new StatusReporter(() -> config.get().discovery(), pool, network);
        counters.gauge("notices_waiting", statusReporter::unacknowledgedCount);
        counters.gauge("connections_in", network.inbound()::size);
        counters.gauge("connections_shed", network::shed);
        counters.gauge("connections_unopened", network::unopened);
        counters.gauge("connections_coming", network::coming);
        counters.gauge("accept_failures", network::acceptFailures);
        front = new PlatformFront(config::get, statusReporter, counters, relay);
        relay.add(front);
        if (extension != null) {
            extension.join(relay);
        }
        discovered = resolver.loadKnownList(
                initialConfig.knownEndpoints(), extension == null ? List.of() : extension.targets());
        resolver.start(initialConfig.discovery());
        if (restarted && !resolver.awaitFirstList(FIRST_LIST_WAIT_MILLIS)) {
            LOG.info("discovery says nothing; beginning with the list known last");
        }
        if (inherited != null) {
            relay.shareWaits(); // only there can an upgrade's other process run beside this one
        }
        synchronized (targetsLock) {
            relayStarted = true;
            relay.start(maintenance.over(discovered));
        }
        peerDatagrams.start(relay::tell);
        listener = front.listen(network, inherited);
        listenerInherited = inherited != null;
        if (extension != null) {
            extension.open();
        }
        counters.gauge("endpoints_maintenance", () -> maintenance().held().size());
        network.scheduler().schedule(this::pollMaintenanceFile, MAINTENANCE_POLL_MILLIS, TimeUnit.MILLISECONDS);
        serving = true;
    }

    /** Whether a process has begun in this folder before: then it comes back, perhaps late. */
    static boolean hasState(Path state) throws IOException {
        if (!Files.isDirectory(state)) {
            return false;
        }
        try (Stream<Path> files = Files.list(state)) {
            return files.findAny().isPresent();
        }
    }

    // ---- endpoint maintenance: what discovery says, with the held endpoints draining ----

    private void onDiscovered(Relay startedRelay, Snapshot snapshot, TargetList list) {
        synchronized (targetsLock) {
            discovered = snapshot;
            if (!relayStarted) {
                return; // the start hands it on whole
            }
            List<Target> targets = new ArrayList<>();
            for (Target target : list.targets()) {
                Endpoint endpoint = snapshot.endpoints().get(target.id());
                targets.add(endpoint == null ? target : maintenance.over(endpoint.id(), target));
            }
            startedRelay.resolved(maintenance.over(snapshot), new TargetList(list.whole(), targets));
        }
    }

    private Maintenance maintenance() {
        synchronized (targetsLock) {
            return maintenance;
        }
    }

    /** Puts {@code next} in force: the module and the guards hear of each endpoint that it changes. */
    private void activate(Maintenance next) {
        List<Target> changed = next.changedFrom(maintenance, discovered);
        maintenance = next;
        relay.resolved(next.over(discovered), new TargetList(false, changed));
    }

    @Override
    public boolean serving() {
        return serving;
    }

    @Override
    public Answer enter(String id) {
        return changeMaintenance(id, true);
    }

    @Override
    public Answer exit(String id) {
        return changeMaintenance(id, false);
    }

    private Answer changeMaintenance(String id, boolean enter) {
        synchronized (targetsLock) {
            if (!Maintenance.known(id, discovered) && !maintenance.holds(id)) {
                return Answer.UNKNOWN;
            }
            Maintenance next = enter ? maintenance.enter(id) : maintenance.exit(id);
            try {
                // Written before the yes, so that a restart or the other process of an upgrade keeps it.
                maintenanceFile.write(next);
                maintenanceUnsaved = false;
            } catch (IOException e) {
                maintenanceUnsaved = true; // and is written as soon as that can be
                LOG.atError().addKeyValue("target", id).log("maintenance is not on disk yet: {}", e.toString());
            }
            activate(next);
            return Answer.DONE;
        }
    }

    /** Takes up what the other process of an upgrade wrote; runs on a timer until the end. */
    private void pollMaintenanceFile() {
        if (closed) {
            return;
        }
        synchronized (targetsLock) {
            if (maintenanceUnsaved) {
                retrySavingMaintenance(); // what the file holds is older than what is in force
            } else {
                adoptSavedMaintenance();
            }
        }
        network.scheduler().schedule(this::pollMaintenanceFile, MAINTENANCE_POLL_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void retrySavingMaintenance() {
        try {
            maintenanceFile.write(maintenance);
            maintenanceUnsaved = false;
            LOG.info("maintenance is on disk now");
        } catch (IOException e) {
            LOG.debug("maintenance is not on disk yet: {}", e.toString());
        }
    }

    private void adoptSavedMaintenance() {
        Maintenance saved = readMaintenance(maintenance);
        if (!saved.equals(maintenance)) {
            LOG.atInfo().addKeyValue("held", saved.held()).log("maintenance taken from the folder");
            activate(saved);
        }
    }

    private Maintenance readMaintenance(Maintenance fallback) {
        try {
            return maintenanceFile.read();
        } catch (IOException e) {
            LOG.atWarn().log("maintenance in force stays: {}", e.getMessage());
            return fallback;
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
        Config after = before.reloadedFrom(newer);
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
        resolver.discoveryMoved(newer.discovery());
        counters.add("reloads_total", "result", "done");
        LOG.info("configuration read anew; discovery is at {}", newer.discovery());
    }

    /** What SIGTERM asks for, see {@link ShutdownPlan}. */
    public void drain() throws InterruptedException, IOException {
        serving = false;
        long startMillis = SteadyClock.millis();
        relay.noCallsAfter(
                startMillis + ShutdownPlan.LAST_UNSAFE_CALL_MILLIS, startMillis + ShutdownPlan.LAST_CALL_MILLIS);
        ShutdownPlan plan = new ShutdownPlan(listenerInherited);
        while (true) {
            List<ShutdownPlan.Action> actions = plan.nextActions(
                    SteadyClock.millis() - startMillis,
                    network.inbound().size(),
                    relay.held(),
                    statusReporter.unacknowledgedCount());
            for (ShutdownPlan.Action action : actions) {
                switch (action) {
                    case CLOSE_WITH_ANSWERS -> front.close();
                    case STOP_LISTENING -> stopListening();
                    case CLOSE_IDLE -> network.inbound().endAll(true);
                    case CLOSE_ALL -> network.inbound().endAll(false);
                    default -> {
                        LOG.info("ending with {} RPCs owed", relay.held());
                        return;
                    }
                }
            }
            Thread.sleep(SHUTDOWN_POLL_MILLIS);
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
        peerDatagrams.close();
        relay.close();
        network.close();
        relay.closeJournal();
    }
}
