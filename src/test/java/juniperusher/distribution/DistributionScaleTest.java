package juniperusher.distribution;

import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.stream.Collectors;
import juniperusher.lab.fleet.DistributionWorld;
import org.junit.jupiter.api.Test;

/**
 * A day's faults, compressed, over many relays in virtual time, with the figures printed. A tenth of the fleet and a
 * cut of a minute by default; the fleet's size and an hour, which takes minutes, with {@code
 * -Ddistribution.relays=4300 -Ddistribution.cut=60}.
 */
class DistributionScaleTest {
    private static final long SEED = 20_261_202;
    private static final int RELAYS = Integer.getInteger("distribution.relays", 430);
    private static final int CUT = Integer.getInteger("distribution.cut", 1); // minutes for which a region is cut off
    private static final int CONTROLS = 21;
    private static final double DELAY = 0.05; // s each way, as between regions
    private static final int STATE_BYTES = Integer.getInteger("distribution.state", 20_000);
    private static final int CHANGE_BYTES = 24;
    private static final double IN_FORCE = 13; // s
    private static final double BUDGET = 8 * 1_024; // bytes a second for each relay

    private final DistributionWorld world = new DistributionWorld(new DistributionWorld.Setting(
            CONTROLS, RELAYS, Timing.USUAL, Limits.USUAL, DELAY, STATE_BYTES, CHANGE_BYTES, SEED));
    private double now;

    private void run(double seconds) {
        now += seconds;
        world.run(now);
        assertNull(world.broken());
    }

    private void converged(String what, double from) {
        assertNull(world.behind(), () -> what + ": " + world.behind() + " is behind");
        report(what + ": in force at the last relay after", world.lastTakeOver() - from, "s");
        assertTrue(world.lastTakeOver() - from < IN_FORCE);
    }

    private static void report(String what, double value, String unit) {
        System.out.println(String.format(Locale.ROOT, "%d relays, %s %.3f %s", RELAYS, what, value, unit));
    }

    private long[] bytes() {
        return world.relays().stream().mapToLong(world::bytesTo).toArray();
    }

    /** Bytes a second to the relay that got the most, since then. */
    private double mostSince(long[] before, double seconds) {
        long[] after = bytes();
        double most = 0;
        for (int i = 0; i < after.length; i++) {
            most = Math.max(most, (after[i] - before[i]) / seconds);
        }
        return most;
    }

    private double mostStale() {
        return world.relays().stream()
                .filter(world::alive)
                .mapToDouble(world::staleness)
                .max()
                .orElseThrow();
    }

    @Test
    void aDaysChangesReachTheLastRelayInTime() {
        System.out.println("seed " + SEED + ", state of " + STATE_BYTES + " B, changes of " + CHANGE_BYTES + " B, "
                + DELAY + " s each way");
        run(60);
        report("all start without a state: the last one has it after", world.lastTakeOver(), "s");
        quiet();
        changesOneByOne();
        burst();
        controlProcessesKilled();
        leaderKilled();
        restarts();
        regionBack();
        leaderCutOff();
    }

    private void quiet() {
        long[] before = bytes();
        double stale = 0;
        for (int i = 0; i < 300; i++) {
            run(0.1);
            stale = Math.max(stale, mostStale());
        }
        report("quiet: bytes a second to the busiest relay", mostSince(before, 30), "B");
        report("quiet: greatest staleness told", stale, "s");
    }

    /** 11,000 a day are one in 7.9 s; here ten times as many. */
    private void changesOneByOne() {
        long[] before = bytes();
        double latest = 0;
        for (int i = 0; i < 100; i++) {
            double from = now;
            world.change(1);
            run(0.79);
            assertNull(world.behind());
            latest = Math.max(latest, world.lastTakeOver() - from);
        }
        report("a change each 0.79 s: in force at the last relay at most after", latest, "s");
        report("a change each 0.79 s: bytes a second to the busiest relay", mostSince(before, 79), "B");
    }

    private void burst() {
        long[] before = bytes();
        double from = now;
        world.change(11_000);
        run(IN_FORCE);
        converged("11,000 changes at once", from);
        report("11,000 changes at once: bytes to the busiest relay", mostSince(before, 1), "B");
        long[] after = bytes();
        run(60 - IN_FORCE);
        report(
                "11,000 changes at once: bytes a second to the busiest relay over the minute",
                mostSince(before, 60),
                "B");
        assertTrue(mostSince(after, 60 - IN_FORCE) < BUDGET);
    }

    private void controlProcessesKilled() {
        double from = now;
        world.change(100);
        run(0.12);
        Set<String> killed = Set.of("c2", "c3", "c4");
        killed.stream().sorted().forEach(world::kill);
        world.change(100);
        run(IN_FORCE - 0.12);
        converged("three control processes killed in the middle of a delta", from);
        killed.stream().sorted().forEach(world::start);
        run(10);
    }

    private void leaderKilled() {
        world.kill("c1");
        run(6); // the lease's time
        double from = now;
        world.elect("c9");
        world.change(1);
        run(IN_FORCE);
        converged("the leader killed, from the next one's first change", from);
        world.start("c1");
        run(10);
    }

    /** 790 a day, fifty times as fast, for a minute. */
    private void restarts() {
        SplittableRandom random = new SplittableRandom(SEED);
        List<String> relays = new ArrayList<>(world.relays());
        for (int i = 0; i < 27; i++) {
            String relay = relays.get(random.nextInt(relays.size()));
            world.kill(relay);
            world.change(1);
            run(1.1);
            world.start(relay);
            run(1.1);
        }
        double from = now;
        world.change(1);
        run(IN_FORCE);
        converged("27 relays restarted in a minute, a change after", from);
    }

    private void regionBack() {
        List<String> shuffled = new ArrayList<>(world.relays());
        Collections.shuffle(shuffled, new java.util.Random(SEED));
        Set<String> region = shuffled.stream().limit(RELAYS / 6).collect(Collectors.toSet());
        world.cut(region, true);
        for (int i = 0; i < CUT; i++) {
            world.change(8);
            run(60);
        }
        report("a sixth of the relays cut off for " + CUT + " min: greatest staleness told", mostStale(), "s");
        double from = now;
        long[] before = bytes();
        world.cut(region, false);
        run(IN_FORCE);
        converged("a sixth of the relays back after " + CUT + " min and " + 8 * CUT + " changes", from);
        report("a sixth of the relays back: bytes to the busiest relay", mostSince(before, 1), "B");
    }

    /** A partition between the leader and all others, for a minute. */
    private void leaderCutOff() {
        world.cut(Set.of(world.leader()), true);
        run(60);
        report("the leader cut off for a minute: greatest staleness told", mostStale(), "s");
        double from = now;
        world.cut(Set.of(world.leader()), false);
        world.change(1);
        run(IN_FORCE);
        converged("the leader back after a minute, a change then", from);
    }
}
