package juniperusher.lab;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.SplittableRandom;
import juniperusher.Protocol.Outcome;

/**
 * A destination: a rate that it takes from all relays together, a response time, an outage, and a cold return
 * on
 * which it falls over if it is pushed. Above its rate it refuses without running the message.
 */
final class DestinationModel {
    static final double WINDOW = 1.5; // s over which it is judged whether it was pushed
    private static final double DEPTH = 0.4; // s of its rate that it takes at once
    private static final double FAST = 0.02; // s to a refusal
    private static final double SLACK = 3; // calls by which chance alone may exceed what it takes in a window

    /** How it is out. */
    enum Trouble { SHUT, ERRORS, HANG }

    /** What a call brings: an outcome after a time; infinite for none. */
    record Answer(Outcome outcome, double after) {
    }

    private final double rate;
    private final double usual;
    private final double cold;
    private final double warm;
    private final double tip;
    private final double outFrom;
    private double outUntil;
    private final Trouble trouble;
    private final SplittableRandom random;
    private final Deque<Double> window = new ArrayDeque<>();
    private final List<Double> calls = new ArrayList<>();
    private double tokens;
    private double tokensAt;
    private int refused;
    private int fell;

    /**
     * One that takes {@code rate} calls a second and answers within {@code usual} seconds on average, out
     * from one
     * time to another, back at the share {@code cold} and whole after {@code warm} seconds; sent {@code tip}
     * times
     * what it takes over {@link #WINDOW} it falls for as long again.
     */
    DestinationModel(double rate, double usual, double outFrom, double outUntil, Trouble trouble, double cold,
            double warm, double tip, SplittableRandom random) {
        this.rate = rate;
        this.usual = usual;
        this.outFrom = outFrom;
        this.outUntil = outUntil;
        this.trouble = trouble;
        this.cold = cold;
        this.warm = warm;
        this.tip = tip;
        this.random = random;
        tokens = rate * DEPTH;
    }

    /** Calls a second that it takes at the time; 0 while it is out. */
    double capacity(double now) {
        if (now < outFrom) {
            return rate;
        }
        return now < outUntil ? 0 : rate * Math.min(1, cold + (1 - cold) * (now - outUntil) / warm);
    }

    /** A call's last byte arrives. */
    Answer call(double now) {
        calls.add(now);
        if (now >= outFrom && now < outUntil) {
            return out();
        }
        window.add(now);
        while (window.peek() < now - WINDOW) {
            window.poll();
        }
        double capacity = capacity(now);
        if (now >= outUntil && now < outUntil + warm && window.size() > tip * capacity * WINDOW + SLACK) {
            fell++;
            outUntil = now + (outUntil - outFrom); // falls over, and stays down for as long again
            window.clear();
            return out();
        }
        tokens = Math.min(Math.max(1, capacity * DEPTH), tokens + capacity * (now - tokensAt));
        tokensAt = now;
        if (tokens < 1) {
            refused++;
            return new Answer(Outcome.FULL, FAST);
        }
        tokens--;
        return new Answer(Outcome.DELIVERED, usual * -Math.log(1 - random.nextDouble()));
    }

    private Answer out() {
        return switch (trouble) {
            case SHUT -> new Answer(Outcome.FULL, FAST);
            case ERRORS -> new Answer(Outcome.ERROR, FAST);
            case HANG -> new Answer(Outcome.TIMED_OUT, Double.POSITIVE_INFINITY);
        };
    }

    /** How often it has fallen over. */
    int fell() {
        return fell;
    }

    /** Calls that it refused for want of capacity. */
    int refused() {
        return refused;
    }

    /**
     * The most calls that it got beyond what it takes, over any window that begins at or after its return and
     * ends
     * while it warms up; 0 if it never got more. Chance is allowed for by as many calls as a warm one takes
     * at once.
     */
    double above() {
        double worst = 0;
        int first = 0;
        for (int last = 0; last < calls.size(); last++) {
            double end = calls.get(last);
            while (calls.get(first) < Math.max(outUntil, end - WINDOW)) {
                if (++first > last) {
                    break;
                }
            }
            if (first > last || end < outUntil || end > outUntil + warm) {
                first = Math.min(first, last);
                continue;
            }
            double from = Math.max(outUntil, end - WINDOW);
            double takes = (capacity(from) + capacity(end)) / 2 * (end - from)
                    + Math.max(SLACK, DEPTH * capacity(end));
            worst = Math.max(worst, last - first + 1 - takes);
        }
        return worst;
    }
}
