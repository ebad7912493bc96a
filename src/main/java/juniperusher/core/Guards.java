package juniperusher.core;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import juniperusher.Protocol.Target;
import juniperusher.membership.Snapshot;

/**
 * What forbids a call at the very moment of its first byte. The module decides in rounds; a wait or a drain
 * that is told between a round and the first byte (while a connection comes up, say) is seen here by every
 * thread.
 */
final class Guards {
    private static final double LONGEST_WAIT = 1e6; // s, so that a wait fits into the clock's nanoseconds

    private final Map<Integer, Long> waits = new ConcurrentHashMap<>();
    private volatile Snapshot members = Snapshot.EMPTY;

    /** The resolver result has changed. It is put in force in one step: no reader ever sees half of it. */
    void learn(Snapshot snapshot) {
        members = snapshot;
    }

    /** An endpoint told a wait for its destination; a shorter one never cuts an earlier one. */
    void wait(int destination, double seconds) {
        long nanos = (long) (Math.min(seconds, LONGEST_WAIT) * 1e9);
        waits.merge(destination, System.nanoTime() + nanos, (a, b) -> b - a > 0 ? b : a);
    }

    boolean mayCall(int subchannel, int destination) {
        Long until = waits.get(destination);
        return members.ready(subchannel, destination) && (until == null || until - System.nanoTime() <= 0);
    }

    /** Guards against RPCs for destinations that never were: none could ever be sent. */
    boolean knows(int destination) {
        return members.destinations().contains(destination);
    }

    Target target(int id) {
        return members.target(id);
    }
}
