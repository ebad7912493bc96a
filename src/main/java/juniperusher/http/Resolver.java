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
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;
import java.util.stream.Collectors;
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
 * by its index. At another address the whole list is fetched first: an index counts only where it was told.
 * While discovery is silent or broken, the old resolver result stands.
 */
final class Resolver {
    private static final Logger LOG = LoggerFactory.getLogger(Resolver.class);
    private static final long SILENT = 4_500; // ms without even an empty line, due every 2 s: a dead watch
    private static final long SILENT_WHOLE = 1_000; // ms for the whole list, which an agent tells at once
    private static final long AGAIN = 250; // ms before the watch is opened anew

    private static final long MOST_LIST = 1 << 20; // bytes of the whole list
    private static final long FORGET = 30; // s after which a gone endpoint has no call out

    private final Supplier<Config> config;
    private final HttpPool pool;
    private final Network network;
    private final Consumer<TargetList> told;
    private final Map<String, Integer> numbers = new ConcurrentHashMap<>();
    private final Map<Integer, InetSocketAddress> addresses = new ConcurrentHashMap<>();
    private int lastNumber;
    private long version;
    private boolean numbered = true; // the version was told by the agent that is asked
    private volatile long heardAt;
    private volatile Watch watch;
    private volatile boolean stopped;

    Resolver(Supplier<Config> config, HttpPool pool, Network network, Consumer<TargetList> told) {
        this.config = config;
        this.pool = pool;
        this.network = network;
        this.told = told;
    }

    /** The list known last. */
    TargetList known() {
        return result(config.get().known());
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

    /** The agent has another address: leaves the old one at once, whether or not it still talks. */
    synchronized void moved() {
        Watch old = watch;
        numbered = false;
        open();
        old.exchange.abandon(CallEnd.CALLED_OFF);
    }

    private synchronized void open() {
        if (stopped) {
            return;
        }
        heardAt = System.currentTimeMillis();
        Watch next = new Watch(!numbered);
        watch = next;
        next.exchange = pool.exchange(config.get().discovery(), HttpMessage.request("GET", "/discovery/hosts"
                + (next.whole ? "" : "?stream=1&index=" + version), new byte[0], "Host", "discovery"),
                () -> true, next);
    }

    private synchronized void check() {
        if (System.currentTimeMillis() - heardAt > (watch.whole ? SILENT_WHOLE : SILENT)) {
            LOG.warn("resolver: the watch is silent; opening it anew");
            watch.exchange.abandon(CallEnd.TIMED_OUT);
        }
        if (!stopped) {
            network.scheduler().schedule(this::check, 500, TimeUnit.MILLISECONDS);
        }
    }

    private final class Watch implements HttpPool.Listener {
        private final ByteArrayOutputStream line = new ByteArrayOutputStream();
        private final boolean whole;
        private HttpPool.Exchange exchange;

        Watch(boolean whole) {
            this.whole = whole;
        }

        @Override
        public boolean streamed(int status, byte[] piece) {
            if (whole) {
                return false;
            }
            heardAt = System.currentTimeMillis();
            if (status != 200 || this != watch) {
                return true;
            }
            for (byte b : piece) {
                if (b != '\n') {
                    line.write(b);
                } else if (line.size() > 0) {
                    take(this, line.toString(StandardCharsets.UTF_8).strip());
                    line.reset();
                }
            }
            return true;
        }

        @Override
        public long most() {
            return whole ? MOST_LIST : Long.MAX_VALUE;
        }

        @Override
        public void answered(HttpMessage response) {
            if (whole && response.status() == 200 && take(this, response.text())) {
                open(); // the watch proper, from here on
            } else {
                again();
            }
        }

        @Override
        public void ended(CallEnd why, int firstLine) {
            again();
        }

        private void again() {
            if (this == watch && !stopped) {
                network.scheduler().schedule(Resolver.this::open, AGAIN, TimeUnit.MILLISECONDS);
            }
        }
    }

    /** Passes on what the watch in force was told; whether it could be read. */
    private synchronized boolean take(Watch from, String text) {
        if (text.isEmpty() || from != watch) {
            return false;
        }
        try {
            told.accept(result(Json.parse(text).asObject()));
            numbered = true;
            return true;
        } catch (ParseException | UnsupportedOperationException | NullPointerException e) {
            LOG.warn("resolver: a line that cannot be read: {}", e.toString());
            return false;
        }
    }

    private synchronized TargetList result(JsonObject json) {
        List<Target> targets = new ArrayList<>();
        for (JsonValue value : json.get("servers").asArray()) {
            JsonObject entry = value.asObject();
            String id = entry.getString("id", "");
            int number = numbers.computeIfAbsent(id, key -> ++lastNumber);
            if (entry.get("addr") != null && entry.get("addr").isString()) {
                addresses.put(number, Config.address(entry.getString("addr", "")));
            }
            Phase phase = switch (entry.getString("state", "")) {
                case "up" -> Phase.READY;
                case "draining" -> Phase.DRAINING;
                default -> Phase.GONE;
            };
            if (phase == Phase.GONE) {
                pool.closeIdle(addresses.get(number), number);
                numbers.remove(id); // should it come again, it is a new one to all that knew it
                network.scheduler().schedule(() -> addresses.remove(number), FORGET, TimeUnit.SECONDS);
            }
            targets.add(new Target(number, entry.getInt("cell", -1),
                    Math.max(0, config.get().kinds().indexOf(entry.getString("kind", ""))),
                    Math.max(0, config.get().zones().indexOf(entry.getString("zone", ""))),
                    entry.getDouble("weight", 1), phase));
        }
        version = json.getLong("version", version);
        boolean full = json.getBoolean("full", true);
        if (full) {
            Set<Integer> named = targets.stream().map(Target::id).collect(Collectors.toSet());
            numbers.values().retainAll(named);
            addresses.keySet().retainAll(named);
        }
        return new TargetList(full, targets);
    }
}
