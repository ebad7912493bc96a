package juniperusher.membership;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/**
 * The watch on discovery: at most one is in force, and whenever none is, one is due. An index counts only
 * where it was told, so at an address that has told nothing yet the whole list is fetched first; the same
 * after a line that could not be read, since what it said would otherwise be missed for good. Each failure
 * in a row doubles a jittered pause: discovery serves a whole fleet, and what it turns away all at once
 * would come back all at once.
 */
final class Watch {
    private final Timing timing;
    private InetSocketAddress address;
    private int inForce; // 0 for none
    private int last;
    private boolean whole;
    private double heardAt;
    private double openAt;
    private boolean numbered;
    private long version;
    private double patience; // with the whole list; grows, since an agent that is always late is not silent
    private int failures; // in a row
    private boolean stopped;
    private final SplittableRandom random;

    Watch(Timing timing, SplittableRandom random) {
        this.timing = timing;
        this.random = random;
        patience = timing.silentWhole();
    }

    /**
     * Discovery is at this address from now on. The old one is left at once, whether or not it still talks.
     */
    List<Step> moved(InetSocketAddress to, double now) {
        address = to;
        numbered = false;
        patience = timing.silentWhole();
        failures = 0;
        List<Step> steps = new ArrayList<>(leave());
        openAt = now;
        steps.addAll(tick(now));
        return steps;
    }

    /** Something came on the watch, be it an empty line; whether that watch is in force. */
    boolean heard(int watch, double now) {
        if (watch != inForce || watch == 0) {
            return false;
        }
        heardAt = now;
        failures = 0;
        return true;
    }

    /** The watch in force has told of the state of this version. */
    List<Step> told(long of, double now) {
        version = of;
        numbered = true;
        patience = timing.silentWhole();
        if (!whole) {
            return List.of();
        }
        inForce = 0; // the answer is complete: the watch proper goes on from here
        openAt = now;
        return tick(now);
    }

    /** What came on the watch could not be read. */
    List<Step> damaged(int watch, double now) {
        if (watch != inForce || watch == 0) {
            return List.of();
        }
        numbered = false;
        openAt = now + pause();
        return leave();
    }

    /** Discovery refused the watch and told to wait so many seconds, 0 for none: the index still counts. */
    List<Step> turnedAway(int watch, double told, double now) {
        if (watch != inForce || watch == 0) {
            return List.of();
        }
        openAt = now + Math.min(told, timing.most()) + pause(); // guards against a wait that never ends
        return leave();
    }

    /** The watch has ended by itself. */
    List<Step> ended(int watch, double now) {
        if (watch == inForce && watch != 0) {
            inForce = 0;
            openAt = now + pause();
        }
        return List.of();
    }

    /** Time passes: a silent watch is given up, one that is due is opened. */
    List<Step> tick(double now) {
        if (stopped || address == null) {
            return List.of();
        }
        List<Step> steps = new ArrayList<>();
        if (inForce != 0 && now - heardAt > silence()) {
            patience = Math.min(timing.silent(), whole ? patience * 2 : patience);
            steps.addAll(leave());
            openAt = now + pause();
        }
        if (inForce == 0 && now >= openAt) {
            inForce = ++last;
            whole = !numbered;
            heardAt = now;
            steps.add(new Step.Open(inForce, address, whole, version));
        }
        return steps;
    }

    /** No watch is opened any more. */
    List<Step> stop() {
        stopped = true;
        return leave();
    }

    private List<Step> leave() {
        if (inForce == 0) {
            return List.of();
        }
        int left = inForce;
        inForce = 0;
        return List.of(new Step.Abandon(left));
    }

    /** Half of a doubling, bounded base and a random share of the other half. */
    private double pause() {
        double base = Math.min(timing.most(), timing.again() * Math.pow(2, failures++));
        return base / 2 + random.nextDouble() * base / 2;
    }

    int inForce() {
        return inForce;
    }

    /** When the next tick has something to do: never later than the patience with a silent watch. */
    double due() {
        return inForce == 0 ? openAt : heardAt + silence();
    }

    private double silence() {
        return whole ? patience : timing.silent();
    }
}
