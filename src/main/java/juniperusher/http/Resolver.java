package juniperusher.http;

import com.eclipsesource.json.Json;
import com.eclipsesource.json.JsonObject;
import com.eclipsesource.json.JsonValue;
import com.eclipsesource.json.ParseException;
import java.io.ByteArrayOutputStream;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import juniperusher.Protocol.Phase;
import juniperusher.Protocol.Target;
import juniperusher.Protocol.TargetList;
import juniperusher.core.CallEnd;
import juniperusher.net.HttpMessage;
import juniperusher.net.HttpPool;
import juniperusher.net.Network;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Discovery's list as the module's targets. Starts from the list known last, holds a watch and resumes it
 * by its index. While discovery is silent or broken, the old resolver result stands.
 */
final class Resolver {
    private static final Logger LOG = LoggerFactory.getLogger(Resolver.class);
    private static final long SILENT = 7_000; // ms without even an empty line: the watch is dead
    private static final long AGAIN = 250; // ms before the watch is opened anew

    private final Config config;
    private final HttpPool pool;
    private final Network network;
    private final Consumer<TargetList> told;
    private final Map<String, Integer> numbers = new ConcurrentHashMap<>();
    private final Map<Integer, InetSocketAddress> addresses = new ConcurrentHashMap<>();
    private long version;
    private volatile long heardAt;
    private volatile Watch watch;
    private volatile boolean stopped;

    Resolver(Config config, HttpPool pool, Network network, Consumer<TargetList> told) {
        this.config = config;
        this.pool = pool;
        this.network = network;
        this.told = told;
    }

    /** The list known last. */
    TargetList known() {
        return result(config.known());
    }

    /** The address of an endpoint. */
    InetSocketAddress address(int subchannel) {
        return addresses.get(subchannel);
    }

    void start() {
        open();
        check();
    }

    void stop() {
        stopped = true;
    }

    private void open() {
        if (stopped) {
            return;
        }
        heardAt = System.currentTimeMillis();
        Watch next = new Watch();
        watch = next;
        next.exchange = pool.exchange(config.discovery(), HttpMessage.request("GET",
                "/discovery/hosts?stream=1&index=" + version, new byte[0], "Host", "discovery"), () -> true,
                        next);
    }

    private void check() {
        Watch current = watch;
        if (current != null && System.currentTimeMillis() - heardAt > SILENT) {
            LOG.warn("resolver: the watch is silent; opening it anew");
            current.exchange.abandon(CallEnd.TIMED_OUT);
        }
        if (!stopped) {
            network.scheduler().schedule(this::check, 500, TimeUnit.MILLISECONDS);
        }
    }

    private final class Watch implements HttpPool.Listener {
        private final ByteArrayOutputStream line = new ByteArrayOutputStream();
        private volatile HttpPool.Exchange exchange;

        @Override
        public boolean streamed(int status, byte[] piece) {
            heardAt = System.currentTimeMillis();
            if (status != 200 || this != watch) {
                return true;
            }
            for (byte b : piece) {
                if (b != '\n') {
                    line.write(b);
                } else if (line.size() > 0) {
                    take(line.toString(StandardCharsets.UTF_8).strip());
                    line.reset();
                }
            }
            return true;
        }

        @Override
        public void answered(HttpMessage response) {
            again();
        }

        @Override
        public void ended(CallEnd why) {
            again();
        }

        private void again() {
            if (this == watch && !stopped) {
                network.scheduler().schedule(Resolver.this::open, AGAIN, TimeUnit.MILLISECONDS);
            }
        }
    }

    private void take(String text) {
        if (text.isEmpty()) {
            return;
        }
        try {
            told.accept(result(Json.parse(text).asObject()));
        } catch (ParseException | UnsupportedOperationException | NullPointerException e) {
            LOG.warn("resolver: a line that cannot be read: {}", e.toString());
        }
    }

    private synchronized TargetList result(JsonObject json) {
        List<Target> targets = new ArrayList<>();
        for (JsonValue value : json.get("servers").asArray()) {
            JsonObject entry = value.asObject();
            int number = numbers.computeIfAbsent(entry.getString("id", ""), id -> numbers.size() + 1);
            if (entry.get("addr") != null && entry.get("addr").isString()) {
                addresses.put(number, Config.address(entry.getString("addr", "")));
            }
            Phase phase = switch (entry.getString("state", "")) {
                case "up" -> Phase.READY;
                case "draining" -> Phase.DRAINING;
                default -> Phase.GONE;
            };
            targets.add(new Target(number, entry.getInt("cell", -1),
                    Math.max(0, config.kinds().indexOf(entry.getString("kind", ""))),
                    Math.max(0, config.zones().indexOf(entry.getString("zone", ""))),
                    entry.getDouble("weight", 1), phase));
        }
        version = json.getLong("version", version);
        return new TargetList(json.getBoolean("full", true), targets);
    }
}
