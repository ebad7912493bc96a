package juniperusher.membership;

import java.net.InetSocketAddress;
import juniperusher.Protocol.Phase;
import juniperusher.Protocol.Target;
import org.pcollections.HashTreePMap;
import org.pcollections.HashTreePSet;
import org.pcollections.PMap;
import org.pcollections.PSet;

/**
 * Resolver result at one moment. Immutable, so a reader always sees a consistent state; successive snapshots share
 * most of their structure.
 *
 * @param serial       number of the snapshot in this process, increased by one with each
 * @param source       origin of the last update: address of discovery, name of another source, or {@code known} for the
 *                     saved list
 * @param version      version of its state that the source stated last
 * @param confirmed    whether discovery has confirmed the list in this process, as opposed to a saved list
 * @param updatedAt    time of the last update from a source, in seconds of the events' clock
 * @param endpoints    endpoints by number; one that is gone is kept for a while, since calls to it may be in flight
 * @param destinations all destinations that were ever listed
 */
public record Snapshot(
        long serial,
        String source,
        long version,
        boolean confirmed,
        double updatedAt,
        PMap<Integer, Endpoint> endpoints,
        PSet<Integer> destinations) {
    /** The state before any update. */
    public static final Snapshot EMPTY =
            new Snapshot(0, "none", 0, false, 0, HashTreePMap.empty(), HashTreePSet.empty());

    /** The endpoint of this number as the decision module sees it, or null if there is none. */
    public Target target(int number) {
        Endpoint endpoint = endpoints.get(number);
        return endpoint == null ? null : endpoint.target();
    }

    /** Network address of the endpoint, or null if it is unknown. */
    public InetSocketAddress address(int number) {
        Endpoint endpoint = endpoints.get(number);
        return endpoint == null ? null : endpoint.address();
    }

    /** Whether the endpoint serves the destination and accepts new calls by its phase; health is not considered. */
    public boolean isReady(int number, int destination) {
        Target target = target(number);
        return target != null && target.phase() == Phase.READY && target.destination() == destination;
    }

    /** Number of endpoints in the phase. */
    public int count(Phase phase) {
        return (int) endpoints.values().stream()
                .filter(one -> one.target().phase() == phase)
                .count();
    }
}
