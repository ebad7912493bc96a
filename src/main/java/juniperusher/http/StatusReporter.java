package juniperusher.http;

import com.eclipsesource.json.JsonObject;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import juniperusher.core.CallEnd;
import juniperusher.core.RpcEnd;
import juniperusher.net.HttpMessage;
import juniperusher.net.HttpPool;
import juniperusher.net.Network;
import juniperusher.status.ReportQueue;
import juniperusher.status.ReportTiming;
import juniperusher.status.Step;
import org.eclipse.jetty.util.thread.Scheduler;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Reports to the platform how RPCs ended, as a POST to /status with one JSON object per line. A report is posted
 * again until the platform answers with status 204. {@link ReportQueue} decides which reports are posted when; this
 * class carries out its steps. Thread-safe.
 */
final class StatusReporter {
    private static final Logger LOG = LoggerFactory.getLogger(StatusReporter.class);
    private static final int NO_CONTENT = 204;
    // The owner id of this class's connections in the pool. It keeps them apart from the connections of the watch on
    // discovery, which go to the same address.
    private static final int CONNECTION_OWNER = -1;

    private final Supplier<InetSocketAddress> platform;
    private final HttpPool pool;
    private final Network network;
    private final ReportQueue<Report> queue;
    private final Map<Integer, HttpPool.Exchange> postsInFlight = new HashMap<>(); // by number of the post
    private Scheduler.Task timer;
    private long timerAtMillis = ReportQueue.NEVER;

    /** The end of an RPC, and the callback for its acknowledgement. */
    private record Report(RpcEnd end, Runnable acknowledged) {}

    /** Creates a reporter with the usual timing; {@code platform} is asked for the current address at each post. */
    StatusReporter(Supplier<InetSocketAddress> platform, HttpPool pool, Network network) {
        this(platform, pool, network, ReportTiming.DEFAULT);
    }

    /** Creates a reporter with another timing. */
    StatusReporter(Supplier<InetSocketAddress> platform, HttpPool pool, Network network, ReportTiming timing) {
        queue = new ReportQueue<>(timing);
        this.platform = platform;
        this.pool = pool;
        this.network = network;
    }

    /** Queues a report of this end; {@code acknowledged} runs once, when the platform has acknowledged it. */
    void add(RpcEnd end, Runnable acknowledged) {
        Report report = new Report(end, acknowledged);
        handle(now -> queue.add(report, now));
    }

    /** The number of reports that the platform has not yet acknowledged. */
    synchronized int unacknowledgedCount() {
        return queue.unacknowledgedCount();
    }

    /** An input of the queue, applied with the current time in milliseconds. */
    private interface QueueEvent {
        List<Step<Report>> apply(long now);
    }

    private void handle(QueueEvent event) {
        List<Runnable> callbacks = new ArrayList<>();
        synchronized (this) {
            for (Step<Report> step : event.apply(nowMillis())) {
                if (step instanceof Step.Post<Report> post) {
                    send(post);
                } else if (step instanceof Step.Abandon<Report> abandon) {
                    abandon(abandon.number());
                } else if (step instanceof Step.Acknowledged<Report> acknowledged) {
                    callbacks.add(acknowledged.report().acknowledged());
                }
            }
            schedule();
        }
        callbacks.forEach(Runnable::run); // outside of the lock, since they write the journal
    }

    private void send(Step.Post<Report> post) {
        InetSocketAddress address = platform.get();
        if (post.newConnection()) {
            // The last connection did not respond, and the idle ones may be in the same state.
            pool.closeIdle(address, CONNECTION_OWNER);
        }
        HttpMessage request = HttpMessage.request("POST", "/status", body(post.reports()), "Host", "platform");
        HttpPool.Exchange exchange =
                pool.exchange(address, CONNECTION_OWNER, request, () -> true, new PostListener(post.number()));
        if (queue.isInFlight(post.number())) { // false if the exchange has already failed
            postsInFlight.put(post.number(), exchange);
            queue.postWritten(post.number(), nowMillis());
        }
    }

    private void abandon(int postNumber) {
        HttpPool.Exchange exchange = postsInFlight.remove(postNumber);
        if (exchange != null) {
            exchange.abandon(CallEnd.CALLED_OFF);
        }
    }

    private synchronized void forget(int postNumber) {
        postsInFlight.remove(postNumber);
    }

    /** Sets the timer to the queue's next post, or cancels it if none is due. */
    private void schedule() {
        long next = queue.nextPostAt();
        if (next == timerAtMillis) {
            return;
        }
        if (timer != null) {
            timer.cancel();
            timer = null;
        }
        timerAtMillis = next;
        if (next != ReportQueue.NEVER) {
            timer = network.scheduler().schedule(this::tick, Math.max(1, next - nowMillis()), TimeUnit.MILLISECONDS);
        }
    }

    private void tick() {
        List<HttpPool.Exchange> exchanges;
        synchronized (this) {
            exchanges = List.copyOf(postsInFlight.values());
        }
        // On a busy CPU an answer may have arrived that the selector has not read yet.
        exchanges.forEach(HttpPool.Exchange::poll);
        handle(now -> {
            timerAtMillis = ReportQueue.NEVER;
            return queue.tick(now);
        });
    }

    private static long nowMillis() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
    }

    private static byte[] body(List<Report> reports) {
        StringBuilder lines = new StringBuilder();
        reports.forEach(report -> lines.append(toJson(report.end())).append('\n'));
        return lines.toString().getBytes(StandardCharsets.UTF_8);
    }

    private static String toJson(RpcEnd end) {
        JsonObject json = new JsonObject().add("message", end.id());
        if (end.kind() == RpcEnd.Kind.GIVEN_UP) {
            return json.add("outcome", "given_up").toString();
        }
        json.add("outcome", "handed_back");
        return (end.retryAfterSeconds() > 0
                        ? json.add("retry_in_ms", Math.round(end.retryAfterSeconds() * 1000))
                        : json)
                .toString();
    }

    /** Passes the result of one post to the queue. */
    private final class PostListener implements HttpPool.Listener {
        private final int postNumber;

        PostListener(int postNumber) {
            this.postNumber = postNumber;
        }

        /** A report that arrives twice does no harm, and one that comes late loses its message. */
        @Override
        public boolean maySendUnproven() {
            return true;
        }

        @Override
        public void answered(HttpMessage response) {
            forget(postNumber);
            if (response.status() == NO_CONTENT) {
                handle(now -> queue.postAcknowledged(postNumber, now));
            } else {
                LOG.warn("the platform answered a status report with status {}", response.status());
                handle(now -> queue.postFailed(postNumber, now));
            }
        }

        @Override
        public void ended(CallEnd end, int statusLineCode) {
            forget(postNumber);
            handle(now -> queue.postFailed(postNumber, now));
        }
    }
}
