package juniperusher.fleet;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Consumer;
import java.util.function.Function;
import juniperusher.core.Counters;
import juniperusher.distribution.DamagedStateException;
import juniperusher.distribution.Limits;
import juniperusher.distribution.Publisher;
import juniperusher.distribution.Timing;
import juniperusher.distribution.Version;
import juniperusher.shard.ShardMap;
import juniperusher.shard.ShardMapException;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * A control process of the fleet, configured by {@link ControlSettings}. It runs as the leader, which starts from the
 * saved map or creates the first one, or as a follower of other control processes. It serves subscribers, saves the
 * newest map in its folder and answers the commands of the operator port.
 *
 * <p>The settings decide which process leads. The lease of the package {@code ownership} is not used yet, so only the
 * term protects against messages of an earlier leader. All public methods may be called by any thread.
 */
public final class ControlService implements AutoCloseable {
    private static final Logger LOG = LoggerFactory.getLogger(ControlService.class);
    private static final long START_TIMEOUT_SECONDS = 20;

    /** Connections that the event loop allows for other uses than subscribers: upstream and operator port. */
    private static final int OTHER_CONNECTIONS = 64;

    /** Same ratio as in {@link ControlServer}. */
    private static final double CONNECTIONS_PER_SUBSCRIBER = 1.2;

    private final ControlSettings settings;
    private final EventLoop loop;
    private final MapFile file;
    private final MapSaver saver;
    private final Counters counters = new Counters();
    private final Timing timing;
    private final Limits limits;

    // The following fields are set on the loop's thread.
    private ControlServer server;
    private LeaderMap leader; // null in a follower
    private InetSocketAddress subscriberAddress;
    private InetSocketAddress operatorAddress;

    private ControlService(ControlSettings settings, Timing timing, Limits limits) throws IOException {
        this.settings = settings;
        this.timing = timing;
        this.limits = limits;
        loop = new EventLoop(
                "control", (int) (settings.maxSubscribers() * CONNECTIONS_PER_SUBSCRIBER) + OTHER_CONNECTIONS);
        file = new MapFile(settings.stateFolder(), settings.maxMapBytes());
        saver = new MapSaver(file);
    }

    /**
     * Starts a control process and waits until it listens.
     *
     * @throws IllegalArgumentException with a one-line message if a setting or a file that it names is invalid
     * @throws IOException if the process cannot listen or cannot write its folder
     */
    public static ControlService start(ControlSettings settings) throws IOException {
        return start(settings, loop -> Dialer.direct(loop, Timing.DEFAULT.connectTimeoutSeconds()));
    }

    /** Starts a control process that opens its upstream connections with the given dialer. */
    public static ControlService start(ControlSettings settings, Function<EventLoop, Dialer> dialers)
            throws IOException {
        ControlService service = new ControlService(settings, Timing.DEFAULT, limits(settings));
        service.loop.start();
        CompletableFuture<Void> started = new CompletableFuture<>();
        service.loop.execute(() -> {
            try {
                service.initialize(dialers.apply(service.loop));
                started.complete(null);
            } catch (IOException | RuntimeException e) {
                started.completeExceptionally(e);
            }
        });
        try {
            started.get(START_TIMEOUT_SECONDS, TimeUnit.SECONDS);
        } catch (ExecutionException | TimeoutException | InterruptedException e) {
            service.close();
            throw startFailure(e);
        }
        return service;
    }

    private static IOException startFailure(Exception e) {
        if (e.getCause() instanceof IllegalArgumentException invalidSettings) {
            throw invalidSettings;
        }
        if (e instanceof InterruptedException) {
            Thread.currentThread().interrupt();
        }
        return e.getCause() instanceof IOException io ? io : new IOException("control process failed to start", e);
    }

    private static Limits limits(ControlSettings settings) {
        Limits defaults = Limits.DEFAULT;
        return new Limits(
                settings.maxSubscribers(),
                defaults.windowBytes(),
                defaults.maxWindowMessages(),
                defaults.maxPartBytes(),
                defaults.maxDeltaBytes(),
                defaults.maxChangeBytes(),
                defaults.maxConcurrentSnapshots(),
                defaults.maxSnapshotSlotSeconds(),
                settings.maxMapBytes(),
                defaults.maxLogChanges(),
                defaults.maxLogBytes(),
                defaults.maxRetryAfterSeconds());
    }

    private void initialize(Dialer dialer) throws IOException {
        long seed = System.nanoTime();
        server = new ControlServer(loop, dialer, settings.listenAddress(), timing, limits, seed, new ServerListener());
        if (settings.leads()) {
            startLeading();
        } else {
            startFollowing();
        }
        subscriberAddress = bindAddress("control.listen", settings.listenAddress(), server::listen);
        if (settings.operatorAddress() != null) {
            operatorAddress = bindAddress(
                    "control.operator",
                    settings.operatorAddress(),
                    address -> loop.listen(
                                    address,
                                    () -> new OperatorPort(this::runCommand),
                                    OperatorPort.MAX_CONNECTIONS,
                                    OperatorPort.MAX_LINE_BYTES,
                                    OperatorPort.MAX_OUTPUT_BYTES)
                            .address());
        }
        registerGauges();
    }

    /** Binds a listening socket and returns the address that it is bound to. */
    private interface Binding {
        InetSocketAddress bind(InetSocketAddress address) throws IOException;
    }

    private static InetSocketAddress bindAddress(String key, String text, Binding binding) throws IOException {
        InetSocketAddress address = Dialer.address(text);
        if (address.isUnresolved()) {
            throw new IllegalArgumentException("'" + key + "' = \"" + text + "\": unknown host");
        }
        try {
            return binding.bind(address);
        } catch (IOException e) {
            throw new IOException("'" + key + "' = \"" + text + "\": " + e.getMessage(), e);
        }
    }

    private void startLeading() throws IOException {
        boolean exists = Files.exists(file.path());
        Optional<MapFile.Saved> saved = file.read();
        if (exists && saved.isEmpty()) {
            throw unreadableMap();
        }
        ShardMap map;
        Version version;
        if (saved.isPresent()) {
            map = decodeSaved(saved.get());
            version = saved.get().version();
        } else {
            map = createFirstMap();
            version = new Version(Math.max(1, settings.minTerm() - 1), 1);
        }
        long term = Math.max(settings.minTerm(), version.term() + 1);
        // Saved before the first message of the term is sent, so that no term is used by two runs of a leader.
        file.write(new Version(term, version.revision() + 1), new ShardMapState().encode(map), Instant.now());
        server.resume(version, map, loop.now());
        server.lead(term);
        leader = new LeaderMap(loop, server, file, saver, map);
        LOG.atInfo()
                .addKeyValue("term", term)
                .addKeyValue("epoch", map.epoch())
                .addKeyValue("ranges", map.rangeCount())
                .log("leading");
    }

    private ShardMap decodeSaved(MapFile.Saved saved) {
        try {
            return new ShardMapState().decode(saved.snapshot());
        } catch (DamagedStateException e) {
            file.logIgnored(e.getMessage());
            throw unreadableMap();
        }
    }

    // A leader with an unreadable map does not start from the first map: the last term would be unknown, and every
    // process that knows a newer term would refuse its messages.
    private IllegalArgumentException unreadableMap() {
        return new IllegalArgumentException(file.path() + ": the leader's map cannot be read: restore it, or move it "
                + "away and set control.term above the last term");
    }

    private ShardMap createFirstMap() throws IOException {
        if (settings.relayListFile() == null) {
            throw new IllegalArgumentException("'control.relays': a leader without a map in " + settings.stateFolder()
                    + " needs the list of relays");
        }
        if (!Files.isRegularFile(settings.relayListFile())) {
            throw new IllegalArgumentException(
                    "'control.relays' = \"" + settings.relayListFile() + "\": there is no such file");
        }
        try {
            return FirstMap.of(
                    RelayList.read(settings.relayListFile()), settings.destinationCount(), settings.rangesPerRelay());
        } catch (ShardMapException e) {
            throw new IllegalArgumentException(settings.relayListFile() + ": " + e.getMessage(), e);
        }
    }

    private void startFollowing() {
        file.read().ifPresent(saved -> {
            try {
                ShardMap map = new ShardMapState().decode(saved.snapshot());
                Duration age = Duration.between(saved.writtenAt(), Instant.now());
                double currentAt = age.isNegative() ? Double.NEGATIVE_INFINITY : loop.now() - age.toMillis() / 1000.0;
                server.resume(saved.version(), map, currentAt);
            } catch (DamagedStateException e) {
                file.logIgnored(e.getMessage());
            }
        });
        server.follow(settings.upstream());
        LOG.atInfo().addKeyValue("upstream", settings.upstream()).log("following");
    }

    private void runCommand(String line, Consumer<String> answer) {
        if (line.equals("status")) {
            answer.accept(status());
        } else if (line.equals("metrics")) {
            answer.accept(counters.text() + "# EOF");
        } else if (leader == null) {
            answer.accept("refused: this process follows; expected 'status' or 'metrics'");
        } else {
            try {
                leader.submit(MapSteps.parse(line), answer);
            } catch (IllegalArgumentException e) {
                answer.accept("refused: " + e.getMessage());
            }
        }
    }

    private String status() {
        Publisher<ShardMap> publisher = server.process().publisher();
        return "role=" + (publisher.isLeading() ? "leader" : "follower")
                + " term=" + publisher.highestTerm()
                + " version=" + publisher.newestVersion()
                + " epoch=" + (long) epoch()
                + " subscribers=" + publisher.memory().subscribers()
                + " age_seconds=" + publisher.ageSeconds(loop.now());
    }

    private double epoch() {
        ShardMap map = server.process().publisher().state();
        return map == null ? 0 : map.epoch();
    }

    // The gauges read state of the loop's thread; only the operator command "metrics" evaluates them, on that thread.
    private void registerGauges() {
        Publisher<ShardMap> publisher = server.process().publisher();
        counters.gauge("control_leads", () -> publisher.isLeading() ? 1 : 0);
        counters.gauge("control_term", publisher::highestTerm);
        counters.gauge("control_epoch", this::epoch);
        counters.gauge("control_age_seconds", () -> publisher.ageSeconds(loop.now()));
        counters.gauge("control_subscribers", () -> publisher.memory().subscribers());
        counters.gauge("control_connections", () -> server.connections());
        counters.gauge("control_in_flight_bytes", () -> publisher.memory().inFlightBytes());
        counters.gauge("control_snapshots", () -> publisher.counters().snapshotsStarted());
        counters.gauge("control_deltas", () -> publisher.counters().deltasSent());
        counters.gauge("control_busy", () -> publisher.counters().rejections());
        counters.gauge("control_slow", () -> publisher.counters().acknowledgementTimeouts());
        counters.gauge("control_bytes_in", () -> server.downstreamTraffic().bytesIn());
        counters.gauge("control_bytes_out", () -> server.downstreamTraffic().bytesOut());
        counters.gauge("control_messages_in", () -> server.downstreamTraffic().messagesIn());
        counters.gauge("control_messages_out", () -> server.downstreamTraffic().messagesOut());
    }

    /** The address on which the process accepts subscribers. */
    public InetSocketAddress subscriberAddress() {
        return subscriberAddress;
    }

    /** The address of the operator port, or null if there is none. */
    public InetSocketAddress operatorAddress() {
        return operatorAddress;
    }

    /** The event loop; lab runs use it to simulate a network partition. */
    public EventLoop loop() {
        return loop;
    }

    /** The server, for lab runs. Use it only on the thread of {@link #loop}. */
    public ControlServer server() {
        return server;
    }

    private final class ServerListener implements ControlServer.Listener {
        @Override
        public void mapActivated(Version version, ShardMap map) {
            saver.save(version, map);
        }

        @Override
        public void mapRefused(Version version, String reason) {
            LOG.atWarn()
                    .addKeyValue("version", version)
                    .addKeyValue("reason", reason)
                    .log("shard map refused; the previous one stays active");
        }

        @Override
        public void leadershipLost(long term) {
            if (leader != null) {
                leader.leadershipLost();
            }
        }
    }

    /** Stops the event loop and waits a limited time for a map that is being saved. */
    @Override
    public void close() {
        loop.close();
        saver.close();
    }
}
