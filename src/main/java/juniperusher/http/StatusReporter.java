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
 * Reports to the platform how RPCs ended, one JSON object a line; each goes until the platform has answered
 * 204. {@link ReportQueue} decides what goes when; here its steps are carried out.
 */
final class StatusReporter {
    private static final Logger LOG = LoggerFactory.getLogger(StatusReporter.class);
    private static final int NO_CONTENT = 204;
    private static final int CONNECTION_OWNER =
            -1; // owner of its connections: those of the watch at that address are not its own

    private final Supplier<InetSocketAddress> platform;
    private final HttpPool pool;
    private final Network network;
    private final ReportQueue<Report> queue;
    private final Map<Integer, HttpPool.Exchange> postsInFlight = new HashMap<>(); // by the post's number
    private Scheduler.Task timer;
    private long timerAtMillis = ReportQueue.NEVER;

    /** An end that the platform has to hear, and who wants to know that it has. */
    private record Report(RpcEnd end, Runnable acknowledged) {}

    /** Reports to the platform at the address that is in force when a post leaves. */
    StatusReporter(Supplier<InetSocketAddress> platform, HttpPool pool, Network network) {
        this(platform, pool, network, ReportTiming.USUAL);
    }

    /** The same within other bounds. */
    StatusReporter(Supplier<InetSocketAddress> platform, HttpPool pool, Network network, ReportTiming timing) {
        queue = new ReportQueue<>(timing);
        this.platform = platform;
        this.pool = pool;
        this.network = network;
    }

    /** Reports the end; {@code acknowledged} runs once, when the platform has acknowledged it. */
    void add(RpcEnd end, Runnable acknowledged) {
        Report report = new Report(end, acknowledged);
        handle(now -> queue.add(report, now));
    }

    /** Ends that are not yet acknowledged. */
    synchronized int unacknowledgedCount() {
        return queue.waiting();
    }

    /** Something that the queue hears, with its time. */
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
        callbacks.forEach(Runnable::run); // not under the lock: they write the journal
    }

    private void send(Step.Post<Report> post) {
        InetSocketAddress address = platform.get();
        if (post.newConnection()) {
            pool.closeIdle(address, CONNECTION_OWNER); // they may have fallen silent as the last one did
        }
        HttpMessage request = HttpMessage.request("POST", "/status", body(post.reports()), "Host", "platform");
        HttpPool.Exchange exchange =
                pool.exchange(address, CONNECTION_OWNER, request, () -> true, new PostListener(post.number()));
        if (queue.isOut(post.number())) { // else it failed at once
            postsInFlight.put(post.number(), exchange);
            queue.posted(post.number(), nowMillis());
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

    /** Sets the timer to when the queue wants to be asked again, or to none. */
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
        // Guards a busy core: an answer may have come that the selector has not got to.
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
        return (end.retryIn() > 0 ? json.add("retry_in_ms", Math.round(end.retryIn() * 1000)) : json).toString();
    }

    /** Hears how a post ends. */
    private final class PostListener implements HttpPool.Listener {
        private final int postNumber;

        PostListener(int postNumber) {
            this.postNumber = postNumber;
        }

        @Override
        public void answered(HttpMessage response) {
            forget(postNumber);
            if (response.status() == NO_CONTENT) {
                handle(now -> queue.answered(postNumber, now));
            } else {
                LOG.warn("a status report was answered {}", response.status());
                handle(now -> queue.failed(postNumber, now));
            }
        }

        @Override
        public void ended(CallEnd reason, int firstLine) {
            forget(postNumber);
            handle(now -> queue.failed(postNumber, now));
        }
    }
}
