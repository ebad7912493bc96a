package juniperusher.membership;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import juniperusher.Protocol.Phase;
import juniperusher.Protocol.Target;
import juniperusher.Protocol.TargetList;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;
import org.pcollections.PSet;

/**
 * Merges the endpoint lists of all sources and assigns a number to each endpoint. The last entry of every source
 * is kept for each endpoint. If sources disagree on the phase, the most cautious one wins: {@code GONE}, then
 * {@code DRAINING}, then {@code READY}. Address, kind, zone and weight come from the highest-ranked source that
 * still lists the endpoint. An endpoint that returns after it was gone gets a new number, because measurements of
 * the old one, such as its health, need not apply to it. Not thread-safe.
 */
final class EndpointRegistry {
    private final List<String> sources;
    private final double goneRetentionSeconds;
    private PMap<String, Registration> registrations = HashTreePMap.empty();
    private Snapshot snapshot = Snapshot.EMPTY;
    private int lastNumber;

    /** Number of an endpoint, and the last entry of each source for it. */
    private record Registration(int number, PMap<String, EndpointEntry> entries) {}

    /**
     * Result of an update.
     *
     * @param snapshot the new state
     * @param changedTargets targets that are new or differ from the previous state
     * @param vacatedEndpoints former endpoints that are gone or have moved; idle connections to them can be closed
     */
    record Change(Snapshot snapshot, TargetList changedTargets, List<Endpoint> vacatedEndpoints) {}

    /**
     * Creates an empty registry.
     *
     * @param sources              names of the sources in descending rank
     * @param goneRetentionSeconds time for which an endpoint that is gone stays in the snapshot
     */
    EndpointRegistry(List<String> sources, double goneRetentionSeconds) {
        this.sources = List.copyOf(sources);
        this.goneRetentionSeconds = goneRetentionSeconds;
    }

    Snapshot snapshot() {
        return snapshot;
    }

    /** Adds targets that already have numbers and that no source lists; updates do not change them. */
    Change addFixedTargets(List<Target> targets, double now) {
        PMap<Integer, Endpoint> endpoints = snapshot.endpoints();
        PSet<Integer> destinations = snapshot.destinations();
        for (Target target : targets) {
            endpoints = endpoints.plus(target.id(), new Endpoint("", target, null, now));
            destinations = destinations.plus(target.destination());
        }
        snapshot = new Snapshot(
                snapshot.serial() + 1,
                snapshot.source(),
                snapshot.version(),
                snapshot.confirmed(),
                snapshot.updatedAt(),
                endpoints,
                destinations);
        return new Change(snapshot, new TargetList(false, targets), List.of());
    }

    /**
     * Applies an update of a source as a whole.
     *
     * @param origin    origin to record in the new snapshot
     * @param confirmed whether to mark the new snapshot as confirmed by discovery
     * @throws IllegalArgumentException if the source is unknown
     */
    Change apply(String source, EndpointUpdate update, String origin, boolean confirmed, double now) {
        if (!sources.contains(source)) {
            throw new IllegalArgumentException("unknown source '" + source + "'; known sources: " + sources);
        }
        Map<String, EndpointEntry> newEntries = new LinkedHashMap<>();
        update.entries().forEach(entry -> newEntries.put(entry.id(), entry));
        if (update.fullList()) {
            registrations.forEach((id, registration) -> {
                EndpointEntry previous = registration.entries().get(source);
                if (previous != null && !update.unreadableIds().contains(id)) {
                    newEntries.putIfAbsent(id, previous.asGone());
                }
            });
        }
        PMap<Integer, Endpoint> endpoints = withoutExpired(snapshot.endpoints(), now);
        PSet<Integer> destinations = snapshot.destinations();
        List<Target> changedTargets = new ArrayList<>();
        List<Endpoint> vacatedEndpoints = new ArrayList<>();
        for (EndpointEntry entry : newEntries.values()) {
            Endpoint previous = currentEndpoint(entry.id());
            Endpoint merged = merge(source, entry, previous, now);
            if (merged == null || merged.equals(previous)) {
                continue;
            }
            boolean moved = previous != null && !Objects.equals(previous.address(), merged.address());
            if (previous != null && (moved || merged.target().phase() == Phase.GONE)) {
                vacatedEndpoints.add(previous);
            }
            if (previous == null || !previous.target().equals(merged.target())) {
                changedTargets.add(merged.target());
            }
            endpoints = endpoints.plus(merged.target().id(), merged);
            destinations = destinations.plus(merged.target().destination());
        }
        snapshot =
                new Snapshot(snapshot.serial() + 1, origin, update.version(), confirmed, now, endpoints, destinations);
        return new Change(snapshot, new TargetList(false, changedTargets), vacatedEndpoints);
    }

    /** The endpoint with this id unless it is gone, else null. */
    private Endpoint currentEndpoint(String id) {
        Registration registration = registrations.get(id);
        Endpoint endpoint = registration == null ? null : snapshot.endpoints().get(registration.number());
        return endpoint == null || endpoint.target().phase() == Phase.GONE ? null : endpoint;
    }

    /** Records the entry and returns the merged endpoint, or null if no endpoint results from it. */
    private Endpoint merge(String source, EndpointEntry entry, Endpoint previous, double now) {
        Registration registration = registrations.get(entry.id());
        PMap<String, EndpointEntry> entries = registration == null ? HashTreePMap.empty() : registration.entries();
        EndpointEntry lastEntry = entries.get(source);
        entries = entries.plus(source, entry.withDefaultAddress(lastEntry == null ? null : lastEntry.address()));
        Phase phase = entries.values().stream()
                .map(EndpointEntry::phase)
                .max(Comparator.naturalOrder())
                .orElseThrow();
        boolean listed = entries.values().stream().anyMatch(entryOfSource -> entryOfSource.phase() != Phase.GONE);
        if (!listed) {
            registrations = registrations.minus(entry.id()); // if it returns, it gets a new number
            return previous == null
                    ? null
                    : new Endpoint(previous.id(), previous.target().gone(), previous.address(), now);
        }
        if (previous == null && phase == Phase.GONE) {
            registrations = registrations.plus(
                    entry.id(), new Registration(registration == null ? 0 : registration.number(), entries));
            return null; // one source lists it, another says that it is gone
        }
        int number = previous != null ? previous.target().id() : ++lastNumber;
        registrations = registrations.plus(entry.id(), new Registration(number, entries));
        EndpointEntry highestRanked = highestRankedEntry(entries);
        InetSocketAddress address = highestRanked.address() != null
                ? highestRanked.address()
                : entries.values().stream()
                        .map(EndpointEntry::address)
                        .filter(Objects::nonNull)
                        .findFirst()
                        .orElse(null);
        // Without an address no call can reach the endpoint, so it counts as draining.
        phase = address == null && phase == Phase.READY ? Phase.DRAINING : phase;
        Target target = new Target(
                number,
                highestRanked.destination(),
                highestRanked.kind(),
                highestRanked.zone(),
                highestRanked.weight(),
                phase);
        boolean samePhase = previous != null && previous.target().phase() == phase;
        return new Endpoint(entry.id(), target, address, samePhase ? previous.phaseSince() : now);
    }

    private EndpointEntry highestRankedEntry(PMap<String, EndpointEntry> entries) {
        for (String source : sources) {
            EndpointEntry candidate = entries.get(source);
            if (candidate != null && candidate.phase() != Phase.GONE) {
                return candidate;
            }
        }
        throw new IllegalStateException("no source lists the endpoint");
    }

    /**
     * Removes endpoints that have been gone for longer than the retention time, which bounds the list. No call to
     * them is in flight any more.
     */
    private PMap<Integer, Endpoint> withoutExpired(PMap<Integer, Endpoint> endpoints, double now) {
        Set<Integer> expired = new HashSet<>();
        endpoints.forEach((number, endpoint) -> {
            if (endpoint.target().phase() == Phase.GONE && now - endpoint.phaseSince() > goneRetentionSeconds) {
                expired.add(number);
            }
        });
        return endpoints.minusAll(expired);
    }
}
