package juniperusher.http;

import java.io.Closeable;
import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.atomic.AtomicReference;
import juniperusher.core.Counters;
import juniperusher.core.Extension;
import juniperusher.core.Relay;
import juniperusher.core.RoutedSubchannels;
import juniperusher.core.Subchannels;
import juniperusher.net.HttpPool;
import juniperusher.net.Network;
import juniperusher.storm.StormSettings;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** A relay on the platform: the core between the platform's front and its endpoints. */
public final class Platform implements AutoCloseable {
    private static final Logger LOG = LoggerFactory.getLogger(Platform.class);
    private static final double IDLE_SHARE = 0.8; // of the endpoints' idle time: closed by us before
    private static final double IDLE_DESCRIPTORS = 0.15; // of all, for idle connections to endpoints
    private static final int LEAST_IDLE = 8; // whatever the limit says
    private static final long LAST_UNSAFE = 1_200; // ms after SIGTERM: time for an answer before the end
    private static final long SERVE = 3_200; // ms after SIGTERM; SIGKILL comes after 3.7 s

    private final AtomicReference<Config> config;
    private final Network network;
    private final Extension extension;
    private final Relay relay;
    private final Resolver resolver;
    private final Peers peers;
    private final PlatformFront front;
    private final Closeable listener;
    private final Counters counters;

    /** Starts a relay that keeps its journal in {@code state}; {@code extension} may be null. */
    public Platform(Config first, Path state, Counters counters, Network network, Extension extension)
            throws Exception {
        this(first, state, counters, network, extension, null);
    }

    /** The same, with the storm package on where {@code storms} is not null. */
    public Platform(Config first, Path state, Counters counters, Network network, Extension extension,
            StormSettings storms) throws Exception {
        this.counters = counters;
        config = new AtomicReference<>(first);
        this.network = network;
        this.extension = extension;
        var allowed = first.settings().settings().allowed();
        HttpPool pool = new HttpPool(network, allowed.keepAlive() * IDLE_SHARE,
                Math.max(LEAST_IDLE, (int) (first.descriptors() * IDLE_DESCRIPTORS)));
        peers = new Peers(config::get);
        Relay[] made = new Relay[1];
        resolver = new Resolver(first, pool, network, counters, (snapshot, list) ->
                made[0].resolved(snapshot, list));
        Subchannels usual = new HttpSubchannels(first, pool, network, resolver);
        Subchannels subchannels = extension == null ? usual : new RoutedSubchannels(usual, extension);
        relay = new Relay(first.settings().settings(), first.seed(), first.gap(), state,
                first.diskBytes(), counters, subchannels, peers::send,
                storms == null ? null : new StormCompanion(storms, first, counters));
        made[0] = relay;
        Notices notices = new Notices(() -> config.get().discovery(), pool, network);
        counters.gauge("notices_waiting", notices::waiting);
        counters.gauge("connections_in", network.inbound()::size);
        counters.gauge("connections_shed", network::shed);
        counters.gauge("connections_unopened", network::unopened);
        counters.gauge("connections_coming", network::coming);
        front = new PlatformFront(first, notices, counters, relay);
        relay.add(front);
        if (extension != null) {
            extension.join(relay);
        }
        relay.start(resolver.known(first.known(), extension == null ? List.of() : extension.targets()));
        resolver.start(first.discovery());
        peers.start(relay::tell);
        listener = front.listen(network);
        if (extension != null) {
            extension.open();
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
        config.set(config.get().movedTo(newer));
        resolver.moved(newer.discovery());
        counters.add("reloads_total", "result", "done");
        LOG.info("configuration read anew; discovery is at {}", newer.discovery());
    }

    /** What SIGTERM asks for: serves what still arrives, starts nothing that could not finish, then ends. */
    public void drain() throws InterruptedException {
        long from = System.currentTimeMillis();
        relay.noUnsafeAfter(from + LAST_UNSAFE);
        Thread.sleep(SERVE);
        LOG.info("ending with {} RPCs owed", relay.held());
    }

    /** The counters. */
    public Counters counters() {
        return counters;
    }

    @Override
    public void close() throws Exception {
        front.close();
        resolver.stop();
        listener.close();
        if (extension != null) {
            extension.close();
        }
        peers.close();
        relay.close();
        network.close();
        relay.closeJournal();
    }
}
