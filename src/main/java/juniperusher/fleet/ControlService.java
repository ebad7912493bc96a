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
 * A control process as its settings describe it: leads with the map of its folder or the first map, or follows; keeps
 * the newest map in its folder; takes the operator's lines. Who leads is said by the settings: the lease of
 * {@code ownership} is not asked yet, the term alone fences an old leader.
 */
public final class ControlService implements AutoCloseable {
    private static final Logger LOG = LoggerFactory.getLogger(ControlService.class);
    private static final long START_SECONDS = 20;
    private static final int SPARE_CONNECTIONS = 64; // beside those of subscribers
    private static final double ROOM = 1.2; // as the server's

    private final ControlSettings settings;
    private final EventLoop loop;
    private final MapFile file;
    private final MapSaver saver;
    private final Counters counters = new Counters();
    private final Timing timing;
    private final Limits limits;
    private ControlServer server; // this and what follows are the loop's
    private LeaderMap leader; // or null
    private InetSocketAddress listening;
    private InetSocketAddress operator;

    private ControlService(ControlSettings settings, Timing timing, Limits limits) throws IOException {
        this.settings = settings;
        this.timing = timing;
        this.limits = limits;
        loop = new EventLoop("control", (int) (settings.maxSubscribers() * ROOM) + SPARE_CONNECTIONS);
        file = new MapFile(settings.state(), settings.maxMapBytes());
        saver = new MapSaver(file);
    }

    /**
     * Starts one.
     *
     * @throws IllegalArgumentException in one line, where what the settings name cannot be used
     * @throws IOException if it cannot listen or write its folder
     */
    public static ControlService start(ControlSettings settings) throws IOException {
        return start(settings, loop -> Dialer.direct(loop, Timing.USUAL.connectPatience()));
    }

    /** The same, with other ways to open connections. */
    public static ControlService start(ControlSettings settings, Function<EventLoop, Dialer> dialers)
            throws IOException {
        ControlService service = new ControlService(settings, Timing.USUAL, limits(settings));
        service.loop.start();
        CompletableFuture<Void> started = new CompletableFuture<>();
        service.loop.execute(() -> {
            try {
                service.open(dialers.apply(service.loop));
                started.complete(null);
            } catch (IOException | RuntimeException e) {
                started.completeExceptionally(e);
            }
        });
        try {
            started.get(START_SECONDS, TimeUnit.SECONDS);
        } catch (ExecutionException | TimeoutException | InterruptedException e) {
            service.close();
            throw failure(e);
        }
        return service;
    }

    private static IOException failure(Exception e) {
        if (e.getCause() instanceof IllegalArgumentException wrong) {
            throw wrong;
        }
        if (e instanceof InterruptedException) {
            Thread.currentThread().interrupt();
        }
        return e.getCause() instanceof IOException io ? io : new IOException("the control process did not start", e);
    }

    private static Limits limits(ControlSettings settings) {
        Limits usual = Limits.USUAL;
        return new Limits(
                settings.maxSubscribers(),
                usual.windowBytes(),
                usual.windowMessages(),
                usual.partBytes(),
                usual.deltaBytes(),
                usual.changeBytes(),
                usual.snapshotsAtOnce(),
                usual.snapshotSeconds(),
                settings.maxMapBytes(),
                usual.logChanges(),
                usual.logBytes(),
                usual.retryAfter());
    }

    private void open(Dialer dialer) throws IOException {
        long seed = System.nanoTime();
        server = new ControlServer(loop, dialer, settings.listen(), timing, limits, seed, new Events());
        if (settings.leads()) {
            lead();
        } else {
            follow();
        }
        listening = bind("control.listen", settings.listen(), server::listen);
        if (settings.operator() != null) {
            operator = bind(
                    "control.operator",
                    settings.operator(),
                    address -> loop.listen(
                                    address,
                                    () -> new OperatorPort(this::command),
                                    OperatorPort.MAX_CONNECTIONS,
                                    OperatorPort.MAX_LINE,
                                    OperatorPort.MAX_OUTPUT)
                            .address());
        }
        showGauges();
    }

    /** Binds a listener. */
    private interface Binding {
        InetSocketAddress at(InetSocketAddress address) throws IOException;
    }

    private static InetSocketAddress bind(String key, String text, Binding binding) throws IOException {
        InetSocketAddress address = Dialer.address(text);
        if (address.isUnresolved()) {
            throw new IllegalArgumentException("'" + key + "' = \"" + text + "\": the host is not known");
        }
        try {
            return binding.at(address);
        } catch (IOException e) {
            throw new IOException("'" + key + "' = \"" + text + "\": " + e.getMessage(), e);
        }
    }

    private void lead() throws IOException {
        boolean exists = Files.exists(file.path());
        Optional<MapFile.Saved> saved = file.read();
        if (exists && saved.isEmpty()) {
            throw unreadable();
        }
        ShardMap map;
        Version version;
        if (saved.isPresent()) {
            map = decoded(saved.get());
            version = saved.get().version();
        } else {
            map = first();
            version = new Version(Math.max(1, settings.term() - 1), 1);
        }
        long term = Math.max(settings.term(), version.term() + 1);
        // On disk before the first message of the term: no term is led under twice.
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

    private ShardMap decoded(MapFile.Saved saved) {
        try {
            return new ShardMapState().decode(saved.snapshot());
        } catch (DamagedStateException e) {
            file.refuse(e.getMessage());
            throw unreadable();
        }
    }

    // A leader that began anew under an old term would be refused by all who know a newer one.
    private IllegalArgumentException unreadable() {
        return new IllegalArgumentException(file.path() + ": the leader's map cannot be read: restore it, or move it "
                + "away and set control.term above the last term");
    }

    private ShardMap first() throws IOException {
        if (settings.relays() == null) {
            throw new IllegalArgumentException(
                    "'control.relays': a leader without a map in " + settings.state() + " needs the list of relays");
        }
        if (!Files.isRegularFile(settings.relays())) {
            throw new IllegalArgumentException(
                    "'control.relays' = \"" + settings.relays() + "\": there is no such file");
        }
        try {
            return FirstMap.of(RelayList.read(settings.relays()), settings.destinations(), settings.rangesPerRelay());
        } catch (ShardMapException e) {
            throw new IllegalArgumentException(settings.relays() + ": " + e.getMessage(), e);
        }
    }

    private void follow() {
        file.read().ifPresent(saved -> {
            try {
                ShardMap map = new ShardMapState().decode(saved.snapshot());
                Duration age = Duration.between(saved.writtenAt(), Instant.now());
                double currentAt = age.isNegative() ? Double.NEGATIVE_INFINITY : loop.now() - age.toMillis() / 1000.0;
                server.resume(saved.version(), map, currentAt);
            } catch (DamagedStateException e) {
                file.refuse(e.getMessage());
            }
        });
        server.follow(settings.upstream());
        LOG.atInfo().addKeyValue("upstream", settings.upstream()).log("following");
    }

    private void command(String line, Consumer<String> answer) {
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
        return "role=" + (publisher.leads() ? "leader" : "follower")
                + " term=" + publisher.term()
                + " version=" + publisher.newest()
                + " epoch=" + (long) epoch()
                + " subscribers=" + publisher.memory().subscribers()
                + " age_seconds=" + publisher.age(loop.now());
    }

    private double epoch() {
        ShardMap map = server.process().publisher().state();
        return map == null ? 0 : map.epoch();
    }

    // Asked on the loop's thread alone, by the operator's line.
    private void showGauges() {
        Publisher<ShardMap> publisher = server.process().publisher();
        counters.gauge("control_leads", () -> publisher.leads() ? 1 : 0);
        counters.gauge("control_term", publisher::term);
        counters.gauge("control_epoch", this::epoch);
        counters.gauge("control_age_seconds", () -> publisher.age(loop.now()));
        counters.gauge("control_subscribers", () -> publisher.memory().subscribers());
        counters.gauge("control_connections", () -> server.connections());
        counters.gauge("control_in_flight_bytes", () -> publisher.memory().inFlightBytes());
        counters.gauge("control_snapshots", () -> publisher.counters().snapshots());
        counters.gauge("control_deltas", () -> publisher.counters().deltas());
        counters.gauge("control_busy", () -> publisher.counters().busy());
        counters.gauge("control_slow", () -> publisher.counters().slow());
        counters.gauge("control_bytes_in", () -> server.downstreamTraffic().bytesIn());
        counters.gauge("control_bytes_out", () -> server.downstreamTraffic().bytesOut());
        counters.gauge("control_messages_in", () -> server.downstreamTraffic().messagesIn());
        counters.gauge("control_messages_out", () -> server.downstreamTraffic().messagesOut());
    }

    /** Where subscribers connect. */
    public InetSocketAddress listening() {
        return listening;
    }

    /** Where the operator's lines go; null where there is none. */
    public InetSocketAddress operator() {
        return operator;
    }

    /** The loop, for a laboratory that cuts the network. */
    public EventLoop loop() {
        return loop;
    }

    /** The server, on the loop's thread, for a laboratory. */
    public ControlServer server() {
        return server;
    }

    private final class Events implements ControlServer.Listener {
        @Override
        public void inForce(Version version, ShardMap map) {
            saver.save(version, map);
        }

        @Override
        public void refused(Version version, String reason) {
            LOG.atWarn()
                    .addKeyValue("version", version)
                    .addKeyValue("reason", reason)
                    .log("a shard map is refused, the one before stays in force");
        }

        @Override
        public void deposed(long term) {
            if (leader != null) {
                leader.deposed();
            }
        }
    }

    @Override
    public void close() {
        loop.close();
        saver.close();
    }
}
