package juniperusher.core;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import juniperusher.Protocol.Target;
import juniperusher.membership.Snapshot;

/**
 * Conditions that are checked immediately before the first byte of a call. The decision module decides in rounds; a
 * retry-after delay or a drain that is announced after the decision, for example while a connection is being
 * established, takes effect through this class. Safe for threads.
 */
final class CallPreconditions {
    // Bounds a delay so that it fits into the nanoseconds of System.nanoTime.
    private static final double MAX_DELAY_SECONDS = 1e6;

    private final Map<Integer, Long> delayedUntilNanos = new ConcurrentHashMap<>();
    private volatile Snapshot members = Snapshot.EMPTY;

    /** Replaces the known endpoints in one step, so that no reader sees a partial update. */
    void updateMembers(Snapshot snapshot) {
        members = snapshot;
    }

    /** Delays calls to a destination. A shorter delay does not end an earlier longer one. */
    void delayCalls(int destination, double seconds) {
        long nanos = (long) (Math.min(seconds, MAX_DELAY_SECONDS) * 1e9);
        delayedUntilNanos.merge(destination, System.nanoTime() + nanos, (a, b) -> b - a > 0 ? b : a);
    }

    /** Whether the endpoint is ready, belongs to the destination, and no delay of the destination is active. */
    boolean mayCall(int subchannel, int destination) {
        Long untilNanos = delayedUntilNanos.get(destination);
        return members.isReady(subchannel, destination) && (untilNanos == null || untilNanos - System.nanoTime() <= 0);
    }

    /** Whether a resolver result has ever named the destination; a message for any other could never be sent. */
    boolean knowsDestination(int destination) {
        return members.destinations().contains(destination);
    }

    /** The endpoint with that id, or null if none was ever listed. */
    Target target(int id) {
        return members.target(id);
    }
}
