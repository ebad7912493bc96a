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
 * The reports that the platform has not acknowledged, as a state machine without I/O. A report may be sent
 * more than once, which does no harm, and is owed until a post that carried it is answered.
 *
 * <p>While posts are answered, one is out at a time and carries all that has come meanwhile. Where one is not
 * answered within {@link ReportTiming#hedgeAfter}, the next goes on another connection while the first still
 * waits: first what has never been sent, then what was sent longest ago. The answers count in any order.
 *
 * <p>Times are milliseconds of one monotonic clock. Not safe for use by several threads.
 *
 * @param <R> a report; two that are equal are still two
 */
public final class ReportQueue<R> {
    /** No time: there is nothing to wait for. */
    public static final long NEVER = Long.MAX_VALUE;

    private static final long LONG_AGO = Long.MIN_VALUE / 2;

    private final ReportTiming timing;
    private final Deque<Entry<R>> unsent = new ArrayDeque<>();
    private final Set<Entry<R>> sent = new LinkedHashSet<>(); // owed, the one sent longest ago first
    private final Map<Integer, Post<R>> out = new LinkedHashMap<>(); // by number, the oldest first
    private int lastNumber;
    private int unanswered; // posts since the last answer
    private long lastPostAt = LONG_AGO;
    private long notBefore = LONG_AGO;

    /** One report; compared by identity. */
    private static final class Entry<R> {
        private final R report;
        private long sentAt;
        private int postsOut;
        private boolean acknowledged;

        Entry(R report) {
            this.report = report;
        }
    }

    /** A post without its answer. */
    private static final class Post<R> {
        private final List<Entry<R>> entries;
        private long sentAt;

        Post(List<Entry<R>> entries, long sentAt) {
            this.entries = entries;
            this.sentAt = sentAt;
        }

        boolean owed() {
            return entries.stream().anyMatch(entry -> !entry.acknowledged);
        }
    }

    /** An empty queue. */
    public ReportQueue(ReportTiming timing) {
        this.timing = timing;
    }

    /** A report is owed from now on. */
    public List<Step<R>> add(R report, long now) {
        unsent.add(new Entry<>(report));
        return tick(now);
    }

    /**
     * The post has been handed to its connection. Its time counts from here: a process that has just started
     * is slow itself, and a second post would make it slower.
     */
    public void posted(int number, long now) {
        Post<R> post = out.get(number);
        if (post != null) {
            post.sentAt = now;
            post.entries.forEach(entry -> entry.sentAt = now);
            lastPostAt = Math.max(lastPostAt, now);
        }
    }

    /** The platform has acknowledged what the post carried. */
    public List<Step<R>> answered(int number, long now) {
        Post<R> post = out.remove(number);
        if (post == null) {
            return List.of();
        }
        unanswered = 0;
        lastPostAt = LONG_AGO;
        notBefore = LONG_AGO;
        List<Step<R>> steps = new ArrayList<>();
        for (Entry<R> entry : post.entries) {
            if (!entry.acknowledged) {
                entry.acknowledged = true;
                sent.remove(entry);
                steps.add(new Step.Acknowledged<>(entry.report));
            }
        }
        abandonNeedless(steps);
        steps.addAll(tick(now));
        return steps;
    }

    /** The post has ended without an acknowledgement. */
    public List<Step<R>> failed(int number, long now) {
        Post<R> post = out.remove(number);
        if (post == null) {
            return List.of();
        }
        post.entries.forEach(entry -> entry.postsOut--);
        // One kept connection that has broken says nothing about a new one.
        notBefore = unanswered <= 1 ? now : now + timing.retryPause();
        return tick(now);
    }

    /** What is due by now; to be asked at {@link #nextPostAt}. */
    public List<Step<R>> tick(long now) {
        List<Step<R>> steps = new ArrayList<>();
        while (now >= nextPostAt()) {
            if (out.size() >= timing.posts()) {
                abandonOldest(steps);
            }
            steps.add(post(now));
        }
        return steps;
    }

    /** When the next post is due if nothing else happens, or {@link #NEVER}. */
    public long nextPostAt() {
        if (waiting() == 0) {
            return NEVER;
        }
        if (out.isEmpty()) {
            return notBefore;
        }
        long next = Math.max(notBefore, Math.min(firstSendingAt(), repeatAt()));
        if (out.size() >= timing.posts()) {
            next = Math.max(next, out.values().iterator().next().sentAt + timing.patience());
        }
        return next;
    }

    /** Reports that are owed. */
    public int waiting() {
        return unsent.size() + sent.size();
    }

    /** Whether the post is still waited for. */
    public boolean isOut(int number) {
        return out.containsKey(number);
    }

    private long firstSendingAt() {
        return unsent.isEmpty() ? NEVER : lastPostAt + timing.hedgeAfter();
    }

    private long repeatAt() {
        if (sent.isEmpty()) {
            return NEVER;
        }
        // Guards a platform that is down or overloaded against repeats from all relays at full pace.
        long pause = timing.hedgeAfter() << Math.max(0, Math.min(unanswered, 10) - 2);
        long paced = lastPostAt + Math.min(pause, timing.slowestHedge());
        return Math.max(paced, sent.iterator().next().sentAt + timing.hedgeAfter());
    }

    private Step<R> post(long now) {
        List<Entry<R>> entries = new ArrayList<>();
        while (!unsent.isEmpty() && entries.size() < timing.reportsPerPost()) {
            entries.add(unsent.poll());
        }
        Iterator<Entry<R>> repeats = sent.iterator();
        while (repeats.hasNext() && entries.size() < timing.reportsPerPost()) {
            Entry<R> entry = repeats.next();
            if (entry.postsOut == 0 || now >= entry.sentAt + timing.hedgeAfter()) {
                repeats.remove(); // it comes last now
                entries.add(entry);
            }
        }
        for (Entry<R> entry : entries) {
            entry.sentAt = now;
            entry.postsOut++;
        }
        sent.addAll(entries);
        boolean newConnection = unanswered++ > 0;
        lastPostAt = now;
        out.put(++lastNumber, new Post<>(entries, now));
        return new Step.Post<>(lastNumber, reports(entries), newConnection);
    }

    private static <R> List<R> reports(Collection<Entry<R>> entries) {
        return entries.stream().map(entry -> entry.report).toList();
    }

    private void abandonOldest(List<Step<R>> steps) {
        int oldest = out.keySet().iterator().next();
        out.remove(oldest).entries.forEach(entry -> entry.postsOut--);
        steps.add(new Step.Abandon<>(oldest));
    }

    /** Gives up the posts that carry nothing any more that is owed. */
    private void abandonNeedless(List<Step<R>> steps) {
        out.entrySet().removeIf(post -> {
            boolean needless = !post.getValue().owed();
            if (needless) {
                steps.add(new Step.Abandon<>(post.getKey()));
            }
            return needless;
        });
    }
}
