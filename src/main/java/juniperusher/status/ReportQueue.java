package juniperusher.status;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Deque;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Queue of the status reports that the platform has not acknowledged, as a state machine without I/O. A report may be
 * sent more than once, which is harmless, and stays in the queue until a post with it is acknowledged.
 *
 * <p>While posts are answered, one is in flight at a time and the next carries all reports that were added meanwhile.
 * If a post is not answered within {@link ReportTiming#hedgeAfterMillis}, the next one is sent on another connection
 * while the first stays in flight. It carries reports that were never sent, then those sent longest ago. Answers are
 * accepted in any order.
 *
 * <p>Times are milliseconds of one monotonic clock. Not thread-safe.
 *
 * @param <R> type of a report; equal reports are kept as separate ones
 */
public final class ReportQueue<R> {
    /** Result of {@link #nextPostAt} if no post is due at any time. */
    public static final long NEVER = Long.MAX_VALUE;

    private static final long LONG_AGO_MILLIS = Long.MIN_VALUE / 2;

    private final ReportTiming timing;
    private final Deque<Entry<R>> unsent = new ArrayDeque<>();
    private final Set<Entry<R>> unacknowledged = new LinkedHashSet<>(); // sent, the one sent longest ago first
    private final Map<Integer, Post<R>> postsInFlight = new LinkedHashMap<>(); // by number, oldest first
    private int lastNumber;
    private int postsSinceAnswer;
    private long lastPostAt = LONG_AGO_MILLIS;
    private long earliestPostAt = LONG_AGO_MILLIS;

    /** A report in the queue; compared by identity. */
    private static final class Entry<R> {
        private final R report;
        private long sentAt;
        private int postsInFlight;
        private boolean acknowledged;

        Entry(R report) {
            this.report = report;
        }
    }

    /** A post in flight. */
    private static final class Post<R> {
        private final List<Entry<R>> entries;
        private long sentAt;

        Post(List<Entry<R>> entries, long sentAt) {
            this.entries = entries;
            this.sentAt = sentAt;
        }

        boolean hasUnacknowledged() {
            return entries.stream().anyMatch(entry -> !entry.acknowledged);
        }
    }

    /** Creates an empty queue. */
    public ReportQueue(ReportTiming timing) {
        this.timing = timing;
    }

    /** Adds a report, to be sent until it is acknowledged. */
    public List<Step<R>> add(R report, long now) {
        unsent.add(new Entry<>(report));
        return tick(now);
    }

    /**
     * The post was written to its connection. Its hedging delay starts again here: a process that has just started may
     * take long to get there, and an additional post would slow it down further.
     */
    public void postWritten(int number, long now) {
        Post<R> post = postsInFlight.get(number);
        if (post != null) {
            post.sentAt = now;
            post.entries.forEach(entry -> entry.sentAt = now);
            lastPostAt = Math.max(lastPostAt, now);
        }
    }

    /** The platform has acknowledged the reports of the post. */
    public List<Step<R>> postAcknowledged(int number, long now) {
        Post<R> post = postsInFlight.remove(number);
        if (post == null) {
            return List.of();
        }
        postsSinceAnswer = 0;
        lastPostAt = LONG_AGO_MILLIS;
        earliestPostAt = LONG_AGO_MILLIS;
        List<Step<R>> steps = new ArrayList<>();
        for (Entry<R> entry : post.entries) {
            if (!entry.acknowledged) {
                entry.acknowledged = true;
                unacknowledged.remove(entry);
                steps.add(new Step.Acknowledged<>(entry.report));
            }
        }
        abandonAcknowledgedPosts(steps);
        steps.addAll(tick(now));
        return steps;
    }

    /** The post has ended without an acknowledgement. */
    public List<Step<R>> postFailed(int number, long now) {
        Post<R> post = postsInFlight.remove(number);
        if (post == null) {
            return List.of();
        }
        post.entries.forEach(entry -> entry.postsInFlight--);
        // The first failure may be due to an idle connection that was closed, so a new one is tried without a backoff.
        earliestPostAt = postsSinceAnswer <= 1 ? now : now + timing.retryBackoffMillis();
        return tick(now);
    }

    /** Sends the posts that are due; has to be called at {@link #nextPostAt}. */
    public List<Step<R>> tick(long now) {
        List<Step<R>> steps = new ArrayList<>();
        while (now >= nextPostAt()) {
            if (postsInFlight.size() >= timing.maxPostsInFlight()) {
                abandonOldest(steps);
            }
            steps.add(post(now));
        }
        return steps;
    }

    /** Time of the next post if no event comes before it, or {@link #NEVER}. */
    public long nextPostAt() {
        if (unacknowledgedCount() == 0) {
            return NEVER;
        }
        if (postsInFlight.isEmpty()) {
            return earliestPostAt;
        }
        long next = Math.max(earliestPostAt, Math.min(nextFirstSendAt(), nextRepeatAt()));
        if (postsInFlight.size() >= timing.maxPostsInFlight()) {
            next = Math.max(next, postsInFlight.values().iterator().next().sentAt + timing.postTimeoutMillis());
        }
        return next;
    }

    /** Number of reports that are not acknowledged. */
    public int unacknowledgedCount() {
        return unsent.size() + unacknowledged.size();
    }

    /** Whether the post is in flight: neither answered, failed nor abandoned. */
    public boolean isInFlight(int number) {
        return postsInFlight.containsKey(number);
    }

    private long nextFirstSendAt() {
        return unsent.isEmpty() ? NEVER : lastPostAt + timing.hedgeAfterMillis();
    }

    private long nextRepeatAt() {
        if (unacknowledged.isEmpty()) {
            return NEVER;
        }
        // The interval doubles up to its bound, so that not all relays repeat reports at the full rate to a platform
        // that is down or overloaded.
        long interval = timing.hedgeAfterMillis() << Math.max(0, Math.min(postsSinceAnswer, 10) - 2);
        long earliestRepeatAt = lastPostAt + Math.min(interval, timing.maxRepeatIntervalMillis());
        return Math.max(earliestRepeatAt, unacknowledged.iterator().next().sentAt + timing.hedgeAfterMillis());
    }

    private Step<R> post(long now) {
        List<Entry<R>> entries = new ArrayList<>();
        while (!unsent.isEmpty() && entries.size() < timing.maxReportsPerPost()) {
            entries.add(unsent.poll());
        }
        Iterator<Entry<R>> repeats = unacknowledged.iterator();
        while (repeats.hasNext() && entries.size() < timing.maxReportsPerPost()) {
            Entry<R> entry = repeats.next();
            if (entry.postsInFlight == 0 || now >= entry.sentAt + timing.hedgeAfterMillis()) {
                repeats.remove(); // moved to the end of the queue
                entries.add(entry);
            }
        }
        for (Entry<R> entry : entries) {
            entry.sentAt = now;
            entry.postsInFlight++;
        }
        unacknowledged.addAll(entries);
        boolean newConnection = postsSinceAnswer++ > 0;
        lastPostAt = now;
        postsInFlight.put(++lastNumber, new Post<>(entries, now));
        return new Step.Post<>(lastNumber, reports(entries), newConnection);
    }

    private static <R> List<R> reports(Collection<Entry<R>> entries) {
        return entries.stream().map(entry -> entry.report).toList();
    }

    private void abandonOldest(List<Step<R>> steps) {
        int oldest = postsInFlight.keySet().iterator().next();
        postsInFlight.remove(oldest).entries.forEach(entry -> entry.postsInFlight--);
        steps.add(new Step.Abandon<>(oldest));
    }

    /** Abandons the posts whose reports are all acknowledged by other posts. */
    private void abandonAcknowledgedPosts(List<Step<R>> steps) {
        postsInFlight.entrySet().removeIf(post -> {
            boolean acknowledged = !post.getValue().hasUnacknowledged();
            if (acknowledged) {
                steps.add(new Step.Abandon<>(post.getKey()));
            }
            return acknowledged;
        });
    }
}
