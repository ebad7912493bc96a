package juniperusher.lab;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.PriorityQueue;
import juniperusher.Protocol.Outcome;
import juniperusher.lab.Plan.Destination;
import juniperusher.lab.Plan.Trouble;
import juniperusher.lab.Plan.TroubleKind;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * A destination with a capacity for all relays together: either a rate, or a number of concurrent calls with a queue.
 * It refuses calls above its capacity without running them. After a trouble it recovers with a reduced, rising capacity
 * and collapses again if it is overloaded meanwhile. The model records by how much calls exceeded the capacity. Times
 * are seconds from the start of the run. Not thread-safe.
 */
public final class DestinationModel {
    /** Length of the sliding window in which calls are compared with the capacity. */
    public static final double WINDOW_SECONDS = 1.5;

    private static final double BURST_SECONDS = 0.4; // of its rate; the size of the token bucket
    private static final double REFUSAL_SECONDS = 0.02;
    private static final double CHANCE_CALLS = 3; // by which random variation may exceed the capacity of a window
    private static final double LOG_SIGMA = 0.8; // standard deviation of the logarithm of answer times

    /**
     * The answer to a call.
     *
     * @param delay      s until the answer; infinite if there is none
     * @param retryAfter retry-after delay, s; 0 for none
     */
    public record Answer(Outcome outcome, double delay, double retryAfter) {}

    private final Destination plan;
    private final UniformRandomProvider random;
    // Times of the calls in the window, since the recovery began.
    private final Deque<Double> recentCalls = new ArrayDeque<>();
    // End times of the calls that run or are queued.
    private final PriorityQueue<Double> callEnds = new PriorityQueue<>();
    private int troubleIndex = -1; // the current or last one; -1 before the first
    private double outageUntil;
    private double tokens;
    private double tokensUpdatedAt;
    private double maxExcess;
    private double maxOverBudget;
    private int refusedCalls;
    private int collapses;

    /** Creates the model of a destination in a plan, with a random stream for its answer times. */
    public DestinationModel(Destination plan, UniformRandomProvider random) {
        this.plan = plan;
        this.random = random;
        tokens = plan.rate() * BURST_SECONDS;
    }

    private Trouble currentTrouble(double now) {
        while (troubleIndex + 1 < plan.troubles().size()
                && now >= plan.troubles().get(troubleIndex + 1).from()) {
            troubleIndex++;
            outageUntil =
                    Math.max(outageUntil, plan.troubles().get(troubleIndex).until());
            recentCalls.clear();
        }
        return troubleIndex < 0 ? null : plan.troubles().get(troubleIndex);
    }

    /** The capacity in calls per second at a time; 0 during an outage. Times must not decrease. */
    public double capacity(double now) {
        Trouble last = currentTrouble(now);
        return last == null ? plan.rate() : capacity(last, now);
    }

    private double capacity(Trouble last, double now) {
        if (last.kind() == TroubleKind.SLOW) {
            return now < outageUntil && plan.queue() >= 0 ? plan.rate() / last.slowdown() : plan.rate();
        }
        return now < outageUntil
                ? 0
                : plan.rate()
                        * Math.min(1, last.coldShare() + (1 - last.coldShare()) * (now - outageUntil) / last.warmUp());
    }

    /** Answers a call whose last byte arrives now. Times must not decrease. */
    public Answer call(double now) {
        Trouble last = currentTrouble(now);
        double slowdown = 1;
        if (last != null && last.kind() == TroubleKind.SLOW) {
            slowdown = now < outageUntil ? last.slowdown() : 1;
        } else if (last != null) {
            if (now < outageUntil) {
                return outageAnswer(last.kind());
            }
            if (now < outageUntil + last.warmUp() && collapsesUnderCall(last, now)) {
                collapses++;
                outageUntil = now + (last.until() - last.from()); // the new outage is as long as the last one
                recentCalls.clear();
                return outageAnswer(last.kind());
            }
        }
        double service = answerTime() * slowdown;
        double delay = plan.queue() < 0 ? delayByRate(now, service) : delayBySlots(now, service);
        if (delay < 0) {
            refusedCalls++;
            return new Answer(Outcome.FULL, REFUSAL_SECONDS, plan.retryAfter());
        }
        return new Answer(Outcome.DELIVERED, delay, 0);
    }

    /** Records a call during the recovery. Returns whether the destination collapses under it. */
    private boolean collapsesUnderCall(Trouble last, double now) {
        recentCalls.add(now);
        while (recentCalls.peek() < now - WINDOW_SECONDS) {
            recentCalls.poll();
        }
        double capacity = capacity(last, now);
        double from = Math.max(outageUntil, now - WINDOW_SECONDS);
        double allowed =
                (capacity(last, from) + capacity) / 2 * (now - from) + Math.max(CHANCE_CALLS, BURST_SECONDS * capacity);
        maxExcess = Math.max(maxExcess, recentCalls.size() - allowed);
        double budget = last.overloadFactor() * capacity * WINDOW_SECONDS;
        double overBudget = recentCalls.size() - budget - 2 * Math.sqrt(budget) - 2;
        maxOverBudget = Math.max(maxOverBudget, overBudget);
        return overBudget > 0;
    }

    private double delayByRate(double now, double service) {
        double capacity = capacity(now);
        tokens = Math.min(Math.max(1, capacity * BURST_SECONDS), tokens + capacity * (now - tokensUpdatedAt));
        tokensUpdatedAt = now;
        return tokens < 1 ? -1 : consumeToken(service);
    }

    private double consumeToken(double service) {
        tokens--;
        return service;
    }

    private double delayBySlots(double now, double service) {
        while (!callEnds.isEmpty() && callEnds.peek() <= now) {
            callEnds.poll();
        }
        double share = capacity(now) / plan.rate();
        int slots = (int) Math.max(1, Math.round(plan.rate() * plan.latency() * Math.max(share, 0)));
        if (troubleIndex >= 0 && plan.troubles().get(troubleIndex).kind() == TroubleKind.SLOW) {
            slots = (int) Math.max(
                    1,
                    Math.round(plan.rate() * plan.latency())); // SLOW keeps the number of slots; each call takes longer
        }
        if (callEnds.size() >= slots + plan.queue()) {
            return -1;
        }
        double start = now;
        if (callEnds.size() >= slots) {
            // The call starts when enough earlier ones have ended for it to get one of the slots.
            Double[] ends = callEnds.toArray(new Double[0]);
            java.util.Arrays.sort(ends);
            start = ends[ends.length - slots];
        }
        callEnds.add(start + service);
        return start + service - now;
    }

    private double answerTime() {
        double u = 1 - random.nextDouble();
        return switch (plan.spread()) {
            case CONSTANT -> plan.latency();
            case EXPONENTIAL -> plan.latency() * -Math.log(u);
            case LOGNORMAL ->
                plan.latency()
                        * Math.exp(-LOG_SIGMA * LOG_SIGMA / 2
                                + LOG_SIGMA
                                        * Math.sqrt(-2 * Math.log(u))
                                        * Math.cos(2 * Math.PI * random.nextDouble()));
        };
    }

    private Answer outageAnswer(TroubleKind kind) {
        return switch (kind) {
            case SHUT -> new Answer(Outcome.FULL, REFUSAL_SECONDS, plan.retryAfter());
            case FAST_ERRORS -> new Answer(Outcome.ERROR, REFUSAL_SECONDS, 0);
            case DOWN -> new Answer(Outcome.NOT_CONNECTED, REFUSAL_SECONDS, 0);
            default -> new Answer(Outcome.TIMED_OUT, Double.POSITIVE_INFINITY, 0);
        };
    }

    /** How often the destination collapsed under overload. */
    public int collapses() {
        return collapses;
    }

    /** Calls refused for lack of capacity, not counting refusals during an outage. */
    public int refusedCalls() {
        return refusedCalls;
    }

    /**
     * The largest number of calls beyond the capacity in any window of a recovery; 0 if there were none. Random
     * variation is allowed for by the burst that the current capacity permits.
     */
    public double maxExcess() {
        return maxExcess;
    }

    /**
     * The largest number of calls beyond the overload budget in any window of a recovery; 0 if there were none. With a
     * budget of N calls, 2 x root of N + 2 more are allowed for random variation.
     */
    public double maxOverBudget() {
        return maxOverBudget;
    }
}
