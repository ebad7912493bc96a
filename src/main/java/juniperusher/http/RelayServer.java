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
import juniperusher.maintenance.MaintenanceChange;
import juniperusher.maintenance.MaintenanceFile;
import juniperusher.maintenance.SavedMaintenance;
import juniperusher.membership.Endpoint;
import juniperusher.membership.Snapshot;
import juniperusher.mgmt.ManagedRelay;
import juniperusher.net.HttpPool;
import juniperusher.net.Network;
import juniperusher.storm.StormSettings;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * A complete relay process on the platform: accepts RPCs from clients over HTTP, calls endpoints that discovery lists,
 * and reports failed RPCs to the platform. An extension may add a further front, such as AMQP.
 *
 * <p>The constructor starts the relay; {@link #drain} and then {@link #close} end it. Endpoint maintenance may be
 * entered and exited by any thread.
 */
public final class RelayServer implements AutoCloseable, ManagedRelay {
    private static final Logger LOG = LoggerFactory.getLogger(RelayServer.class);
    // Idle connections are closed at this share of the endpoints' idle timeout, so that this side closes first.
    private static final double IDLE_TIME_SHARE = 0.8;
    // The share of the process's file descriptors that idle connections to endpoints may use.
    private static final double IDLE_DESCRIPTOR_SHARE = 0.15;
    // The least limit on idle connections to endpoints, however few descriptors the process has.
    private static final int MIN_IDLE_CONNECTION_LIMIT = 8;
    private static final long MAINTENANCE_POLL_MILLIS = 250;
    // How long a restarted process waits for the first list from discovery before it serves. Its last known list may
    // be older than a drain that already counts as announced. An available agent answers at once; the wait ends after
    // the 500 ms within which a drain must be obeyed.
    private static final long FIRST_LIST_WAIT_MILLIS = 500;
    private static final long SHUTDOWN_POLL_MILLIS = 20;

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
    // Orders the changes by discovery and by maintenance that are passed to the relay; guards the fields down to
    // relayStarted.
    private final Object targetsLock = new Object();
    private final SavedMaintenance savedMaintenance;
    private Maintenance maintenance = Maintenance.NONE; // what the relay knows
    private Snapshot discovered = Snapshot.EMPTY; // as listed by discovery, without maintenance
    private boolean relayStarted;
    private volatile boolean serving;
    private volatile boolean closed;
    private final boolean listenerInherited; // the listening socket belongs to the platform and outlives this process
    private boolean listening = true;

    /**
     * Starts a relay without the storm package on a listening socket of its own.
     *
     * @param state     the folder of the journal and of other state that survives a restart
     * @param extension a further front and its endpoints, or null
     */
    public RelayServer(Config initialConfig, Path state, Counters counters, Network network, Extension extension)
            throws Exception {
        this(initialConfig, state, counters, network, extension, null);
    }

    /** Starts a relay on a listening socket of its own; the storm package is off if {@code stormSettings} is null. */
    public RelayServer(
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
     * Starts a relay.
     *
     * @param initialConfig the configuration; {@link #reload} may change a part of it later
     * @param state         the folder of the journal and of other state that survives a restart
     * @param extension     a further front and its endpoints, or null
     * @param stormSettings settings of the storm package, or null to leave it off
     * @param inherited     the listening socket that the platform keeps open across an upgrade, or null to bind the
     *                      configuration's {@code listen}
     */
    public RelayServer(
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
        var limits = initialConfig.parsedSettings().settings().limits();
        HttpPool pool = new HttpPool(
                network,
                HttpPool.Reuse.NEVER,
                limits.keepAlive() * IDLE_TIME_SHARE,
                Math.max(MIN_IDLE_CONNECTION_LIMIT, (int) (initialConfig.maxDescriptors() * IDLE_DESCRIPTOR_SHARE)),
                new UnexpectedInputLog(counters));
        peerDatagrams = new PeerDatagrams(config::get);
        Relay[] relayHolder = new Relay[1];
        savedMaintenance = new SavedMaintenance(new MaintenanceFile(state));
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
                initialConfig.parsedSettings().settings(),
                initialConfig.seed(),
                initialConfig.minRoundGapSeconds(),
                state,
                initialConfig.diskBytes(),
                counters,
                subchannels,
                peerDatagrams::send,
                stormSettings == null ? null : new StormInterceptor(stormSettings, initialConfig, counters));
        relayHolder[0] = relay;
        statusReporter = new StatusReporter(() -> config.get().discovery(), pool, network);
        counters.gauge("notices_waiting", statusReporter::unacknowledgedCount);
        counters.gauge("connections_in", network.inboundConnections()::size);
        counters.gauge("connections_shed", network::shedCount);
        counters.gauge("connections_unopened", network::closedUnopenedCount);
        counters.gauge("connections_coming", network::openingCount);
        counters.gauge("connections_receiving", network.inboundConnections()::receivingCount);
        counters.gauge("request_bytes", () -> network.requestMemory().budget().reservedBytes());
        counters.gauge(
                "request_bytes_limit", () -> network.requestMemory().budget().limitBytes());
        counters.gauge("response_bytes", network.responseMemory()::reservedBytes);
        counters.gauge("response_bytes_limit", network.responseMemory()::limitBytes);
        counters.gauge("requests_evicted", network.requestMemory()::evictionCount);
        counters.gauge("accept_failures", network::acceptFailureCount);
        counters.gauge("selector_long_turns", network.turnMonitor()::longTurnCount);
        counters.gauge("selector_longest_turn_seconds", network.turnMonitor()::longestTurnSeconds);
        counters.gauge("heap_max_bytes", () -> Runtime.getRuntime().maxMemory());
        counters.gauge(
                "heap_used_bytes",
                () -> Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory());
        front = new PlatformFront(config::get, statusReporter, counters, relay);
        relay.addFront(front);
        if (extension != null) {
            extension.registerFront(relay);
        }
        discovered = resolver.loadKnownList(
                initialConfig.knownEndpoints(), extension == null ? List.of() : extension.targets());
        resolver.start(initialConfig.discovery());
        if (restarted && !resolver.awaitFirstList(FIRST_LIST_WAIT_MILLIS)) {
            LOG.info("discovery says nothing; beginning with the list known last");
        }
        if (inherited != null) {
            relay.shareRetryDelays(); // only with an inherited socket can the other process of an upgrade run meanwhile
        }
        synchronized (targetsLock) {
            relayStarted = true;
            // only now, since the other process of an upgrade may have changed it while this one waited
            maintenance = savedMaintenance.refresh();
            relay.start(maintenance.applyTo(discovered));
        }
        peerDatagrams.start(relay::post);
        listener = front.listen(network, inherited);
        listenerInherited = inherited != null;
        if (extension != null) {
            extension.startAccepting();
        }
        counters.gauge(
                "endpoints_maintenance", () -> maintenance().endpointIds().size());
        pollMaintenanceFile();
        serving = true;
    }

    /** Whether an earlier process left files in this folder, which makes the present process a restart. */
    static boolean hasState(Path state) throws IOException {
        if (!Files.isDirectory(state)) {
            return false;
        }
        try (Stream<Path> files = Files.list(state)) {
            return files.findAny().isPresent();
        }
    }

    // ---- endpoint maintenance: endpoints under maintenance are passed to the relay as draining ----

    /**
     * Passes a change by discovery to the relay, with maintenance applied. Resolver's thread calls this, possibly
     * before the constructor has set the field {@code relay}.
     */
    private void onDiscovered(Relay startedRelay, Snapshot snapshot, TargetList list) {
        synchronized (targetsLock) {
            discovered = snapshot;
            if (!relayStarted) {
                return; // the relay gets the whole snapshot when it starts
            }
            List<Target> targets = new ArrayList<>();
            for (Target target : list.targets()) {
                Endpoint endpoint = snapshot.endpoints().get(target.id());
                targets.add(endpoint == null ? target : maintenance.applyTo(endpoint.id(), target));
            }
            startedRelay.updateEndpoints(maintenance.applyTo(snapshot), new TargetList(list.fullList(), targets));
        }
    }

    private Maintenance maintenance() {
        synchronized (targetsLock) {
            return maintenance;
        }
    }

    /** Activates {@code next} and passes each endpoint whose target it changes to the relay; needs the lock. */
    private void activate(Maintenance next) {
        List<Target> changed = next.changedFrom(maintenance, discovered);
        maintenance = next;
        relay.updateEndpoints(next.applyTo(discovered), new TargetList(false, changed));
    }

    @Override
    public boolean isServing() {
        return serving;
    }

    @Override
    public MaintenanceResult enterMaintenance(String id) {
        return changeMaintenance(new MaintenanceChange(id, true));
    }

    @Override
    public MaintenanceResult exitMaintenance(String id) {
        return changeMaintenance(new MaintenanceChange(id, false));
    }

    private MaintenanceResult changeMaintenance(MaintenanceChange change) {
        String id = change.endpointId();
        synchronized (targetsLock) {
            if (!Maintenance.isKnown(id, discovered) && !maintenance.contains(id)) {
                activate(savedMaintenance.refresh()); // the other process of an upgrade may know it
                if (!maintenance.contains(id)) {
                    return MaintenanceResult.UNKNOWN;
                }
            }
            // Saved before the operator gets the answer, so that a restart and the other process of an upgrade keep the
            // change.
            activate(savedMaintenance.change(change));
            return MaintenanceResult.DONE;
        }
    }

    /** Adopts what the other process of an upgrade saved, or retries a failed save; runs on a timer until closed. */
    private void pollMaintenanceFile() {
        if (closed) {
            return;
        }
        synchronized (targetsLock) {
            Maintenance saved = savedMaintenance.refresh();
            if (!saved.equals(maintenance)) {
                LOG.atInfo().addKeyValue("held", saved.endpointIds()).log("maintenance adopted from the saved file");
                activate(saved);
            }
        }
        network.scheduler().schedule(this::pollMaintenanceFile, MAINTENANCE_POLL_MILLIS, TimeUnit.MILLISECONDS);
    }

    /**
     * Reloads the configuration on SIGHUP: addresses, classes and limits change in one step, and pending RPCs stay.
     * A file that cannot be read or is incomplete changes nothing and is logged in one line.
     */
    public void reload(Path file) {
        Config before = config.get();
        Config newer;
        Config after;
        try {
            newer = Config.read(file);
            after = before.reloadedFrom(newer);
        } catch (IOException | IllegalArgumentException e) {
            LOG.error("reload failed; keeping the active configuration: {}", e.getMessage());
            counters.add("reloads_total", "result", "refused");
            return;
        }
        if (!after.parsedSettings().settings().equals(before.parsedSettings().settings())) {
            // The relay must know a new class before the front accepts its first message.
            relay.updateSettings(after.parsedSettings().settings());
            LOG.atInfo()
                    .addKeyValue("classes", after.classNames())
                    .addKeyValue(
                            "attempts",
                            after.parsedSettings().settings().limits().maxAttempts())
                    .log("settings reloaded");
        }
        config.set(after);
        resolver.discoveryMoved(newer.discovery());
        counters.add("reloads_total", "result", "done");
        LOG.info("configuration reloaded; discovery is at {}", newer.discovery());
    }

    /** Shuts down on SIGTERM, as {@link ShutdownPlan} decides; blocks until the process may exit. */
    public void drain() throws InterruptedException, IOException {
        serving = false;
        long startMillis = SteadyClock.millis();
        relay.stopCallsAfter(
                startMillis + ShutdownPlan.LAST_UNSAFE_CALL_MILLIS, startMillis + ShutdownPlan.LAST_CALL_MILLIS);
        ShutdownPlan plan = new ShutdownPlan(listenerInherited);
        while (true) {
            List<ShutdownPlan.Action> actions = plan.nextActions(
                    SteadyClock.millis() - startMillis,
                    network.inboundConnections().size(),
                    relay.pendingCount(),
                    statusReporter.unacknowledgedCount());
            for (ShutdownPlan.Action action : actions) {
                switch (action) {
                    case CLOSE_WITH_ANSWERS -> front.close();
                    case STOP_LISTENING -> stopListening();
                    case CLOSE_IDLE -> network.inboundConnections().closeAll(true);
                    case CLOSE_ALL -> network.inboundConnections().closeAll(false);
                    default -> {
                        LOG.info("shutting down with {} RPCs unfinished", relay.pendingCount());
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

    /** The counters of this process. */
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
