package juniperusher.fleet;

import java.io.IOException;
import java.nio.file.Path;
import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import juniperusher.core.Counters;
import juniperusher.distribution.DamagedStateException;
import juniperusher.distribution.Timing;
import juniperusher.distribution.Version;
import juniperusher.shard.ShardMap;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Makes a relay a member of the fleet: subscribes to the shard map on an event loop of its own, saves the newest map in
 * the relay's folder and exports its age as a metric. No call of the relay depends on the map yet.
 */
public final class FleetMembership implements AutoCloseable {
    private static final Logger LOG = LoggerFactory.getLogger(FleetMembership.class);
    private static final int MAX_CONNECTIONS = 8;
    private static final double AGE_CHECK_SECONDS = 1;

    private final EventLoop loop;
    private final FleetSettings settings;
    private final MapSaver saver;
    private final Counters counters;
    private ControlClient client; // used on the loop's thread only
    private boolean staleLogged; // whether the last log entry on the age called the map stale
    private volatile ControlClient publishedClient; // the client for other threads; null until it exists

    private FleetMembership(FleetSettings settings, MapFile file, Counters counters, EventLoop loop) {
        this.settings = settings;
        this.counters = counters;
        this.loop = loop;
        saver = new MapSaver(file);
    }

    /**
     * Subscribes the relay to the shard map. A readable map in the folder becomes active before the subscription
     * starts, whatever its age.
     *
     * @param name the relay's name, unique in the fleet
     * @param stateFolder the relay's persistent folder
     * @throws IOException if the event loop cannot be created
     */
    public static FleetMembership start(FleetSettings settings, String name, Path stateFolder, Counters counters)
            throws IOException {
        EventLoop loop = new EventLoop("fleet", MAX_CONNECTIONS);
        MapFile file = new MapFile(stateFolder, settings.maxMapBytes());
        FleetMembership membership = new FleetMembership(settings, file, counters, loop);
        membership.registerGauges();
        loop.start();
        loop.execute(() -> membership.subscribe(name, file));
        return membership;
    }

    private void subscribe(String name, MapFile file) {
        client = new ControlClient(
                loop,
                Dialer.direct(loop, Timing.DEFAULT.connectTimeoutSeconds()),
                name,
                Timing.DEFAULT,
                settings.maxMapBytes(),
                System.nanoTime() ^ name.hashCode(),
                new MapListener());
        resumeSaved(file);
        publishedClient = client;
        client.start(settings.controlAddresses());
        loop.schedule(AGE_CHECK_SECONDS, this::checkAge);
    }

    private void resumeSaved(MapFile file) {
        Optional<MapFile.Saved> saved = file.read();
        if (saved.isEmpty()) {
            return;
        }
        try {
            ShardMap map = new ShardMapState().decode(saved.get().snapshot());
            Duration age = Duration.between(saved.get().writtenAt(), Instant.now());
            // If the wall clock was set back since the file was written, the age is unknown.
            double currentAt = age.isNegative() ? Double.NEGATIVE_INFINITY : loop.now() - age.toMillis() / 1000.0;
            client.resume(saved.get().version(), map, currentAt);
            LOG.atInfo()
                    .addKeyValue("epoch", map.epoch())
                    .addKeyValue("age_seconds", age.isNegative() ? "unknown" : age.toSeconds())
                    .log("using the saved shard map until a control process is reached");
        } catch (DamagedStateException e) {
            file.logIgnored(e.getMessage());
        }
    }

    private void checkAge() {
        double ageSeconds = ageSeconds();
        boolean stale = ageSeconds > settings.staleAfterSeconds();
        if (stale != staleLogged) {
            staleLogged = stale;
            ShardMap map = client.status().map();
            LOG.atWarn()
                    .addKeyValue("epoch", map == null ? 0 : map.epoch())
                    .addKeyValue("age_seconds", Double.isInfinite(ageSeconds) ? "unknown" : Math.round(ageSeconds))
                    .log(stale ? "the shard map is stale" : "the shard map is current again");
        }
        loop.schedule(AGE_CHECK_SECONDS, this::checkAge);
    }

    /** Seconds for which the map may have been out of date; infinite if that is not known. Any thread may call it. */
    public double ageSeconds() {
        ControlClient current = publishedClient;
        return current == null
                ? Double.POSITIVE_INFINITY
                : Math.max(0, loop.now() - current.status().currentAt());
    }

    /** The active map, or null. Any thread may call it. */
    public ShardMap map() {
        ControlClient current = publishedClient;
        return current == null ? null : current.status().map();
    }

    private void registerGauges() {
        counters.gauge("fleet_map_epoch", this::epoch);
        counters.gauge("fleet_map_age_seconds", this::ageSeconds);
        counters.gauge("fleet_map_stale", () -> ageSeconds() > settings.staleAfterSeconds() ? 1 : 0);
        counters.gauge("fleet_subscribed", this::subscribed);
        counters.gauge("fleet_maps_refused", this::refusedMaps);
    }

    private double epoch() {
        ShardMap map = map();
        return map == null ? 0 : map.epoch();
    }

    private double subscribed() {
        return publishedClient != null && publishedClient.status().source() != null ? 1 : 0;
    }

    private double refusedMaps() {
        return publishedClient == null ? 0 : publishedClient.status().refusedCount();
    }

    private final class MapListener implements ControlClient.Listener {
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
    }

    /** Stops the subscription and waits a limited time for a map that is being saved. */
    @Override
    public void close() {
        loop.close();
        saver.close();
    }
}
