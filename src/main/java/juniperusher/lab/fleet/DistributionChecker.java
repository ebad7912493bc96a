package juniperusher.lab.fleet;

import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import juniperusher.distribution.Limits;
import juniperusher.distribution.Publisher;
import juniperusher.distribution.Version;

/**
 * Checks what must hold while a state is distributed: who holds a version holds the state that was published under
 * it, versions only grow, nobody thinks himself more current than he is, and a publisher keeps to its bounds.
 */
public final class DistributionChecker {
    private static final int CONTROLS = 21; // that are served beyond the bound
    private static final double SLACK = 1e-6; // s, of adding up times

    private final Limits limits;
    private final TreeMap<Version, Published> published = new TreeMap<>();
    private final Map<String, Version> held = new HashMap<>();
    private boolean oneLeader = true;
    private String broken; // the first break, or null

    private record Published(Ledger state, double at) {}

    /** A checker for publishers of these bounds. */
    public DistributionChecker(Limits limits) {
        this.limits = limits;
    }

    /** A leader has published it. */
    public void published(double at, Version version, Ledger state) {
        Published before = published.putIfAbsent(version, new Published(state, at));
        if (before != null && !before.state().equals(state)) {
            fail(at, version + " was published twice");
        }
    }

    /** Two lead at once from now on, against the rule of leases: who follows one does not know of the other. */
    public void twoLead() {
        oneLeader = false;
    }

    /** A process has taken it over. */
    public void tookOver(double at, String node, Version version, Ledger state) {
        Published one = published.get(version);
        if (one == null || !one.state().equals(state)) {
            fail(at, node + " holds " + state + " as " + version + ", published was " + one);
        }
        Version before = held.put(node, version);
        if (before != null && !version.isAfter(before)) {
            fail(at, node + " went from " + before + " to " + version);
        }
    }

    /** The process was started anew without a state. */
    public void emptied(String node) {
        held.remove(node);
    }

    /** A process tells for how long its state may have been out of date. */
    public void staleness(double at, String node, Version version, double told) {
        Map.Entry<Version, Published> next = published.higherEntry(version);
        if (oneLeader && next != null && told < at - next.getValue().at() - SLACK) {
            fail(
                    at,
                    node + " has " + version + " and tells " + told + " s, but " + next.getKey()
                            + " has been there since " + next.getValue().at());
        }
    }

    /** What a publisher holds in memory. */
    public void memory(double at, String node, Publisher.Memory memory) {
        int largest = Math.max(limits.maxPartBytes(), limits.maxDeltaBytes() + limits.maxChangeBytes());
        int frame = 128; // what a frame has beside
        if (memory.maxInFlightBytes() > limits.windowBytes() + largest + frame
                || memory.logChanges() > limits.maxLogChanges()
                || memory.logBytes() > limits.maxLogBytes()
                || memory.subscribers() > limits.maxSubscribers() + CONTROLS
                || memory.snapshotSlotsInUse() > limits.maxConcurrentSnapshots()) {
            fail(at, node + " is beyond its bounds: " + memory);
        }
    }

    /** The newest version that was published. */
    public Version newest() {
        return published.lastKey();
    }

    /** Its state. */
    public Ledger newestState() {
        return published.lastEntry().getValue().state();
    }

    /** The first break, or null. */
    public String broken() {
        return broken;
    }

    private void fail(double at, String what) {
        if (broken == null) {
            broken = "at " + at + " s: " + what;
        }
    }
}
