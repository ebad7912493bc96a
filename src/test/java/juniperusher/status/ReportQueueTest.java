package juniperusher.status;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

/** Times and contents of posts: single cases, then random losses in virtual time. */
class ReportQueueTest {
    private static final String SEED = "20261202";
    private static final ReportTiming TIMING = ReportTiming.DEFAULT;

    private final ReportQueue<String> queue = new ReportQueue<>(new ReportTiming(100, 8, 50, 200, 400, 50));

    private static Step.Post<String> post(int number, boolean newConnection, String... reports) {
        return new Step.Post<>(number, List.of(reports), newConnection);
    }

    private static Step.Acknowledged<String> acknowledged(String report) {
        return new Step.Acknowledged<>(report);
    }

    private static Step.Abandon<String> abandon(int number) {
        return new Step.Abandon<>(number);
    }

    @Test
    void oneAnsweredPostIsInFlightAndTheNextCarriesAllNewReports() {
        assertEquals(List.of(post(1, false, "a")), queue.add("a", 0));
        assertEquals(List.of(), queue.add("b", 1));
        assertEquals(List.of(), queue.add("c", 2));
        assertEquals(List.of(acknowledged("a"), post(2, false, "b", "c")), queue.postAcknowledged(1, 3));
        assertEquals(List.of(acknowledged("b"), acknowledged("c")), queue.postAcknowledged(2, 4));
        assertEquals(0, queue.unacknowledgedCount());
        assertEquals(ReportQueue.NEVER, queue.nextPostAt());
    }

    @Test
    void unansweredReportIsRepeatedOnANewConnection() {
        queue.add("a", 0);
        assertEquals(50, queue.nextPostAt());
        assertEquals(List.of(), queue.tick(49));
        assertEquals(List.of(post(2, true, "a")), queue.tick(50));
        assertTrue(queue.isInFlight(1));
        assertEquals(List.of(acknowledged("a"), abandon(1)), queue.postAcknowledged(2, 51));
        assertEquals(List.of(), queue.postAcknowledged(1, 60), "acknowledged once");
        assertEquals(List.of(post(3, false, "b")), queue.add("b", 61));
    }

    @Test
    void answerToTheFirstPostIsAcceptedAfterASecond() {
        queue.add("a", 0);
        queue.tick(50);
        assertEquals(List.of(acknowledged("a"), abandon(2)), queue.postAcknowledged(1, 70));
        assertEquals(0, queue.unacknowledgedCount());
    }

    @Test
    void newReportsComeFirstAndDoNotWaitForAnUnansweredPost() {
        queue.add("a", 0);
        queue.add("b", 10);
        assertEquals(List.of(post(2, true, "b", "a")), queue.tick(50));
        queue.add("c", 60);
        assertEquals(List.of(post(3, true, "c", "b", "a")), queue.tick(100));
        queue.add("d", 101);
        assertEquals(150, queue.nextPostAt(), "the interval between repeats does not delay new reports");
    }

    @Test
    void repeatIntervalDoublesUpToItsBound() {
        queue.add("a", 0);
        List<Long> times = new ArrayList<>();
        while (times.size() < 6) {
            long at = queue.nextPostAt();
            queue.tick(at);
            times.add(at);
        }
        assertEquals(List.of(50L, 100L, 200L, 400L, 600L, 800L), times, "the interval grows up to 200 ms");
    }

    @Test
    void defaultTimingSendsAThirdPostWithinTwoHundredMillis() {
        ReportQueue<String> usual = new ReportQueue<>(ReportTiming.DEFAULT);
        usual.add("a", 0);
        usual.tick(usual.nextPostAt());
        assertTrue(usual.nextPostAt() <= 200, "the third post goes at " + usual.nextPostAt());
    }

    @Test
    void oldestPostIsAbandonedAfterItsTimeoutAtTheLimit() {
        for (int i = 0; i < 8; i++) {
            queue.add("r" + i, i * 50); // each is due when the hedging delay of the one before ends
        }
        assertEquals(List.of(), queue.add("late", 399));
        assertEquals(400, queue.nextPostAt());
        List<Step<String>> steps = queue.tick(400);
        assertEquals(abandon(1), steps.get(0));
        assertEquals(
                "late",
                ((Step.Post<String>) steps.get(1)).reports().get(0),
                "a report that was never sent comes first");
    }

    @Test
    void firstFailureHasNoBackoffAndTheSecondHasOne() {
        queue.add("a", 0);
        assertEquals(List.of(post(2, true, "a")), queue.postFailed(1, 1));
        assertEquals(List.of(), queue.postFailed(2, 2));
        assertEquals(52, queue.nextPostAt());
        assertEquals(List.of(), queue.add("b", 3), "backoff after a second failure");
        assertEquals(List.of(post(3, true, "b", "a")), queue.tick(52));
    }

    @Test
    void waitingReportsAreSentInPostsOfAHundred() {
        queue.add("first", 0);
        for (int i = 0; i < 250; i++) {
            queue.add("r" + i, 1);
        }
        int number = 1;
        List<Integer> sizes = new ArrayList<>();
        while (queue.unacknowledgedCount() > 0) {
            for (Step<String> step : queue.postAcknowledged(number, 2)) {
                if (step instanceof Step.Post<String> post) {
                    number = post.number();
                    sizes.add(post.reports().size());
                }
            }
        }
        assertEquals(List.of(100, 100, 50), sizes);
    }

    @Test
    void hedgingDelayStartsWhenThePostIsWritten() {
        queue.add("a", 0);
        queue.postWritten(1, 120);
        assertEquals(170, queue.nextPostAt());
    }

    @Test
    void equalReportsAreAcknowledgedSeparately() {
        queue.add("a", 0);
        queue.add("a", 1);
        queue.postAcknowledged(1, 2);
        assertEquals(List.of(acknowledged("a")), queue.postAcknowledged(2, 3));
    }

    /** Platform in virtual time with random answers, failures and silence; checks each step. */
    private static final class World {
        final ReportQueue<Integer> queue = new ReportQueue<>(TIMING);
        final Random random;
        final Map<Integer, List<Integer>> inFlight = new HashMap<>();
        final Map<Integer, Long> addedAt = new HashMap<>();
        final Set<Integer> sent = new HashSet<>();
        final Set<Integer> acknowledged = new HashSet<>();
        final PriorityQueue<Event> events = new PriorityQueue<>((a, b) -> Long.compare(a.at, b.at));
        long now;
        boolean responsive;
        int added;

        record Event(long at, int post, boolean answer) {}

        World(long seed) {
            random = new Random(seed);
        }

        void add() {
            addedAt.put(added, now);
            carryOut(queue.add(added++, now));
        }

        void run(long until) {
            while (true) {
                long event = events.isEmpty() ? Long.MAX_VALUE : events.peek().at;
                long next = Math.min(event, queue.nextPostAt());
                if (next > until) {
                    break;
                }
                now = Math.max(now, next);
                if (event <= next) {
                    handle(events.poll());
                } else {
                    carryOut(queue.tick(now));
                }
            }
            now = until;
        }

        private void handle(Event event) {
            List<Integer> carried = inFlight.remove(event.post);
            List<Step<Integer>> steps =
                    event.answer ? queue.postAcknowledged(event.post, now) : queue.postFailed(event.post, now);
            for (Step<Integer> step : steps) {
                if (step instanceof Step.Acknowledged<Integer> done) {
                    assertTrue(
                            carried != null && carried.contains(done.report()),
                            "acknowledged without an answer to its post");
                }
            }
            carryOut(steps);
        }

        private void carryOut(List<Step<Integer>> steps) {
            for (Step<Integer> step : steps) {
                if (step instanceof Step.Post<Integer> post) {
                    send(post);
                } else if (step instanceof Step.Abandon<Integer> abandon) {
                    inFlight.remove(abandon.number());
                } else if (step instanceof Step.Acknowledged<Integer> done) {
                    assertTrue(acknowledged.add(done.report()), "acknowledged twice");
                }
            }
            assertTrue(inFlight.size() <= TIMING.maxPostsInFlight(), "more posts in flight than the limit");
            assertEquals(added - acknowledged.size(), queue.unacknowledgedCount());
        }

        private void send(Step.Post<Integer> post) {
            assertTrue(
                    !post.reports().isEmpty() && post.reports().size() <= TIMING.maxReportsPerPost(),
                    "number of reports in a post");
            inFlight.put(post.number(), post.reports());
            boolean repeatsBefore = false;
            for (int report : post.reports()) {
                boolean first = sent.add(report);
                assertTrue(!first || !repeatsBefore, "a repeat comes before a report that was never sent");
                repeatsBefore |= !first;
                assertTrue(
                        !first || now - addedAt.get(report) <= TIMING.postTimeoutMillis() + TIMING.hedgeAfterMillis(),
                        "first sent too late");
            }
            int outcome = responsive ? 0 : random.nextInt(4);
            if (outcome < 3) { // otherwise no answer
                long after = responsive ? 1 : 1 + random.nextInt(outcome == 0 ? 10 : 600);
                events.add(new Event(now + after, post.number(), outcome != 2));
            }
        }
    }

    @Property(tries = 3_000, seed = SEED)
    void eachReportIsAcknowledgedOnceUnderRandomLosses(
            @ForAll @Size(max = 60) List<@IntRange(max = 719) Integer> script, @ForAll long losses) {
        World world = new World(losses);
        for (int code : script) {
            for (int i = 0; i < code % 6; i++) {
                world.add();
            }
            world.run(world.now + code / 6);
        }
        world.responsive = true;
        // Posts in flight may stay unanswered; the oldest can be abandoned after its timeout.
        world.run(world.now + TIMING.postTimeoutMillis() + TIMING.maxRepeatIntervalMillis());
        assertEquals(world.added, world.acknowledged.size(), "not all acknowledged");
        assertEquals(0, world.queue.unacknowledgedCount());
    }
}
