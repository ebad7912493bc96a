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
 * Simulates the changes and faults of a day, compressed, with many relays in virtual time, and prints figures. The
 * default is a tenth of the fleet and a regional outage of one minute. {@code -Ddistribution.relays=4300
 * -Ddistribution.cut=60} runs the full fleet and an outage of an hour, which takes minutes.
 */
class DistributionScaleTest {
    private static final long SEED = 20_261_202;
    private static final int RELAYS = Integer.getInteger("distribution.relays", 430);
    private static final int OUTAGE_MINUTES = Integer.getInteger("distribution.cut", 1);
    private static final int CONTROL_PROCESSES = 21;
    private static final double DELAY_SECONDS = 0.05; // each way, as between regions
    private static final int STATE_BYTES = Integer.getInteger("distribution.state", 20_000);
    private static final int CHANGE_BYTES = 24;
    private static final double MAX_ACTIVATION_SECONDS = 13;
    private static final double MAX_BYTES_PER_SECOND = 8 * 1_024; // to each relay

    private final DistributionWorld world = new DistributionWorld(new DistributionWorld.Setting(
            CONTROL_PROCESSES, RELAYS, Timing.DEFAULT, Limits.DEFAULT, DELAY_SECONDS, STATE_BYTES, CHANGE_BYTES, SEED));
    private double now;

    private void advance(double seconds) {
        now += seconds;
        world.run(now);
        assertNull(world.broken());
    }

    private void assertConverged(String what, double from) {
        assertNull(world.behind(), () -> what + ": " + world.behind() + " is behind");
        report(what + ": in force at the last relay after", world.lastTakeOver() - from, "s");
        assertTrue(world.lastTakeOver() - from < MAX_ACTIVATION_SECONDS);
    }

    private static void report(String what, double value, String unit) {
        System.out.println(String.format(Locale.ROOT, "%d relays, %s %.3f %s", RELAYS, what, value, unit));
    }

    private long[] bytesToRelays() {
        return world.relays().stream().mapToLong(world::bytesTo).toArray();
    }

    /** Average bytes per second to the relay that received most since {@code before}. */
    private double maxBytesPerSecondSince(long[] before, double seconds) {
        long[] after = bytesToRelays();
        double max = 0;
        for (int i = 0; i < after.length; i++) {
            max = Math.max(max, (after[i] - before[i]) / seconds);
        }
        return max;
    }

    private double maxStaleness() {
        return world.relays().stream()
                .filter(world::alive)
                .mapToDouble(world::staleness)
                .max()
                .orElseThrow();
    }

    @Test
    void changesReachAllRelaysInTimeDespiteFaults() {
        System.out.println("seed " + SEED + ", state of " + STATE_BYTES + " B, changes of " + CHANGE_BYTES + " B, "
                + DELAY_SECONDS + " s each way");
        advance(60);
        report("all start without a state: the last one has it after", world.lastTakeOver(), "s");
        withoutChanges();
        changesOneByOne();
        burstOfChanges();
        controlProcessesKilled();
        leaderKilled();
        relayRestarts();
        regionalOutage();
        leaderPartitioned();
    }

    private void withoutChanges() {
        long[] before = bytesToRelays();
        double stale = 0;
        for (int i = 0; i < 300; i++) {
            advance(0.1);
            stale = Math.max(stale, maxStaleness());
        }
        report("quiet: bytes a second to the busiest relay", maxBytesPerSecondSince(before, 30), "B");
        report("quiet: greatest staleness told", stale, "s");
    }

    /** 11,000 changes a day are one per 7.9 s; this runs ten times that rate. */
    private void changesOneByOne() {
        long[] before = bytesToRelays();
        double latest = 0;
        for (int i = 0; i < 100; i++) {
            double from = now;
            world.change(1);
            advance(0.79);
            assertNull(world.behind());
            latest = Math.max(latest, world.lastTakeOver() - from);
        }
        report("a change each 0.79 s: in force at the last relay at most after", latest, "s");
        report("a change each 0.79 s: bytes a second to the busiest relay", maxBytesPerSecondSince(before, 79), "B");
    }

    private void burstOfChanges() {
        long[] before = bytesToRelays();
        double from = now;
        world.change(11_000);
        advance(MAX_ACTIVATION_SECONDS);
        assertConverged("11,000 changes at once", from);
        report("11,000 changes at once: bytes to the busiest relay", maxBytesPerSecondSince(before, 1), "B");
        long[] after = bytesToRelays();
        advance(60 - MAX_ACTIVATION_SECONDS);
        report(
                "11,000 changes at once: bytes a second to the busiest relay over the minute",
                maxBytesPerSecondSince(before, 60),
                "B");
        assertTrue(maxBytesPerSecondSince(after, 60 - MAX_ACTIVATION_SECONDS) < MAX_BYTES_PER_SECOND);
    }

    private void controlProcessesKilled() {
        double from = now;
        world.change(100);
        advance(0.12);
        Set<String> killed = Set.of("c2", "c3", "c4");
        killed.stream().sorted().forEach(world::kill);
        world.change(100);
        advance(MAX_ACTIVATION_SECONDS - 0.12);
        assertConverged("three control processes killed in the middle of a delta", from);
        killed.stream().sorted().forEach(world::start);
        advance(10);
    }

    private void leaderKilled() {
        world.kill("c1");
        advance(6); // until the lease expires
        double from = now;
        world.elect("c9");
        world.change(1);
        advance(MAX_ACTIVATION_SECONDS);
        assertConverged("the leader killed, from the next one's first change", from);
        world.start("c1");
        advance(10);
    }

    /** 790 restarts a day, at fifty times that rate for one minute. */
    private void relayRestarts() {
        SplittableRandom random = new SplittableRandom(SEED);
        List<String> relays = new ArrayList<>(world.relays());
        for (int i = 0; i < 27; i++) {
            String relay = relays.get(random.nextInt(relays.size()));
            world.kill(relay);
            world.change(1);
            advance(1.1);
            world.start(relay);
            advance(1.1);
        }
        double from = now;
        world.change(1);
        advance(MAX_ACTIVATION_SECONDS);
        assertConverged("27 relays restarted in a minute, a change after", from);
    }

    private void regionalOutage() {
        List<String> shuffled = new ArrayList<>(world.relays());
        Collections.shuffle(shuffled, new java.util.Random(SEED));
        Set<String> region = shuffled.stream().limit(RELAYS / 6).collect(Collectors.toSet());
        world.cut(region, true);
        for (int i = 0; i < OUTAGE_MINUTES; i++) {
            world.change(8);
            advance(60);
        }
        report(
                "a sixth of the relays cut off for " + OUTAGE_MINUTES + " min: greatest staleness told",
                maxStaleness(),
                "s");
        double from = now;
        long[] before = bytesToRelays();
        world.cut(region, false);
        advance(MAX_ACTIVATION_SECONDS);
        assertConverged(
                "a sixth of the relays back after " + OUTAGE_MINUTES + " min and " + 8 * OUTAGE_MINUTES + " changes",
                from);
        report("a sixth of the relays back: bytes to the busiest relay", maxBytesPerSecondSince(before, 1), "B");
    }

    /** Partitions the leader from all other processes for one minute. */
    private void leaderPartitioned() {
        world.cut(Set.of(world.leader()), true);
        advance(60);
        report("the leader cut off for a minute: greatest staleness told", maxStaleness(), "s");
        double from = now;
        world.cut(Set.of(world.leader()), false);
        world.change(1);
        advance(MAX_ACTIVATION_SECONDS);
        assertConverged("the leader back after a minute, a change then", from);
    }
}
