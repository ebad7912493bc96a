package juniperusher.storm;

import juniperusher.Protocol.Rules;

/**
 * Retry-storm state of one destination at this relay. It receives arrivals, call results and reports of other relays,
 * and computes the rate that the destination accepts from all relays together. Not thread-safe; times are seconds of
 * the rounds' clock.
 *
 * <p>This prevents an overload that outlasts its cause: during a storm the relays together send no more than the
 * stated rate, the number of pending messages is bounded by what can be delivered before the deadline, and refused
 * clients are told when there will be capacity. The recovery is dated to the first success and the slow start begins
 * there, so a relay never assumes more warm-up than the destination has had.
 */
final class DestinationStorm {
    /** Time constant of the arrival counters. */
    private static final double ARRIVAL_WINDOW_SECONDS = 5;
    /** Fewer arrivals in the window than this give no meaningful share of resubmissions. */
    private static final double MIN_ARRIVALS = 8;
    /** Fewer pending messages are normal variation, even for a destination with a low rate. */
    private static final int MIN_PENDING_FOR_STORM = 20;
    /** Sum of the weights of consecutive failures and refusals from which on a destination may be in an outage. */
    private static final int MIN_OUTAGE_WEIGHT = 6;

    private static final int FAILURE_WEIGHT = 2;
    /** A refusal as overloaded is weaker evidence of an outage than a failure. */
    private static final int REFUSAL_WEIGHT = 1;
    /** The rate is multiplied by this when calls that were sent since the last reduction fail. */
    private static final double RATE_REDUCTION_FACTOR = 0.7;
    /** Each success raises the rate factor by this. */
    private static final double RATE_RECOVERY_STEP = 0.02;
    /** The rate is only reduced if a larger share of recent calls has failed or was refused. */
    private static final double MIN_FAILED_SHARE = 0.15;
    /** The rate is only reduced if more recent calls have failed; a single one may be chance. */
    private static final double MIN_FAILED_CALLS = 1.5;
    /** Time constant of the counters of recent calls and failures. */
    private static final double CALL_WINDOW_SECONDS = 2;
    /** After this time a probe's result is no longer expected. */
    private static final double PROBE_TIMEOUT_SECONDS = 3;
    /** Weight of a new sample in the moving average of the response time. */
    private static final double RESPONSE_TIME_WEIGHT = 0.1;
    /** Lower bound of the rate factor, however often calls are refused. */
    private static final double MIN_RATE_FACTOR = 0.3;

    private final StormSettings settings;
    private final Rules rules;
    private final DecayingCounter arrivals = new DecayingCounter(ARRIVAL_WINDOW_SECONDS);
    private final DecayingCounter resubmissions = new DecayingCounter(ARRIVAL_WINDOW_SECONDS);
    private final DecayingCounter refusals = new DecayingCounter(ARRIVAL_WINDOW_SECONDS);
    private final DecayingCounter recentCalls = new DecayingCounter(CALL_WINDOW_SECONDS);
    private final DecayingCounter recentFailures = new DecayingCounter(CALL_WINDOW_SECONDS);
    private double usualResponseSeconds; // moving average while the state is CALM
    private boolean resubmissionsMarked; // whether any resubmission was recognized
    private StormState state = StormState.CALM;
    private double listedRate; // calls per second, 0 if unknown
    private double reportedRate; // calls per second, 0 if unknown
    private int pending; // messages
    private int failureWeight; // of the present sequence of failures and refusals
    private double failingSince;
    private boolean inOutage;
    private double outageStart = Double.NEGATIVE_INFINITY;
    private double recoveredAt = Double.NEGATIVE_INFINITY;
    private boolean recoveredByLastSuccess;
    private boolean recoveryToReport;
    private double retryAfterEnd;
    private double nextProbeAt;
    private double probedOutageStart = Double.NaN; // start of the outage that probes were scheduled for
    private double probeSentAt = Double.NEGATIVE_INFINITY;
    private double quietSince = Double.NaN; // NaN during an outage and while the load is not low
    private double rateFactor = 1; // of the stated rate
    private double rateReducedAt = Double.NEGATIVE_INFINITY;

    /** A change of state and its reason, for the log. */
    record Change(StormState from, StormState to, String reason) {}

    DestinationStorm(StormSettings settings, Rules rules) {
        this.settings = settings;
        this.rules = rules;
    }

    // ---- inputs ----

    /** Sets the rate of the endpoint list, in calls per second. */
    void setListedRate(double rate) {
        listedRate = rate;
    }

    /** A message has arrived; {@code resubmitted} if its client has marked it as such or its refusal is known. */
    void messageArrived(double now, boolean resubmitted) {
        pending++;
        arrivals.add(now, 1);
        resubmissionsMarked |= resubmitted;
        resubmissions.add(now, resubmitted ? 1 : 0);
    }

    /** A message of the destination has finished, delivered or not. */
    void messageFinished() {
        pending = Math.max(0, pending - 1);
    }

    /** A message was refused; its client may resubmit it. */
    void messageRefused(double now) {
        refusals.add(now, 1);
    }

    /**
     * A call has succeeded.
     *
     * @param sentAt        time at which the call was sent
     * @param reportedLimit rate limit that the destination reported, in calls per second, 0 for none
     */
    void callSucceeded(double now, double sentAt, double reportedLimit) {
        reportedRate = reportedLimit > 0 ? reportedLimit : reportedRate;
        failureWeight = 0;
        rateFactor = Math.min(1, rateFactor + RATE_RECOVERY_STEP);
        recentCalls.add(now, 1);
        recoveredByLastSuccess = inOutage;
        if (inOutage) {
            inOutage = false;
            // The destination had recovered when the call arrived. A call that hung during the outage was answered
            // on recovery, so the recovery is dated at most one usual response time back.
            recoveredAt = Math.max(Math.max(outageStart, now - usualResponseSeconds), sentAt);
            rateFactor = 1; // failures during the outage do not tell what rate is accepted now
        } else if (state == StormState.CALM) {
            usualResponseSeconds += (now - sentAt - usualResponseSeconds) * RESPONSE_TIME_WEIGHT;
        }
    }

    /** A call sent at {@code sentAt} has failed, or was refused with a delay that indicates an outage. */
    void callFailed(double now, double sentAt) {
        recordFailure(now, sentAt, FAILURE_WEIGHT);
    }

    /** A call was refused as overloaded. Refusals alone, without a success for a while, count as an outage. */
    void callRefused(double now, double sentAt, double reportedLimit) {
        reportedRate = reportedLimit > 0 ? reportedLimit : reportedRate;
        recordFailure(now, sentAt, REFUSAL_WEIGHT);
    }

    private void recordFailure(double now, double sentAt, int weight) {
        if (sentAt < recoveredAt) {
            return; // the call was sent during the previous outage and only fails now
        }
        if (failureWeight == 0) {
            failingSince = now;
        }
        failureWeight += weight;
        if (!inOutage && failureWeight >= MIN_OUTAGE_WEIGHT && now - failingSince >= settings.outageAfterSeconds()) {
            inOutage = true;
            outageStart = failingSince;
            rateFactor = 1; // failures during the outage do not tell what rate is accepted after it
        }
        if (!inOutage) {
            reduceRate(now, sentAt);
        }
    }

    /** Reduces the rate if enough recent calls have failed; a single failure among many successes may be chance. */
    private void reduceRate(double now, double sentAt) {
        recentCalls.add(now, 1);
        recentFailures.add(now, 1);
        if (sentAt >= rateReducedAt
                && state != StormState.CALM
                && recentFailures.get(now) > Math.max(MIN_FAILED_CALLS, MIN_FAILED_SHARE * recentCalls.get(now))) {
            rateFactor = Math.max(MIN_RATE_FACTOR, rateFactor * RATE_REDUCTION_FACTOR);
            rateReducedAt = now;
        }
    }

    /** Another relay has detected an outage; it applies here until this or another relay detects the recovery. */
    void peerDetectedOutage(double now, double peerOutageStart) {
        if (!inOutage && peerOutageStart > recoveredAt) {
            inOutage = true;
            outageStart = peerOutageStart;
        }
    }

    /**
     * Another relay has detected a recovery at this time or earlier. It is ignored unless it is later than the start
     * of the outage known here: a delayed or duplicated note may report an earlier recovery.
     */
    void peerDetectedRecovery(double peerRecoveredAt) {
        if (inOutage && peerRecoveredAt > Math.max(outageStart, recoveredAt)) {
            inOutage = false;
            failureWeight = 0;
            recoveredAt = peerRecoveredAt;
            rateFactor = 1;
            recoveryToReport = true;
        }
    }

    // ---- probes sent by this package; the decision module does not know of them ----

    /** Sets the end of a retry-after delay; the destination is not probed before that time. */
    void extendRetryAfter(double end) {
        retryAfterEnd = Math.max(retryAfterEnd, end);
    }

    /**
     * Decides whether to send a probe now, and if so records it as sent. At most one probe is in flight.
     *
     * @param intervalSeconds time between two probes
     * @param firstFraction fraction of the interval before the first probe of an outage; it differs between relays,
     *     which learn of an outage at the same time
     */
    boolean startProbeIfDue(double now, double intervalSeconds, double firstFraction) {
        if (inOutage && probedOutageStart != outageStart) {
            probedOutageStart = outageStart;
            nextProbeAt = now + intervalSeconds * firstFraction;
        }
        if (!inOutage || now < retryAfterEnd || now < nextProbeAt || now < probeSentAt + PROBE_TIMEOUT_SECONDS) {
            return false;
        }
        nextProbeAt = now + intervalSeconds;
        probeSentAt = now;
        return true;
    }

    /** A probe of this package has finished. */
    void probeFinished() {
        probeSentAt = Double.NEGATIVE_INFINITY;
    }

    /** Reports the recovery to the decision module if the last success was one and the module cannot know of it. */
    void reportRecoveryIfUnknown(boolean unknownToModule) {
        recoveryToReport |= unknownToModule && recoveredByLastSuccess;
    }

    /** Whether to report a recovery to the decision module, which cannot know of it; true once for each recovery. */
    boolean takeRecoveryReport() {
        boolean report = recoveryToReport;
        recoveryToReport = false;
        return report;
    }

    // ---- results ----

    /**
     * Updates the state from the inputs and the time.
     *
     * @param shareFraction share of the destination's rate that this relay may use, 0 to 1
     * @return the change of state, or null if there is none
     */
    Change updateState(double now, double shareFraction) {
        double ownRate = statedRate() * shareFraction;
        double recentArrivals = arrivals.get(now);
        double resubmittedShare = recentArrivals < MIN_ARRIVALS
                ? 0
                : (resubmissionsMarked ? resubmissions.get(now) : Math.min(recentArrivals, refusals.get(now)))
                        / recentArrivals;
        boolean overloaded =
                ownRate > 0 && pending > Math.max(MIN_PENDING_FOR_STORM, ownRate * settings.pendingSeconds());
        boolean lowLoad = resubmittedShare <= settings.resubmittedShareCalm()
                && pending <= Math.max(MIN_ARRIVALS / 2, ownRate * settings.pendingSecondsCalm());
        quietSince = !lowLoad || inOutage ? Double.NaN : Double.isNaN(quietSince) ? now : quietSince;
        boolean quiet = now - quietSince >= settings.quietSeconds();
        return switch (state) {
            case CALM ->
                inOutage
                        ? changeTo(StormState.STORM, "outage")
                        : resubmittedShare > settings.resubmittedShare()
                                ? changeTo(StormState.STORM, "handed in again")
                                : overloaded ? changeTo(StormState.STORM, "owed") : null;
            case STORM ->
                inOutage
                        ? null
                        : recoveredAt > outageStart && now - recoveredAt < rules.warmUp()
                                ? changeTo(StormState.RECOVERING, "returned")
                                : quiet ? changeTo(StormState.CALM, "over") : null;
            case RECOVERING ->
                inOutage
                        ? changeTo(StormState.STORM, "fell again")
                        : now - recoveredAt < rules.warmUp()
                                ? null
                                : quiet
                                        ? changeTo(StormState.CALM, "warm")
                                        : changeTo(StormState.STORM, "warm, much owed");
        };
    }

    /** Whether {@link #updateState} and the resulting advice stay the same until the next input. */
    boolean isSettled(double now) {
        return state == StormState.CALM
                && !inOutage
                && !recoveryToReport
                && pending == 0
                && arrivals.get(now) < MIN_ARRIVALS // the share of resubmissions is 0 and stays 0
                && !Double.isNaN(quietSince);
    }

    private Change changeTo(StormState next, String reason) {
        Change change = new Change(state, next, reason);
        if (state == StormState.CALM || next == StormState.CALM) {
            rateFactor = 1;
        }
        state = next;
        return change;
    }

    /** Rate accepted from all relays together from now on; null if it is unknown or the state is CALM. */
    RateCurve acceptedRate(double now) {
        if (state == StormState.CALM || statedRate() <= 0) {
            return null;
        }
        double rate = statedRate() * settings.rateMargin() * rateFactor;
        if (inOutage) {
            return new RateCurve(now, rules.coldShare(), rules.warmUp(), rate); // as if it recovered now
        }
        return state == StormState.RECOVERING
                ? new RateCurve(recoveredAt, rules.coldShare(), rules.warmUp(), rate)
                : RateCurve.constant(rate);
    }

    /** Rate limit over all relays in calls per second, as reported by the destination, else as listed; 0 if unknown. */
    double statedRate() {
        return reportedRate > 0 ? reportedRate : listedRate;
    }

    /** Messages per second that arrive for the destination at this relay. */
    double arrivalRate(double now) {
        return arrivals.get(now) / ARRIVAL_WINDOW_SECONDS;
    }

    StormState state() {
        return state;
    }

    boolean inOutage() {
        return inOutage;
    }

    double outageStart() {
        return outageStart;
    }

    double recoveredAt() {
        return recoveredAt;
    }

    int pending() {
        return pending;
    }
}
