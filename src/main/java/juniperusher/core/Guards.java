package juniperusher.core;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import juniperusher.Protocol.Phase;
import juniperusher.Protocol.Target;
import juniperusher.Protocol.TargetList;

/**
 * What forbids a call at the very moment of its first byte. The module decides in rounds; a wait or a drain
 * that is told between a round and the first byte (while a connection comes up, say) is seen here by every
 * thread.
 */
final class Guards {
    private final Map<Integer, Long> waits = new ConcurrentHashMap<>();
    private final Map<Integer, Target> known = new ConcurrentHashMap<>();

    /** The resolver result changed; {@code list} is as the module gets it. */
    void learn(TargetList list) {
        if (list.whole()) {
            known.replaceAll((id, target) -> target.gone());
        }
        list.targets().forEach(target -> known.put(target.id(), target));
    }

    /** An endpoint told a wait for its destination; a shorter one never cuts an earlier one. */
    void wait(int destination, double seconds) {
        waits.merge(destination, System.nanoTime() + (long) (seconds * 1e9), (a, b) -> b - a > 0 ? b : a);
    }

    boolean mayCall(int subchannel, int destination) {
        Target target = known.get(subchannel);
        Long until = waits.get(destination);
        return target != null && target.phase() == Phase.READY && target.destination() == destination
                && (until == null || until - System.nanoTime() <= 0);
    }

    Target target(int id) {
        return known.get(id);
    }
}
