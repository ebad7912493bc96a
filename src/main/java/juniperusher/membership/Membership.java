package juniperusher.membership;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import juniperusher.Protocol.Target;
import juniperusher.Protocol.TargetList;

/**
 * State machine that maintains the list of endpoints from discovery and from additional sources. It performs no
 * I/O: a single thread passes in events, each with its time in seconds of a monotonic clock, and carries out the
 * returned steps in order. Data from an abandoned watch is ignored. Updates of additional sources arrive through
 * {@link #sourceUpdated}. Not thread-safe.
 */
public final class Membership {
    /** Source name of discovery. */
    public static final String DISCOVERY = "discovery";

    private final EndpointRegistry registry;
    private final DiscoveryWatch watch;
    private String discoveryAddress = "none";
    private double lastDataAt;

    /**
     * Creates a membership without endpoints.
     *
     * @param timing            timeouts and backoffs of the watch on discovery
     * @param additionalSources names of additional sources in descending rank; discovery ranks above all of them
     * @param seed              seed of the jitter of backoffs
     */
    public Membership(WatchTiming timing, List<String> additionalSources, long seed) {
        List<String> sources = new ArrayList<>(List.of(DISCOVERY));
        sources.addAll(additionalSources);
        registry = new EndpointRegistry(sources, timing.goneRetentionSeconds());
        watch = new DiscoveryWatch(timing, new SplittableRandom(seed));
    }

    /**
     * Sets the initial state, before discovery has answered.
     *
     * @param savedList    list of discovery that an earlier process has saved; it may be empty
     * @param fixedTargets targets that no source lists and that stay as they are
     */
    public Snapshot initialize(EndpointUpdate savedList, List<Target> fixedTargets, double now) {
        registry.addFixedTargets(fixedTargets, now);
        lastDataAt = now;
        return registry.apply(DISCOVERY, savedList, "known", false, now).snapshot();
    }

    /** All targets of a snapshot in the order of their numbers, as the initial list for the decision module. */
    public static TargetList fullTargetList(Snapshot snapshot) {
        return new TargetList(
                true,
                snapshot.endpoints().values().stream()
                        .map(Endpoint::target)
                        .sorted((a, b) -> Integer.compare(a.id(), b.id()))
                        .toList());
    }

    /** Sets the address of discovery, at the start and whenever it changes; an open watch is abandoned. */
    public List<Step> discoveryMoved(InetSocketAddress address, double now) {
        discoveryAddress = address.getAddress() == null
                ? address.toString()
                : address.getAddress().getHostAddress() + ':' + address.getPort();
        return watch.addressChanged(address, now);
    }

    /** Data has arrived on a watch; an empty line counts. */
    public List<Step> dataReceived(int watchNumber, double now) {
        if (watch.dataReceived(watchNumber, now)) {
            lastDataAt = now;
        }
        return List.of();
    }

    /** Whether an update of this version on the watch is older than the present state, so that it is not applied. */
    public boolean isOutdated(int watchNumber, long version) {
        return watch.isOutdated(watchNumber, version);
    }

    /**
     * A readable update has arrived on a watch. One that is older than the present state is not applied; the full list
     * tells whether it was repeated or discovery went back.
     */
    public List<Step> updateReceived(int watchNumber, EndpointUpdate update, double now) {
        if (watch.isOutdated(watchNumber, update.version())) {
            watch.dataReceived(watchNumber, now);
            return watch.unreadableDataReceived(watchNumber, now);
        }
        if (!watch.dataReceived(watchNumber, now) || !watch.accepts(watchNumber, update.version())) {
            return List.of();
        }
        lastDataAt = now;
        List<Step> steps = publish(registry.apply(DISCOVERY, update, discoveryAddress, true, now));
        steps.addAll(watch.updateApplied(watchNumber, update.version(), now));
        return steps;
    }

    /** Unreadable data has arrived on a watch; the full list is fetched while the watch continues. */
    public List<Step> unreadableDataReceived(int watchNumber, double now) {
        return watch.unreadableDataReceived(watchNumber, now);
    }

    /** Discovery has refused a watch as overloaded, with a retry-after delay in seconds, 0 if it gave none. */
    public List<Step> watchRefused(int watchNumber, double retryAfterSeconds, double now) {
        return watch.refused(watchNumber, retryAfterSeconds, now);
    }

    /** A watch has ended for any reason. */
    public List<Step> watchEnded(int watchNumber, double now) {
        return watch.ended(watchNumber, now);
    }

    /**
     * An additional source has sent an update.
     *
     * @throws IllegalArgumentException if the source is unknown
     */
    public List<Step> sourceUpdated(String source, EndpointUpdate update, double now) {
        return publish(
                registry.apply(source, update, source, registry.snapshot().confirmed(), now));
    }

    /** Opens and replaces watches whose time has come; has to be called no later than {@link #nextTickAt}. */
    public List<Step> tick(double now) {
        return watch.tick(now);
    }

    /** Abandons all watches; no further watch is opened. */
    public List<Step> stop() {
        return watch.stop();
    }

    private List<Step> publish(EndpointRegistry.Change change) {
        List<Step> steps = new ArrayList<>();
        steps.add(new Step.Publish(change.snapshot(), change.changedTargets(), change.vacatedEndpoints()));
        return steps;
    }

    /** The current state. */
    public Snapshot snapshot() {
        return registry.snapshot();
    }

    /** Time at which data of discovery last arrived, in seconds of the events' clock; an empty line counts. */
    public double lastDataAt() {
        return lastDataAt;
    }

    /** Number of the current watch, 0 for none. */
    public int currentWatch() {
        return watch.current();
    }

    /** Time of the next {@link #tick}, in seconds of the events' clock. */
    public double nextTickAt() {
        return watch.nextTickAt();
    }
}
