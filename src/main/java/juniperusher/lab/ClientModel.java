package juniperusher.lab;

import juniperusher.lab.Plan.Clients;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * The clients of one destination: when they request messages, and whether and when they resubmit refused ones. Requests
 * and resubmissions use separate random streams, so that the requests do not depend on the outcome of earlier messages.
 * Not thread-safe.
 */
public final class ClientModel {
    // Backoff after the first refusal without a usable retry-after delay; it doubles with each further submission.
    private static final double MIN_FIRST_BACKOFF_SECONDS = 0.68;
    private static final double MAX_FIRST_BACKOFF_SECONDS = 1.4;
    // Delay before a client that did not reach its relay tries again.
    private static final double MIN_RECONNECT_SECONDS = 0.3;
    private static final double MAX_RECONNECT_SECONDS = 1.2;

    private final Clients behavior;
    private final UniformRandomProvider requestRandom;
    private final UniformRandomProvider resubmissionRandom;

    /** Creates clients with this behavior and separate random streams for requests and resubmissions. */
    public ClientModel(Clients habits, UniformRandomProvider asking, UniformRandomProvider returning) {
        this.behavior = habits;
        this.requestRandom = asking;
        this.resubmissionRandom = returning;
    }

    /** Draws the time to the next request in seconds, at a mean rate per second. */
    public double nextGap(double rate) {
        return -Math.log(1 - requestRandom.nextDouble()) / rate;
    }

    /** Draws whether the next message is an order, which must not be repeated once it may have run. */
    public boolean nextIsOrder() {
        return requestRandom.nextDouble() < behavior.orderShare();
    }

    /** Draws the index of the relay that the next message goes to. */
    public int nextRelay(int relays) {
        return requestRandom.nextInt(relays);
    }

    /**
     * Draws the delay before a client resubmits a refused message.
     *
     * @param submissions submissions of the message so far, at least 1
     * @param retryAfter  s, the retry-after delay of the refusal; 0 for none
     * @return s; infinite if the client gives up
     */
    public double resubmissionDelay(int submissions, double retryAfter) {
        if (submissions > behavior.maxResubmissions()) {
            return Double.POSITIVE_INFINITY;
        }
        double backoff = between(MIN_FIRST_BACKOFF_SECONDS, MAX_FIRST_BACKOFF_SECONDS) * Math.pow(2, submissions - 1);
        boolean heeds = resubmissionRandom.nextDouble() < behavior.retryAfterShare();
        return heeds && retryAfter > 0 ? retryAfter : backoff;
    }

    /** Draws the delay in seconds before a client that did not reach its relay tries again; this is no refusal. */
    public double reconnectDelay() {
        return between(MIN_RECONNECT_SECONDS, MAX_RECONNECT_SECONDS);
    }

    private double between(double low, double high) {
        return low + resubmissionRandom.nextDouble() * (high - low);
    }
}
