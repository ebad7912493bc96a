package juniperusher.http;

import com.eclipsesource.json.JsonObject;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import juniperusher.Protocol.Phase;
import juniperusher.Protocol.Target;
import juniperusher.Protocol.TargetList;
import juniperusher.core.CallEnd;
import juniperusher.core.Counters;
import juniperusher.membership.Membership;
import juniperusher.membership.Snapshot;
import juniperusher.membership.Step;
import juniperusher.membership.Timing;
import juniperusher.membership.Update;
import juniperusher.net.HttpMessage;
import juniperusher.net.HttpPool;
import juniperusher.net.Network;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The sockets around {@link Membership}: reads what discovery's agent sends and carries out what the state
 * machine asks for. One thread owns the machine. Whatever fails in a step, that thread goes on, and the
 * machine's own time brings the next watch: nothing here depends on a timer that someone has to set again.
 */
final class Resolver implements Runnable {
    private static final Logger LOG = LoggerFactory.getLogger(Resolver.class);
    // bytes of a whole list or of a change: 20,000 endpoints or so
    private static final int MAX_LIST_BYTES = 4 << 20;
    private static final long MAX_POLL_MILLIS = 500; // ms after which the machine is asked, whatever it said is due
    // ms for which a change may stand open without a further byte. A drain that was cut off is told all the
    // same and has to be heeded within 500 ms; a change that was only slow is taken in the end.
    private static final long PARTIAL_CHANGE_MILLIS = 150;
    private static final long STACK_BYTES = 256 * 1024; // bytes

    private final HttpPool pool;
    private final Counters counters;
    private final AgentList listParser;
    private final BiConsumer<Snapshot, TargetList> snapshotListener;
    private final Membership membership;
    private final BlockingQueue<Event> events = new LinkedBlockingQueue<>();
    private final Map<Integer, ResponseReader> openReaders = new HashMap<>();
    private final long originNanos = System.nanoTime();
    private final Thread thread = new Thread(null, this, "membership", STACK_BYTES);
    private final CountDownLatch listReceived = new CountDownLatch(1); // until discovery has told a list here
    private volatile Snapshot snapshot = Snapshot.EMPTY;
    private volatile double lastHeardSeconds;
    private volatile boolean stopped;

    /** Something that the machine is told, at the time at which it is taken up. */
    private interface Event {
        List<Step> apply(double now);
    }

    /** {@code told} hears each new snapshot and what is different in it. */
    Resolver(
            Config config,
            HttpPool pool,
            Network network,
            Counters counters,
            BiConsumer<Snapshot, TargetList> snapshotListener) {
        this(config, Timing.USUAL, pool, counters, snapshotListener);
    }

    Resolver(
            Config config,
            Timing timing,
            HttpPool pool,
            Counters counters,
            BiConsumer<Snapshot, TargetList> snapshotListener) {
        this.pool = pool;
        this.counters = counters;
        this.snapshotListener = snapshotListener;
        listParser = new AgentList(config.kindNames(), config.zoneNames());
        membership = new Membership(timing, List.of(), config.seed());
        thread.setDaemon(true);
        counters.gauge("discovery_age_seconds", () -> now() - lastHeardSeconds);
        counters.gauge("membership_version", () -> snapshot.version());
        counters.gauge("membership_confirmed", () -> snapshot.confirmed() ? 1 : 0);
        counters.gauge("endpoints_ready", () -> snapshot.count(Phase.READY));
        counters.gauge("endpoints_draining", () -> snapshot.count(Phase.DRAINING));
    }

    private double now() {
        return (System.nanoTime() - originNanos) / 1e9;
    }

    /** The list known last, which may be old, and the endpoints that no list names. */
    Snapshot loadKnownList(JsonObject lastKnownList, List<Target> fixed) {
        Update update;
        try {
            update = listParser.read(lastKnownList);
        } catch (IllegalArgumentException | UnsupportedOperationException e) {
            LOG.warn("the list known last cannot be read; beginning without: {}", e.getMessage());
            update = new Update(true, 0, List.of(), Set.of());
        }
        snapshot = membership.known(update, fixed, now());
        return snapshot;
    }

    /** The state in force. */
    Snapshot snapshot() {
        return snapshot;
    }

    /** The address of an endpoint. */
    InetSocketAddress address(int subchannel) {
        return snapshot.address(subchannel);
    }

    void start(InetSocketAddress discovery) {
        discoveryMoved(discovery);
        thread.start();
    }

    /** Waits for discovery's first word, so many milliseconds at most; whether it has come. */
    boolean awaitFirstList(long millis) throws InterruptedException {
        return listReceived.await(millis, TimeUnit.MILLISECONDS);
    }

    /** The agent has another address: the old one is left at once, whether or not it still talks. */
    void discoveryMoved(InetSocketAddress discovery) {
        events.add(now -> membership.moved(discovery, now));
    }

    void stop() {
        stopped = true;
        events.add(now -> membership.stop());
    }

    // ---- the one thread that owns the machine ----

    @Override
    public void run() {
        while (!stopped) {
            try {
                processNext();
            } catch (InterruptedException e) {
                LOG.debug("membership ends");
                return;
            } catch (RuntimeException | Error e) {
                // Guards against a relay that never again hears of its endpoints.
                LOG.error("membership goes on after a failure", e);
                counters.add("membership_failures_total");
            }
        }
    }

    private void processNext() throws InterruptedException {
        long maxWaitMillis = openReaders.values().stream().anyMatch(ResponseReader::hasPartialChange)
                ? PARTIAL_CHANGE_MILLIS / 3
                : MAX_POLL_MILLIS;
        long waitMillis = Math.max(1, Math.min(maxWaitMillis, (long) Math.ceil((membership.due() - now()) * 1000)));
        Event event = events.poll(waitMillis, TimeUnit.MILLISECONDS);
        try {
            if (event != null) {
                execute(event.apply(now()));
            }
        } finally {
            // also when events never cease, or one of them failed
            for (ResponseReader reader : List.copyOf(openReaders.values())) {
                execute(reader.checkPartialChange(now()));
            }
            execute(membership.tick(now()));
            lastHeardSeconds = membership.heardAt();
        }
    }

    private void execute(List<Step> steps) {
        for (Step step : steps) {
            if (step instanceof Step.Open watch) {
                openWatch(watch);
            } else if (step instanceof Step.Abandon abandoned) {
                ResponseReader abandonedReader = openReaders.remove(abandoned.watch());
                if (abandonedReader != null && abandonedReader.exchange != null) {
                    abandonedReader.exchange.abandon(CallEnd.CALLED_OFF);
                }
            } else if (step instanceof Step.Publish publish) {
                publish(publish);
            }
        }
    }

    private void openWatch(Step.Open watch) {
        counters.add("watch_openings_total", "what", watch.whole() ? "list" : "watch");
        LOG.atInfo()
                .addKeyValue("watch", watch.watch())
                .addKeyValue("discovery", watch.address())
                .addKeyValue("index", watch.whole() ? "none" : Long.toString(watch.index()))
                .log(watch.whole() ? "asking for the whole list" : "opening the watch");
        ResponseReader responseReader = new ResponseReader(watch.watch(), watch.whole());
        openReaders.put(watch.watch(), responseReader);
        try {
            responseReader.exchange = pool.exchange(
                    watch.address(),
                    HttpMessage.request(
                            "GET",
                            "/discovery/hosts" + (watch.whole() ? "" : "?stream=1&index=" + watch.index()),
                            new byte[0],
                            "Host",
                            "discovery"),
                    () -> true,
                    responseReader);
        } catch (RuntimeException | Error e) {
            // Guards against a watch in force that nobody holds: it would be due only when its silence is
            // over.
            openReaders.remove(watch.watch());
            membership.ended(watch.watch(), now());
            throw e;
        }
    }

    private void publish(Step.Publish change) {
        snapshot = change.snapshot();
        try {
            snapshotListener.accept(change.snapshot(), change.told());
        } finally {
            if (snapshot.confirmed()) {
                listReceived.countDown();
            }
            change.left()
                    .forEach(departed ->
                            pool.closeIdle(departed.address(), departed.target().id()));
        }
        if (!change.told().targets().isEmpty()) {
            LOG.atInfo()
                    .addKeyValue("version", snapshot.version())
                    .addKeyValue("changed", change.told().targets().size())
                    .addKeyValue("ready", snapshot.count(Phase.READY))
                    .addKeyValue("draining", snapshot.count(Phase.DRAINING))
                    .log("the list has changed");
        }
    }

    /** Cuts what comes on a watch into changes, on the threads of the network. */
    private final class ResponseReader implements HttpPool.Listener {
        private final int watchNumber;
        private final boolean wholeList;
        private final JsonObjectSplitter changeSplitter;
        private HttpPool.Exchange exchange; // of the thread that owns the machine
        private volatile long partialSinceNanos; // ns of the last byte of a change that is not over, 0 for none

        ResponseReader(int watchNumber, boolean wholeList) {
            this.watchNumber = watchNumber;
            this.wholeList = wholeList;
            changeSplitter =
                    wholeList ? null : new JsonObjectSplitter(MAX_LIST_BYTES, this::parseAndReport, this::reportDamage);
        }

        @Override
        public void begun(int status) {
            if (status == 200) {
                events.add(now -> membership.heard(watchNumber, now)); // it is not silent, be there no news
            }
        }

        @Override
        public boolean streamed(int status, byte[] piece) {
            if (wholeList) {
                return false;
            }
            if (status == 200) {
                events.add(now -> membership.heard(watchNumber, now));
                changeSplitter.add(piece);
                partialSinceNanos = changeSplitter.hasPartialObject() ? System.nanoTime() | 1 : 0;
            }
            return true;
        }

        boolean hasPartialChange() {
            return partialSinceNanos != 0;
        }

        /** Asks for the whole list where a change seems to have been cut off. */
        List<Step> checkPartialChange(double now) {
            long since = partialSinceNanos;
            if (since == 0 || System.nanoTime() - since < PARTIAL_CHANGE_MILLIS * 1_000_000) {
                return List.of();
            }
            partialSinceNanos = 0;
            return reportDamage("a change stands open", now);
        }

        private void reportDamage(String reason) {
            events.add(now -> reportDamage(reason, now));
        }

        private List<Step> reportDamage(String reason, double now) {
            LOG.atWarn().addKeyValue("watch", watchNumber).log("what discovery said cannot be read: {}", reason);
            counters.add("watch_damaged_total");
            return membership.damaged(watchNumber, now);
        }

        private void parseAndReport(String text) {
            events.add(now -> {
                Update update;
                try {
                    update = listParser.read(text);
                } catch (IllegalArgumentException e) {
                    return reportDamage(e.getMessage(), now);
                }
                if (!update.unread().isEmpty()) {
                    LOG.atWarn()
                            .addKeyValue("watch", watchNumber)
                            .addKeyValue("ids", update.unread())
                            .log("entries that cannot be read; what was known of these stands");
                }
                return membership.told(watchNumber, update, now);
            });
        }

        @Override
        public long most() {
            return wholeList ? MAX_LIST_BYTES : Long.MAX_VALUE;
        }

        @Override
        public void answered(HttpMessage response) {
            if (wholeList && response.status() == 200) {
                parseAndReport(response.text());
            } else if (response.status() == 429 || response.status() == 503) {
                double retryAfterSeconds = response.retryAfter();
                LOG.atWarn()
                        .addKeyValue("watch", watchNumber)
                        .addKeyValue("wait", retryAfterSeconds)
                        .log("discovery turned it away with {}", response.status());
                counters.add("watch_turned_away_total");
                events.add(now -> membership.turnedAway(watchNumber, retryAfterSeconds, now));
            } else if (response.status() != 200) {
                LOG.atWarn().addKeyValue("watch", watchNumber).log("discovery answered {}", response.status());
                events.add(now -> membership.damaged(watchNumber, now)); // it may not know the index any more
            }
            reportEnd();
        }

        @Override
        public void ended(CallEnd reason, int firstLine) {
            reportEnd();
        }

        private void reportEnd() {
            events.add(now -> {
                openReaders.remove(watchNumber);
                return membership.ended(watchNumber, now);
            });
        }
    }
}
