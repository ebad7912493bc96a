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
 * A relay's part in the fleet: it subscribes to the shard map on a loop of its own, keeps the last map in the relay's
 * folder and shows how old it is. Nothing that the relay sends depends on the map yet.
 */
public final class FleetMembership implements AutoCloseable {
    private static final Logger LOG = LoggerFactory.getLogger(FleetMembership.class);
    private static final int MAX_CONNECTIONS = 8;
    private static final double CHECK_SECONDS = 1; // between two looks at the map's age

    private final EventLoop loop;
    private final FleetSettings settings;
    private final MapSaver saver;
    private final Counters counters;
    private ControlClient client; // the loop's
    private boolean stale; // as it was told in the log last
    private volatile ControlClient shown; // the same for gauges

    private FleetMembership(FleetSettings settings, MapFile file, Counters counters, EventLoop loop) {
        this.settings = settings;
        this.counters = counters;
        this.loop = loop;
        saver = new MapSaver(file);
    }

    /**
     * Subscribes; the map in the folder is in force at once, however old, if it can be read.
     *
     * @param name the relay's, unique in the fleet
     * @param state the relay's folder that lasts
     */
    public static FleetMembership start(FleetSettings settings, String name, Path state, Counters counters)
            throws IOException {
        EventLoop loop = new EventLoop("fleet", MAX_CONNECTIONS);
        MapFile file = new MapFile(state, settings.maxMapBytes());
        FleetMembership membership = new FleetMembership(settings, file, counters, loop);
        membership.showGauges();
        loop.start();
        loop.execute(() -> membership.subscribe(name, file));
        return membership;
    }

    private void subscribe(String name, MapFile file) {
        client = new ControlClient(
                loop,
                Dialer.direct(loop, Timing.USUAL.connectPatience()),
                name,
                Timing.USUAL,
                settings.maxMapBytes(),
                System.nanoTime() ^ name.hashCode(),
                new Events());
        resume(file);
        shown = client;
        client.start(settings.control());
        loop.schedule(CHECK_SECONDS, this::checkAge);
    }

    private void resume(MapFile file) {
        Optional<MapFile.Saved> saved = file.read();
        if (saved.isEmpty()) {
            return;
        }
        try {
            ShardMap map = new ShardMapState().decode(saved.get().snapshot());
            Duration age = Duration.between(saved.get().writtenAt(), Instant.now());
            // A wall clock that went back says nothing about the age.
            double currentAt = age.isNegative() ? Double.NEGATIVE_INFINITY : loop.now() - age.toMillis() / 1000.0;
            client.resume(saved.get().version(), map, currentAt);
            LOG.atInfo()
                    .addKeyValue("epoch", map.epoch())
                    .addKeyValue("age_seconds", age.isNegative() ? "unknown" : age.toSeconds())
                    .log("the saved shard map is in force until a control process is reached");
        } catch (DamagedStateException e) {
            file.refuse(e.getMessage());
        }
    }

    private void checkAge() {
        double age = age();
        boolean now = age > settings.staleAfter();
        if (now != stale) {
            stale = now;
            ShardMap map = client.status().map();
            LOG.atWarn()
                    .addKeyValue("epoch", map == null ? 0 : map.epoch())
                    .addKeyValue("age_seconds", Double.isInfinite(age) ? "unknown" : Math.round(age))
                    .log(now ? "the shard map is stale" : "the shard map is current again");
        }
        loop.schedule(CHECK_SECONDS, this::checkAge);
    }

    /** Seconds for which the map may have been out of date; infinite where that is not known. Any thread. */
    public double age() {
        ControlClient from = shown;
        return from == null
                ? Double.POSITIVE_INFINITY
                : Math.max(0, loop.now() - from.status().currentAt());
    }

    /** The map in force, or null. Any thread. */
    public ShardMap map() {
        ControlClient from = shown;
        return from == null ? null : from.status().map();
    }

    private void showGauges() {
        counters.gauge("fleet_map_epoch", this::epoch);
        counters.gauge("fleet_map_age_seconds", this::age);
        counters.gauge("fleet_map_stale", () -> age() > settings.staleAfter() ? 1 : 0);
        counters.gauge("fleet_subscribed", this::subscribed);
        counters.gauge("fleet_maps_refused", this::refused);
    }

    private double epoch() {
        ShardMap map = map();
        return map == null ? 0 : map.epoch();
    }

    private double subscribed() {
        return shown != null && shown.status().source() != null ? 1 : 0;
    }

    private double refused() {
        return shown == null ? 0 : shown.status().refused();
    }

    private final class Events implements ControlClient.Listener {
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
    }

    @Override
    public void close() {
        loop.close();
        saver.close();
    }
}
