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
import juniperusher.membership.EndpointUpdate;
import juniperusher.membership.Membership;
import juniperusher.membership.Snapshot;
import juniperusher.membership.Step;
import juniperusher.membership.WatchTiming;
import juniperusher.memory.HeapExhaustion;
import juniperusher.net.HttpMessage;
import juniperusher.net.HttpPool;
import juniperusher.net.Network;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Connects {@link Membership} to discovery's agent over HTTP: requests the full list of endpoints, then watches
 * it for changes. The state machine decides when to open or abandon a request and when a snapshot is published.
 *
 * <p>One thread owns the state machine. Network threads only add events to its queue. The thread polls the state
 * machine at least every {@value #MAX_POLL_MILLIS} ms, also after an exception, so that the next watch is opened
 * without a timer that could be lost.
 */
final class Resolver implements Runnable {
    private static final Logger LOG = LoggerFactory.getLogger(Resolver.class);
    // Bounds a full list and a single change; enough for about 20,000 endpoints.
    private static final int MAX_LIST_BYTES = 4 << 20;
    // The state machine is polled this often even if it asked for a later time.
    private static final long MAX_POLL_MILLIS = 500;
    // A change without a further byte for this long is treated as truncated, and the full list is requested. A drain
    // counts as announced even if its change was truncated, and the relay must obey it within 500 ms. A change that
    // was only slow is still applied once it is complete.
    private static final long PARTIAL_CHANGE_MILLIS = 150;
    private static final long STACK_BYTES = 256 * 1024;

    private final HttpPool pool;
    private final Counters counters;
    private final EndpointListParser listParser;
    private final BiConsumer<Snapshot, TargetList> snapshotListener;
    private final Membership membership;
    private final BlockingQueue<Event> events = new LinkedBlockingQueue<>();
    private final Map<Integer, ResponseReader> openReaders = new HashMap<>();
    private final long originNanos = System.nanoTime();
    private final Thread thread = new Thread(null, this, "membership", STACK_BYTES);
    private final CountDownLatch listReceived = new CountDownLatch(1); // released by the first list from discovery
    private volatile Snapshot snapshot = Snapshot.EMPTY;
    private volatile double lastHeardSeconds;
    private volatile boolean stopped;

    /** An input of the state machine. It is applied on the owning thread, with the time in seconds at that moment. */
    private interface Event {
        List<Step> apply(double now);
    }

    /**
     * Creates a resolver with the usual timing; {@link #start} starts it.
     *
     * @param snapshotListener receives each new snapshot and the targets that changed, on the resolver's thread
     */
    Resolver(
            Config config,
            HttpPool pool,
            Network network,
            Counters counters,
            BiConsumer<Snapshot, TargetList> snapshotListener) {
        this(config, WatchTiming.DEFAULT, pool, counters, snapshotListener);
    }

    Resolver(
            Config config,
            WatchTiming timing,
            HttpPool pool,
            Counters counters,
            BiConsumer<Snapshot, TargetList> snapshotListener) {
        this.pool = pool;
        this.counters = counters;
        this.snapshotListener = snapshotListener;
        listParser = new EndpointListParser(config.kindNames(), config.zoneNames());
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

    /**
     * Loads the state from before the first answer of discovery; call it before {@link #start}.
     *
     * @param lastKnownList the last list that this relay had, which may be outdated
     * @param fixed         endpoints that discovery never lists
     * @return the snapshot of both; without the list if it cannot be parsed
     */
    Snapshot loadKnownList(JsonObject lastKnownList, List<Target> fixed) {
        EndpointUpdate update;
        try {
            update = listParser.parse(lastKnownList);
        } catch (IllegalArgumentException | UnsupportedOperationException e) {
            LOG.warn("the last known list cannot be parsed; starting without it: {}", e.getMessage());
            update = new EndpointUpdate(true, 0, List.of(), Set.of());
        }
        snapshot = membership.initialize(update, fixed, now());
        return snapshot;
    }

    /** The current snapshot; any thread may call this. */
    Snapshot snapshot() {
        return snapshot;
    }

    /** The address of an endpoint in the current snapshot; any thread may call this. */
    InetSocketAddress address(int subchannel) {
        return snapshot.address(subchannel);
    }

    /** Starts the thread, which requests the list from the agent at this address. */
    void start(InetSocketAddress discovery) {
        discoveryMoved(discovery);
        thread.start();
    }

    /** Waits up to {@code millis} for the first list from discovery; false if none came. */
    boolean awaitFirstList(long millis) throws InterruptedException {
        return listReceived.await(millis, TimeUnit.MILLISECONDS);
    }

    /** Switches to another address of the agent. The old one is abandoned at once, even if it still responds. */
    void discoveryMoved(InetSocketAddress discovery) {
        events.add(now -> membership.discoveryMoved(discovery, now));
    }

    void stop() {
        stopped = true;
        events.add(now -> membership.stop());
    }

    // ---- the thread that owns the state machine ----

    @Override
    public void run() {
        while (!stopped) {
            try {
                processNext();
            } catch (InterruptedException e) {
                LOG.debug("the membership thread was interrupted and stops");
                return;
            } catch (RuntimeException | Error e) {
                HeapExhaustion.endProcessIfCausedBy(e);
                // If this thread ended, the relay would get no more changes of its endpoints.
                LOG.error("membership step failed; continuing", e);
                counters.add("membership_failures_total");
            }
        }
    }

    private void processNext() throws InterruptedException {
        long maxWaitMillis = openReaders.values().stream().anyMatch(ResponseReader::hasPartialChange)
                ? PARTIAL_CHANGE_MILLIS / 3
                : MAX_POLL_MILLIS;
        long waitMillis =
                Math.max(1, Math.min(maxWaitMillis, (long) Math.ceil((membership.nextTickAt() - now()) * 1000)));
        Event event = events.poll(waitMillis, TimeUnit.MILLISECONDS);
        try {
            if (event != null) {
                execute(event.apply(now()));
            }
        } finally {
            // Runs even if the event failed, and after each event, so that a steady stream of events cannot delay it.
            for (ResponseReader reader : List.copyOf(openReaders.values())) {
                execute(reader.checkPartialChange(now()));
            }
            execute(membership.tick(now()));
            lastHeardSeconds = membership.lastDataAt();
        }
    }

    private void execute(List<Step> steps) {
        for (Step step : steps) {
            if (step instanceof Step.Open watch) {
                openWatch(watch);
            } else if (step instanceof Step.Abandon abandoned) {
                ResponseReader abandonedReader = openReaders.remove(abandoned.watchNumber());
                if (abandonedReader != null && abandonedReader.exchange != null) {
                    abandonedReader.exchange.abandon(CallEnd.CALLED_OFF);
                }
            } else if (step instanceof Step.Publish publish) {
                publish(publish);
            }
        }
    }

    private void openWatch(Step.Open watch) {
        counters.add("watch_openings_total", "what", watch.fullList() ? "list" : "watch");
        LOG.atInfo()
                .addKeyValue("watch", watch.watchNumber())
                .addKeyValue("discovery", watch.address())
                .addKeyValue("index", watch.fullList() ? "none" : Long.toString(watch.afterVersion()))
                .log(watch.fullList() ? "requesting the whole list" : "opening the watch");
        ResponseReader responseReader = new ResponseReader(watch.watchNumber(), watch.fullList());
        openReaders.put(watch.watchNumber(), responseReader);
        try {
            responseReader.exchange = pool.exchange(
                    watch.address(),
                    HttpMessage.request(
                            "GET",
                            "/discovery/hosts" + (watch.fullList() ? "" : "?stream=1&index=" + watch.afterVersion()),
                            new byte[0],
                            "Host",
                            "discovery"),
                    () -> true,
                    responseReader);
        } catch (RuntimeException | Error e) {
            // Otherwise the state machine would wait for an answer on a request that was never sent, until its
            // timeout for unresponsive watches.
            openReaders.remove(watch.watchNumber());
            membership.watchEnded(watch.watchNumber(), now());
            throw e;
        }
    }

    private void publish(Step.Publish change) {
        snapshot = change.snapshot();
        try {
            snapshotListener.accept(change.snapshot(), change.changedTargets());
        } finally {
            if (snapshot.confirmed()) {
                listReceived.countDown();
            }
            change.vacatedEndpoints()
                    .forEach(departed ->
                            pool.closeIdle(departed.address(), departed.target().id()));
        }
        if (!change.changedTargets().targets().isEmpty()) {
            LOG.atInfo()
                    .addKeyValue("version", snapshot.version())
                    .addKeyValue("changed", change.changedTargets().targets().size())
                    .addKeyValue("ready", snapshot.count(Phase.READY))
                    .addKeyValue("draining", snapshot.count(Phase.DRAINING))
                    .log("the list has changed");
        }
    }

    /**
     * Reads the response to one request: the full list, or the changes on a watch. Called by network threads, which
     * hand the results to the owning thread as events.
     */
    private final class ResponseReader implements HttpPool.Listener {
        private final int watchNumber;
        private final boolean wholeList;
        private final JsonObjectSplitter changeSplitter;
        private HttpPool.Exchange exchange; // used by the owning thread only
        private volatile long partialSinceNanos; // time of the last byte of an incomplete change; 0 if there is none

        ResponseReader(int watchNumber, boolean wholeList) {
            this.watchNumber = watchNumber;
            this.wholeList = wholeList;
            changeSplitter =
                    wholeList ? null : new JsonObjectSplitter(MAX_LIST_BYTES, this::parseAndReport, this::reportDamage);
        }

        @Override
        public void statusReceived(int status) {
            if (status == 200) {
                events.add(
                        now -> membership.dataReceived(watchNumber, now)); // the agent responds, even without a change
            }
        }

        @Override
        public boolean consume(int status, byte[] piece) {
            if (wholeList) {
                return false;
            }
            if (status == 200) {
                events.add(now -> membership.dataReceived(watchNumber, now));
                changeSplitter.add(piece);
                partialSinceNanos = changeSplitter.hasPartialObject() ? System.nanoTime() | 1 : 0;
            }
            return true;
        }

        boolean hasPartialChange() {
            return partialSinceNanos != 0;
        }

        /** Treats a change that stayed incomplete for too long as truncated, which requests the full list. */
        List<Step> checkPartialChange(double now) {
            long since = partialSinceNanos;
            if (since == 0 || System.nanoTime() - since < PARTIAL_CHANGE_MILLIS * 1_000_000) {
                return List.of();
            }
            partialSinceNanos = 0;
            return reportDamage("a change is incomplete", now);
        }

        private void reportDamage(String reason) {
            events.add(now -> reportDamage(reason, now));
        }

        private List<Step> reportDamage(String reason, double now) {
            LOG.atWarn().addKeyValue("watch", watchNumber).log("data from discovery cannot be parsed: {}", reason);
            counters.add("watch_damaged_total");
            return membership.unreadableDataReceived(watchNumber, now);
        }

        private void parseAndReport(String text) {
            events.add(now -> {
                EndpointUpdate update;
                try {
                    update = listParser.parse(text);
                } catch (IllegalArgumentException e) {
                    return reportDamage(e.getMessage(), now);
                }
                if (!update.unreadableIds().isEmpty()) {
                    LOG.atWarn()
                            .addKeyValue("watch", watchNumber)
                            .addKeyValue("ids", update.unreadableIds())
                            .log("some entries cannot be parsed; their endpoints keep their last known state");
                }
                if (membership.isOutdated(watchNumber, update.version())) {
                    counters.add("unexpected_input_total", "reason", "older_change");
                    LOG.atWarn()
                            .addKeyValue("watch", watchNumber)
                            .addKeyValue("reason", "older_change")
                            .addKeyValue("version", update.version())
                            .log("input that belongs to no call; requesting the whole list");
                }
                return membership.updateReceived(watchNumber, update, now);
            });
        }

        @Override
        public long maxResponseBytes() {
            return wholeList ? MAX_LIST_BYTES : Long.MAX_VALUE;
        }

        @Override
        public void answered(HttpMessage response) {
            if (wholeList && response.status() == 200) {
                parseAndReport(response.bodyText());
            } else if (response.status() == 429 || response.status() == 503) {
                double retryAfterSeconds = response.retryAfterSeconds();
                LOG.atWarn()
                        .addKeyValue("watch", watchNumber)
                        .addKeyValue("wait", retryAfterSeconds)
                        .log("discovery refused the request with status {}", response.status());
                counters.add("watch_turned_away_total");
                events.add(now -> membership.watchRefused(watchNumber, retryAfterSeconds, now));
            } else if (response.status() != 200) {
                LOG.atWarn()
                        .addKeyValue("watch", watchNumber)
                        .log("discovery answered with status {}", response.status());
                events.add(now ->
                        membership.unreadableDataReceived(watchNumber, now)); // the agent may no longer know the index
            }
            reportEnd();
        }

        @Override
        public void ended(CallEnd end, int statusLineCode) {
            reportEnd();
        }

        private void reportEnd() {
            events.add(now -> {
                openReaders.remove(watchNumber);
                return membership.watchEnded(watchNumber, now);
            });
        }
    }
}
