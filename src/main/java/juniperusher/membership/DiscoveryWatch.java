package juniperusher.membership;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.TreeMap;

/**
 * State machine that keeps one watch on discovery open. At most one watch is current; while there is none, the
 * opening of the next is scheduled. Not thread-safe; times are seconds of the events' clock.
 *
 * <p>A version of the list is only valid at the address that sent it. The full list is therefore fetched first at a
 * new address, and again after an unreadable change, whose content would otherwise be lost. A watch on which no data
 * arrives is replaced at once but stays open for a while: the cause of the silence is unknown, and of both the first on
 * which an update arrives becomes the current one. After an end or a refusal the next watch is opened after a jittered,
 * doubling backoff, because discovery serves a whole fleet and relays that are refused together would otherwise
 * return together.
 */
final class DiscoveryWatch {
    /** Maximum number of replaced watches that stay open; bounds the file descriptors in use. */
    private static final int MAX_REPLACED_WATCHES = 2;
    /** After this time without unreadable data, the backoff before the full list is fetched starts short again. */
    private static final double UNREADABLE_RESET_SECONDS = 10;

    private final WatchTiming timing;
    private InetSocketAddress address;
    private int current; // number of the current watch, 0 for none
    private int lastNumber;
    private boolean fullListRequested; // whether the current watch requests the full list
    private boolean dataReceived; // on the current watch
    private double openedAt;
    private double lastDataAt;
    private double nextOpenAt;
    private boolean versionKnown; // whether the version is valid at this address
    private long version;
    private double firstByteTimeoutSeconds; // twice the time that the last first byte took, within bounds
    private int consecutiveFailures;
    private int recentUnreadable; // times, at intervals of at most UNREADABLE_RESET_SECONDS
    private double lastUnreadableAt = Double.NEGATIVE_INFINITY;
    private boolean stopped;
    // Replaced watches that are still open, by number, and whether each requested the full list.
    private final TreeMap<Integer, Boolean> replaced = new TreeMap<>();
    private final SplittableRandom random;

    DiscoveryWatch(WatchTiming timing, SplittableRandom random) {
        this.timing = timing;
        this.random = random;
        firstByteTimeoutSeconds = timing.firstByteTimeoutSeconds();
    }

    /** Sets the address of discovery. Watches at the old address are abandoned, even if data still arrives. */
    List<Step> addressChanged(InetSocketAddress newAddress, double now) {
        address = newAddress;
        versionKnown = false;
        version = Long.MIN_VALUE;
        firstByteTimeoutSeconds = timing.firstByteTimeoutSeconds();
        consecutiveFailures = 0;
        recentUnreadable = 0;
        List<Step> steps = new ArrayList<>(abandonCurrent());
        steps.addAll(abandonReplaced());
        nextOpenAt = now;
        steps.addAll(tick(now));
        return steps;
    }

    /**
     * Records that data has arrived on the watch, which includes a response header or an empty line.
     *
     * @return whether the watch is still open
     */
    boolean dataReceived(int watch, double now) {
        if (watch != current || watch == 0) {
            return replaced.containsKey(watch);
        }
        if (!dataReceived) {
            firstByteTimeoutSeconds = Math.min(
                    timing.silenceTimeoutSeconds(), Math.max(timing.firstByteTimeoutSeconds(), 2 * (now - openedAt)));
        }
        dataReceived = true;
        lastDataAt = now;
        consecutiveFailures = 0;
        return true;
    }

    /**
     * Whether to apply an update of this version from the watch. A delayed update of a replaced watch is only applied
     * if it is newer than the present state, which it would otherwise revert.
     */
    boolean accepts(int watch, long updateVersion) {
        if (watch == current && watch != 0) {
            return true;
        }
        Boolean requestedFullList = replaced.get(watch);
        return requestedFullList != null && (updateVersion > version || requestedFullList && updateVersion == version);
    }

    /** Whether the update is older than the present state, as a repeated one is, which it would revert. */
    boolean isOutdated(int watch, long updateVersion) {
        return watch == current && watch != 0 && versionKnown && updateVersion < version;
    }

    /** Records that an update of this version, which {@link #accepts} has accepted, was applied. */
    List<Step> updateApplied(int watch, long appliedVersion, double now) {
        version = appliedVersion;
        List<Step> steps = new ArrayList<>();
        if (watch != current) {
            boolean requestedFullList = replaced.get(watch);
            if (!requestedFullList && !versionKnown) {
                return List.of(); // the full list is still needed to recover the lost change
            }
            replaced.remove(watch);
            steps.addAll(abandonCurrent()); // the replaced watch was the first to receive an update
            current = watch;
            fullListRequested = requestedFullList;
            dataReceived = true;
            lastDataAt = now;
        }
        versionKnown = true;
        steps.addAll(abandonReplaced());
        if (fullListRequested) {
            current = 0; // the list is complete; a watch on changes follows
            nextOpenAt = now;
        }
        steps.addAll(tick(now));
        return steps;
    }

    /**
     * Handles unreadable data. The watch stays open and its further updates are applied until the full list has
     * restored the lost change.
     */
    List<Step> unreadableDataReceived(int watch, double now) {
        if (watch != current || watch == 0) {
            return List.of();
        }
        versionKnown = false;
        recentUnreadable = now - lastUnreadableAt > UNREADABLE_RESET_SECONDS ? 0 : recentUnreadable + 1;
        lastUnreadableAt = now;
        // The backoff is short at first, because the lost change may be a drain.
        nextOpenAt = now + backoff(recentUnreadable - 2, timing.maxBackoffSeconds());
        return fullListRequested ? abandonCurrent() : replaceCurrent();
    }

    /**
     * Handles a refusal by discovery. The known version stays valid.
     *
     * @param retryAfterSeconds retry-after delay in seconds, 0 if discovery gave none
     */
    List<Step> refused(int watch, double retryAfterSeconds, double now) {
        if (watch != current || watch == 0) {
            return List.of();
        }
        // The retry-after delay gets at most half of the longest backoff, so that changes are known in time however
        // long it is. The other half is jittered, which spreads relays that got the same delay.
        double boundedRetryAfter = Math.min(retryAfterSeconds, timing.maxBackoffSeconds() / 2);
        nextOpenAt = now
                + boundedRetryAfter
                + backoff(consecutiveFailures++, timing.maxBackoffSeconds() - boundedRetryAfter);
        return abandonCurrent();
    }

    /** Handles the end of the watch by discovery or the network. */
    List<Step> ended(int watch, double now) {
        replaced.remove(watch);
        if (watch == current && watch != 0) {
            current = 0;
            nextOpenAt = now + backoff(consecutiveFailures++, timing.maxBackoffAfterEndSeconds());
        }
        return List.of();
    }

    /** Replaces the current watch if it is silent, and opens the next one if its time has come. */
    List<Step> tick(double now) {
        if (stopped || address == null) {
            return List.of();
        }
        List<Step> steps = new ArrayList<>();
        if (current != 0 && now - lastDataAt > silenceTimeoutSeconds()) {
            firstByteTimeoutSeconds = dataReceived && !fullListRequested
                    ? firstByteTimeoutSeconds
                    : Math.min(timing.silenceTimeoutSeconds(), 2 * firstByteTimeoutSeconds);
            steps.addAll(replaceCurrent());
            nextOpenAt = now;
        }
        if (current == 0 && now >= nextOpenAt) {
            current = ++lastNumber;
            fullListRequested = !versionKnown;
            dataReceived = false;
            openedAt = now;
            lastDataAt = now;
            steps.add(new Step.Open(current, address, fullListRequested, versionKnown ? version : 0));
        }
        return steps;
    }

    /** Abandons all watches; no further one is opened. */
    List<Step> stop() {
        stopped = true;
        List<Step> steps = new ArrayList<>(abandonCurrent());
        steps.addAll(abandonReplaced());
        return steps;
    }

    private List<Step> abandonCurrent() {
        if (current == 0) {
            return List.of();
        }
        int abandoned = current;
        current = 0;
        return List.of(new Step.Abandon(abandoned));
    }

    private List<Step> replaceCurrent() {
        replaced.put(current, fullListRequested);
        current = 0;
        return replaced.size() > MAX_REPLACED_WATCHES
                ? List.of(new Step.Abandon(replaced.pollFirstEntry().getKey()))
                : List.of();
    }

    private List<Step> abandonReplaced() {
        List<Step> steps = new ArrayList<>();
        replaced.keySet().forEach(watch -> steps.add(new Step.Abandon(watch)));
        replaced.clear();
        return steps;
    }

    /** A random time between half of the doubled, bounded base and all of it, in seconds. */
    private double backoff(int doublings, double maxSeconds) {
        double base = Math.min(maxSeconds, timing.firstBackoffSeconds() * Math.pow(2, doublings));
        return base / 2 + random.nextDouble() * base / 2;
    }

    int current() {
        return current;
    }

    /** Time of the next tick: the opening of the next watch, or the silence timeout of the current one. */
    double nextTickAt() {
        return current == 0 ? nextOpenAt : lastDataAt + silenceTimeoutSeconds();
    }

    private double silenceTimeoutSeconds() {
        return dataReceived && !fullListRequested ? timing.silenceTimeoutSeconds() : firstByteTimeoutSeconds;
    }
}
