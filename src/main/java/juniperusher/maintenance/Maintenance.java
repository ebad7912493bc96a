package juniperusher.maintenance;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import juniperusher.Protocol.Phase;
import juniperusher.Protocol.Target;
import juniperusher.membership.Endpoint;
import juniperusher.membership.Snapshot;
import org.pcollections.PMap;

/**
 * Set of the endpoints that operators have put under maintenance, by their ids at discovery. Such an endpoint is passed
 * to the decision module as draining even if discovery lists it as ready; one that is gone stays gone. Immutable:
 * {@link #enter} and {@link #exit} return a new value.
 */
public final class Maintenance {
    /** No endpoint under maintenance. */
    public static final Maintenance NONE = new Maintenance(new TreeSet<>());

    private static final String HEADER = "juniperusher maintenance 1";
    private static final String FOOTER = "end";

    private final TreeSet<String> endpointIds;

    private Maintenance(TreeSet<String> endpointIds) {
        this.endpointIds = endpointIds;
    }

    /** Returns this set with {@code id}. Entering is idempotent, so a single exit undoes any number of entries. */
    public Maintenance enter(String id) {
        TreeSet<String> extended = new TreeSet<>(endpointIds);
        extended.add(id);
        return new Maintenance(extended);
    }

    /** Returns this set without {@code id}. */
    public Maintenance exit(String id) {
        TreeSet<String> reduced = new TreeSet<>(endpointIds);
        reduced.remove(id);
        return new Maintenance(reduced);
    }

    /** Whether {@code id} is under maintenance. */
    public boolean contains(String id) {
        return endpointIds.contains(id);
    }

    /** The ids under maintenance in ascending order; unmodifiable. */
    public Set<String> endpointIds() {
        return java.util.Collections.unmodifiableSet(endpointIds);
    }

    /** Returns the snapshot of discovery with every ready endpoint under maintenance changed to draining. */
    public Snapshot applyTo(Snapshot discovered) {
        PMap<Integer, Endpoint> result = discovered.endpoints();
        for (Map.Entry<Integer, Endpoint> numbered : discovered.endpoints().entrySet()) {
            Endpoint endpoint = numbered.getValue();
            if (endpointIds.contains(endpoint.id()) && endpoint.target().phase() == Phase.READY) {
                result = result.plus(
                        numbered.getKey(),
                        new Endpoint(
                                endpoint.id(), draining(endpoint.target()), endpoint.address(), endpoint.phaseSince()));
            }
        }
        return result == discovered.endpoints()
                ? discovered
                : new Snapshot(
                        discovered.serial(),
                        discovered.source(),
                        discovered.version(),
                        discovered.confirmed(),
                        discovered.updatedAt(),
                        result,
                        discovered.destinations());
    }

    /** Returns the target, changed to draining if it is ready and its endpoint {@code id} is under maintenance. */
    public Target applyTo(String id, Target target) {
        return endpointIds.contains(id) && target.phase() == Phase.READY ? draining(target) : target;
    }

    /**
     * Returns the targets whose phase differs between the maintenance {@code before} and this one, as they are now.
     *
     * @param discovered current snapshot of discovery, without maintenance applied
     */
    public List<Target> changedFrom(Maintenance before, Snapshot discovered) {
        List<Target> changed = new ArrayList<>();
        for (Endpoint endpoint : discovered.endpoints().values()) {
            Target now = applyTo(endpoint.id(), endpoint.target());
            if (now.phase() != before.applyTo(endpoint.id(), endpoint.target()).phase()) {
                changed.add(now);
            }
        }
        return changed;
    }

    /** Whether the snapshot contains an endpoint with the id. */
    public static boolean isKnown(String id, Snapshot discovered) {
        return discovered.endpoints().values().stream()
                .anyMatch(endpoint -> endpoint.id().equals(id));
    }

    /** Content of the maintenance file: a header line, one id per line, and a footer that marks it as complete. */
    public String serialize() {
        StringBuilder out = new StringBuilder(HEADER).append('\n');
        endpointIds.forEach(id -> out.append(id).append('\n'));
        return out.append(FOOTER).append('\n').toString();
    }

    /**
     * Parses the result of {@link #serialize()}.
     *
     * @throws IllegalArgumentException if the text is incomplete or malformed
     */
    public static Maintenance parse(String text) {
        List<String> lines = List.of(text.split("\n", -1));
        if (lines.size() < 3
                || !lines.get(0).equals(HEADER)
                || !lines.get(lines.size() - 2).equals(FOOTER)
                || !lines.get(lines.size() - 1).isEmpty()) {
            throw new IllegalArgumentException("expected '" + HEADER + "', one id per line, and '" + FOOTER + "'");
        }
        TreeSet<String> endpointIds = new TreeSet<>();
        for (String id : lines.subList(1, lines.size() - 2)) {
            if (id.isBlank()) {
                throw new IllegalArgumentException("blank line instead of an endpoint id");
            }
            endpointIds.add(id);
        }
        return new Maintenance(endpointIds);
    }

    private static Target draining(Target target) {
        return new Target(
                target.id(), target.destination(), target.kind(), target.zone(), target.weight(), Phase.DRAINING);
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof Maintenance that && that.endpointIds.equals(endpointIds);
    }

    @Override
    public int hashCode() {
        return endpointIds.hashCode();
    }

    @Override
    public String toString() {
        return "maintenance " + endpointIds;
    }
}
