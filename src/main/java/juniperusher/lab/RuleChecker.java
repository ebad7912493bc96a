package juniperusher.lab;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;

/**
 * Checks the delivery rules on the events that an engine observed: each message gets exactly one final answer in time
 * and never has two attempts in flight; an unsafe message that may have run is not repeated; retry-after delays are
 * kept; messages of one key are sent one at a time and in order. Independent of the engine. Times are seconds from the
 * start of the run. Not thread-safe.
 */
public final class RuleChecker {
    private static final int MAX_REPORTED_VIOLATIONS = 20;

    private final double answerTolerance;
    private final double retryAfterTolerance;
    private final KeyOrder keyOrder;
    private final Map<Object, UnansweredMessage> unanswered = new LinkedHashMap<>(); // by message id
    private final Set<Object> withdrawn = new HashSet<>();
    private final Map<List<Integer>, double[]> retryDelays = new HashMap<>(); // by relay and destination: start and end
    private final List<String> violations = new ArrayList<>();
    private int violationCount;

    /**
     * Creates a checker with tolerances for events that an engine observes late.
     *
     * @param answerTolerance     s by which a final answer may be late
     * @param retryAfterTolerance s after the start of a retry-after delay in which calls are still allowed
     * @param keyQuietSeconds     s, the quiet time of a key after an attempt that ended without an answer
     */
    public RuleChecker(double answerTolerance, double retryAfterTolerance, double keyQuietSeconds) {
        this.answerTolerance = answerTolerance;
        this.retryAfterTolerance = retryAfterTolerance;
        keyOrder = new KeyOrder(keyQuietSeconds);
    }

    /** The state of an accepted message without a final answer. */
    private static final class UnansweredMessage {
        final boolean unsafe;
        final double deadline;
        int attemptsInFlight;
        boolean mayHaveRun;
        double excusedUntil;

        UnansweredMessage(boolean unsafe, double until) {
            this.unsafe = unsafe;
            this.deadline = until;
        }
    }

    /** Records that a relay accepted a message without a key. */
    public void messageAccepted(Object id, boolean unsafe, double deadline) {
        unanswered.put(id, new UnansweredMessage(unsafe, deadline));
    }

    /** Records that a relay accepted a message with a key, after those it accepted before with the same key. */
    public void messageAccepted(Object id, boolean unsafe, double deadline, int relay, String key) {
        messageAccepted(id, unsafe, deadline);
        keyOrder.messageAccepted(relay, key, id);
    }

    /** Stops checking a message that its client withdrew. */
    public void messageWithdrawn(Object id) {
        keyOrder.messageWithdrawn(id);
        unanswered.remove(id);
        withdrawn.add(id);
    }

    /** Records the start of an attempt. */
    public void attemptStarted(Object id, double now) {
        if (withdrawn.contains(id)) {
            return;
        }
        UnansweredMessage message = unanswered.get(id);
        if (message == null) {
            addViolation(now, id, "is sent after its end, or was never taken");
            return;
        }
        if (message.attemptsInFlight > 0) {
            addViolation(now, id, "has two attempts out");
        }
        if (message.mayHaveRun && message.unsafe) {
            addViolation(now, id, "is sent again though it may have run");
        }
        keyOrder.attemptStarted(id, now).ifPresent(how -> addViolation(now, id, how));
        message.attemptsInFlight++;
    }

    /** Records an attempt that was answered or never reached its destination. */
    public void attemptEnded(Object id, boolean mayHaveRun) {
        keyOrder.attemptEnded(id);
        removeAttempt(id, mayHaveRun);
    }

    /** Records an attempt without an answer (timeout, reset or cancel), which may still run; the quiet time starts. */
    public void attemptAbandoned(Object id, double now, boolean mayHaveRun) {
        keyOrder.attemptAbandoned(id, now);
        removeAttempt(id, mayHaveRun);
    }

    private void removeAttempt(Object id, boolean mayHaveRun) {
        UnansweredMessage message = unanswered.get(id);
        if (message != null) {
            message.attemptsInFlight = Math.max(0, message.attemptsInFlight - 1);
            message.mayHaveRun |= mayHaveRun;
        }
    }

    /**
     * Records that the relay of a message died. An attempt in flight may have run, and is not in flight any more.
     *
     * @param excusedUntil time until which no final answer is due, because the relay has to restart first
     */
    public void messageInterrupted(Object id, double excusedUntil) {
        UnansweredMessage message = unanswered.get(id);
        if (message != null) {
            message.mayHaveRun |= message.attemptsInFlight > 0;
            message.attemptsInFlight = 0;
            message.excusedUntil = excusedUntil;
        }
    }

    /**
     * Records that a message was delivered, or that its client received its final answer.
     *
     * @param returned whether the message failed without any effect, so that the client may resubmit it
     */
    public void messageAnswered(Object id, double now, boolean returned) {
        statusReported(id, now, returned);
        reportAcknowledged(id);
    }

    /**
     * Records a final answer by status report. The message blocks its key until the client acknowledges the report.
     *
     * @param returned whether the message failed without any effect, so that the client may resubmit it
     */
    public void statusReported(Object id, double now, boolean returned) {
        UnansweredMessage message = unanswered.remove(id);
        if (message == null) {
            addViolation(now, id, "is answered twice, or was never taken");
        } else if (returned && message.unsafe && (message.mayHaveRun || message.attemptsInFlight > 0)) {
            addViolation(now, id, "is handed back though it may have run");
        } else if (now > Math.max(message.deadline, message.excusedUntil) + answerTolerance) {
            addViolation(now, id, lateAnswerText(message, now));
        }
    }

    /** Records that a client acknowledged the status report of a message. */
    public void reportAcknowledged(Object id) {
        keyOrder.messageFinished(id);
    }

    /** Whether a message was accepted and has no final answer yet. */
    public boolean isUnanswered(Object id) {
        return unanswered.containsKey(id);
    }

    private static String lateAnswerText(UnansweredMessage message, double now) {
        return String.format(Locale.ROOT, "has its final answer %.3f s after its time", now - message.deadline);
    }

    /** Records that a destination told a relay not to call it again before a time. */
    public void retryAfterReceived(int relay, int destination, double now, double until) {
        double[] known = retryDelays.get(List.of(relay, destination));
        if (known == null || known[1] < until) {
            retryDelays.put(List.of(relay, destination), new double[] {now, until});
        }
    }

    /** Records the death of a relay: its retry-after delays are void, and its attempts end without an answer. */
    public void relayRestarted(int relay, double now) {
        keyOrder.relayRestarted(relay, now);
        retryDelays.keySet().removeIf(key -> key.get(0) == relay);
    }

    /** Records that a relay calls or probes a destination. */
    public void destinationCalled(int relay, int destination, double now) {
        double[] delay = retryDelays.get(List.of(relay, destination));
        if (delay != null && now > delay[0] + retryAfterTolerance && now < delay[1] - 1e-6) {
            addViolation(
                    now,
                    "of relay " + relay,
                    String.format(
                            Locale.ROOT,
                            "is sent to destination %d %.3f s before a told wait is over",
                            destination,
                            delay[1] - now));
        }
    }

    /** Ends the run: each message that should have a final answer by now and has none is a violation. */
    public void runFinished(double now) {
        unanswered.forEach((id, message) -> {
            if (now > Math.max(message.deadline, message.excusedUntil) + answerTolerance) {
                addViolation(now, id, "is never answered");
            }
        });
    }

    private void addViolation(double now, Object id, String violation) {
        violationCount++;
        if (violations.size() < MAX_REPORTED_VIOLATIONS) {
            violations.add(String.format(Locale.ROOT, "%.3f s: message %s %s", now, id, violation));
        }
    }

    /** The number of violations, including those without a line in {@link #violations()}. */
    public int violationCount() {
        return violationCount;
    }

    /** The first violations, each in one line. */
    public List<String> violations() {
        return List.copyOf(violations);
    }
}
