package juniperusher.core;

import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.stream.Collectors;
import juniperusher.Protocol.Phase;
import juniperusher.Protocol.Target;
import juniperusher.Protocol.TargetList;

/**
 * What forbids a call at the very moment of its first byte. The module decides in rounds; a wait or a drain
 * that is told between a round and the first byte (while a connection comes up, say) is seen here by every
 * thread.
 */
final class Guards {
    private static final long REMEMBERED = 30_000_000_000L; // ns for which a gone endpoint is still known
    private static final double LONGEST_WAIT = 1e6; // s, so that a wait fits into the clock's nanoseconds

    private final Map<Integer, Long> waits = new ConcurrentHashMap<>();
    private final Map<Integer, Target> known = new ConcurrentHashMap<>();
    private final Map<Integer, Long> goneSince = new ConcurrentHashMap<>();
    private final Set<Integer> destinations = ConcurrentHashMap.newKeySet();

    /** The resolver result changed; {@code list} is as the module gets it. */
    void learn(TargetList list) {
        list.targets().forEach(target -> known.put(target.id(), target));
        if (list.whole()) {
            Set<Integer> named = list.targets().stream().map(Target::id).collect(Collectors.toSet());
            known.replaceAll((id, target) -> named.contains(id) ? target : target.gone());
        }
        forget(System.nanoTime());
        list.targets().forEach(target -> destinations.add(target.destination()));
    }

    /** Guards against a list that only grows: an endpoint long gone has no call out that asks for it. */
    private void forget(long now) {
        known.forEach((id, target) -> {
            if (target.phase() != Phase.GONE) {
                goneSince.remove(id);
            } else if (now - goneSince.computeIfAbsent(id, key -> now) > REMEMBERED) {
                known.remove(id);
                goneSince.remove(id);
            }
        });
    }

    /** An endpoint told a wait for its destination; a shorter one never cuts an earlier one. */
    void wait(int destination, double seconds) {
        long nanos = (long) (Math.min(seconds, LONGEST_WAIT) * 1e9);
        waits.merge(destination, System.nanoTime() + nanos, (a, b) -> b - a > 0 ? b : a);
    }

    boolean mayCall(int subchannel, int destination) {
        Target target = known.get(subchannel);
        Long until = waits.get(destination);
        return target != null && target.phase() == Phase.READY && target.destination() == destination
                && (until == null || until - System.nanoTime() <= 0);
    }

    /** Guards against RPCs for destinations that never were: none could ever be sent. */
    boolean knows(int destination) {
        return destinations.contains(destination);
    }

    Target target(int id) {
        return known.get(id);
    }
}
