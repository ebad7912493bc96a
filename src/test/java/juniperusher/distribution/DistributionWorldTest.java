package juniperusher.distribution;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Set;
import juniperusher.distribution.SubscriberStep.Reason;
import juniperusher.lab.fleet.DistributionWorld;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

/** Control processes and relays in virtual time, with the faults that a network and its processes have. */
class DistributionWorldTest {
    private static final String SEED = "20261202";
    private static final double DELAY = 0.01;
    private static final double IN_FORCE = 13; // s in which a change is to be in force at the last relay
    private static final double HOUR = 3_600;

    private static DistributionWorld.Setting setting(int controls, int relays, long seed) {
        return new DistributionWorld.Setting(controls, relays, Timing.USUAL, Limits.USUAL, DELAY, 100, 20, seed);
    }

    /** A world in which everybody has the first state. */
    private static DistributionWorld settled(DistributionWorld.Setting setting) {
        return settled(setting, 10);
    }

    private static DistributionWorld settled(DistributionWorld.Setting setting, double until) {
        DistributionWorld world = new DistributionWorld(setting);
        world.run(until);
        converged(world);
        return world;
    }

    private static void good(DistributionWorld world) {
        assertNull(world.broken(), () -> world.broken() + "\n" + world.drawn());
    }

    private static void converged(DistributionWorld world) {
        good(world);
        assertNull(world.behind(), () -> world.behind() + " is behind " + world.newest() + "\n" + world.drawn());
    }

    private static void drawn(String name, DistributionWorld world) throws Exception {
        good(world);
        Path now = Path.of("target/timelines", name + ".txt"); // to look at, or to take over after a change
        Files.createDirectories(now.getParent());
        Files.writeString(now, world.drawn());
        assertEquals(Files.readString(Path.of("src/test/resources/timelines", name + ".txt")), world.drawn());
    }

    /** A control process that relays follow and that does not lead. */
    private static String follower(DistributionWorld world) {
        return world.relays().stream()
                .map(world::source)
                .filter(name -> name != null && !name.equals(world.leader()))
                .findFirst()
                .orElseThrow();
    }

    @Test
    void changesReachEveryRelay() {
        DistributionWorld world = settled(setting(3, 6, 1));
        world.change(3);
        world.run(10.5);
        converged(world);
        assertEquals(new Version(1, 5), world.newest());
    }

    @Test
    void staysCurrentWhileNothingHappens() {
        DistributionWorld world = settled(setting(3, 6, 2));
        for (double time = 10; time < 100; time += 0.3) {
            world.run(time);
            for (String relay : world.relays()) {
                double staleness = world.staleness(relay);
                assertTrue(staleness < Timing.USUAL.maxSourceAgeSeconds(), relay + " tells " + staleness);
            }
        }
        for (String relay : world.relays()) {
            assertEquals(0, world.breaks(relay, Reason.SILENCE) + world.breaks(relay, Reason.GAP));
        }
    }

    @Test
    void aControlProcessKilledInTheMiddleOfADelta() throws Exception {
        DistributionWorld world = settled(setting(3, 3, 3));
        String killed = follower(world);
        world.change(800);
        world.run(10 + 3.5 * DELAY); // its frames are on their way to its relay
        world.kill(killed);
        world.run(10 + IN_FORCE);
        converged(world);
        drawn("control-killed", world);
    }

    /** Else a control process that was restarted would have no relays until the others fail. */
    @Test
    void relaysReturnToTheSourceThatTheyPrefer() {
        DistributionWorld world = settled(setting(3, 12, 15));
        List<String> own = world.relays().stream()
                .filter(relay -> "c2".equals(world.source(relay)))
                .toList();
        assertFalse(own.isEmpty());
        world.kill("c2");
        world.run(20);
        world.start("c2");
        world.run(20 + 2 * Timing.USUAL.preferredSourceRetrySeconds());
        for (String relay : own) {
            assertEquals("c2", world.source(relay));
            assertEquals(1, world.breaks(relay, Reason.PREFERENCE));
        }
        converged(world);
    }

    @Test
    void theLeaderKilledInTheMiddleOfADelta() {
        for (int seed = 0; seed < 50; seed++) {
            DistributionWorld world = settled(setting(4, 4, seed));
            world.change(1_000);
            world.run(10 + seed % 10 * DELAY);
            world.kill("c1");
            world.run(16); // the lease's time
            world.elect("c3");
            world.change(1);
            world.run(16 + IN_FORCE);
            converged(world);
            assertEquals(2, world.newest().term());
        }
    }

    @Test
    void lostFramesAreAskedForAnew() {
        DistributionWorld world = settled(setting(2, 2, 4));
        world.loseNext("r1");
        world.change(1);
        world.run(10.5);
        world.change(1);
        world.run(13);
        assertEquals(1, world.breaks("r1", Reason.GAP), "the next change does not follow");
        converged(world);
        world.loseNext("r1");
        world.change(1);
        world.run(16);
        assertEquals(2, world.breaks("r1", Reason.GAP), "the next heartbeat tells of what did not come");
        converged(world);
    }

    @Test
    void doubledFramesChangeNothing() {
        DistributionWorld world = settled(setting(2, 2, 5));
        for (int i = 0; i < 10; i++) {
            world.doubleNext("r1");
            world.change(1);
            world.run(11 + i);
        }
        converged(world);
        assertTrue(world.doubled("r1") > 3, "only " + world.doubled("r1"));
        assertEquals(0, world.breaks("r1", Reason.GAP));
    }

    @Test
    void framesOutOfOrderChangeNothingWrongly() {
        DistributionWorld world = settled(setting(2, 2, 6));
        for (int i = 0; i < 10; i++) {
            world.swapNext("r1");
            world.change(1);
            world.run(10.2 + 3 * i);
            world.change(1);
            world.run(13 + 3 * i);
        }
        assertTrue(world.breaks("r1", Reason.GAP) > 0);
        world.run(50);
        converged(world);
    }

    @Test
    void aDamagedFrameEndsTheConnectionAndNoMore() {
        DistributionWorld world = settled(setting(2, 2, 7));
        Version before = world.version("r1");
        world.damageNext("r1");
        world.change(1);
        world.run(10 + 3 * DELAY);
        assertEquals(before, world.version("r1"), "the old one stays in force");
        world.run(13);
        assertEquals(1, world.breaks("r1", Reason.CLOSED));
        converged(world);
    }

    @Test
    void thirtyRevisionsAndAnHourBehind() {
        DistributionWorld world = settled(setting(3, 3, 8));
        world.cut(Set.of("r1"), true);
        for (int i = 1; i <= 30; i++) {
            world.change(1);
            world.run(10 + i * HOUR / 30);
        }
        assertEquals(HOUR, world.staleness("r1"), 2 * Timing.USUAL.heartbeatIntervalSeconds());
        long snapshots = snapshots(world, 3);
        world.cut(Set.of("r1"), false);
        world.run(10 + HOUR + IN_FORCE);
        converged(world);
        assertEquals(snapshots, snapshots(world, 3), "the log has them");
        assertTrue(world.staleness("r1") < 2 * Timing.USUAL.heartbeatIntervalSeconds() + 1);
    }

    private static long snapshots(DistributionWorld world, int controls) {
        long sum = 0;
        for (int i = 1; i <= controls; i++) {
            sum += world.publisher("c" + i).counters().snapshots();
        }
        return sum;
    }

    /** A region of 700 relays is cut off for an hour; all ask at once when it is back. */
    @Test
    void aRegionBackAfterAnHour() {
        DistributionWorld world = settled(setting(6, 700, 9));
        Set<String> region = new java.util.HashSet<>(world.relays());
        world.cut(region, true);
        for (int i = 1; i <= 60; i++) {
            world.change(8);
            world.run(10 + i * HOUR / 60);
        }
        long snapshots = snapshots(world, 6);
        world.cut(region, false);
        world.run(10 + HOUR + IN_FORCE);
        converged(world);
        assertEquals(snapshots, snapshots(world, 6), "the log has them");
    }

    /** The same with states that nobody can be brought to by changes any more: whole ones, a few at a time. */
    @Test
    void aRegionBackThatNeedsWholeStates() {
        Limits few = limits(2, 100, 8_192);
        int stateBytes = 40_000;
        DistributionWorld world =
                settled(new DistributionWorld.Setting(6, 700, Timing.USUAL, few, DELAY, stateBytes, 20, 10), 60);
        world.cut(Set.copyOf(world.relays()), true);
        world.change(300);
        world.run(120);
        long snapshots = snapshots(world, 6);
        long busy = busy(world, 6);
        world.cut(Set.copyOf(world.relays()), false);
        world.run(180);
        converged(world);
        System.out.println("whole states for 700 relays: " + (world.lastTakeOver() - 120) + " s, "
                + (snapshots(world, 6) - snapshots) + " states, " + (busy(world, 6) - busy) + " told to come later");
        assertTrue(snapshots(world, 6) >= snapshots + 700);
        assertTrue(busy(world, 6) > busy, "some had to come again");
        for (int i = 1; i <= 6; i++) {
            assertTrue(world.publisher("c" + i).counters().encodings() <= 3, "one encoded state serves all");
        }
    }

    private static long busy(DistributionWorld world, int controls) {
        long sum = 0;
        for (int i = 1; i <= controls; i++) {
            sum += world.publisher("c" + i).counters().busy();
        }
        return sum;
    }

    private static Limits limits(int snapshotsAtOnce, int logChanges, int windowBytes) {
        Limits usual = Limits.USUAL;
        return new Limits(
                usual.subscribers(),
                windowBytes,
                usual.windowMessages(),
                usual.partBytes(),
                usual.deltaBytes(),
                usual.changeBytes(),
                snapshotsAtOnce,
                usual.snapshotSeconds(),
                usual.stateBytes(),
                logChanges,
                usual.logBytes(),
                usual.retryAfter());
    }

    /** The old leader and a relay of its own are cut off and go on; when they are back the newer term wins. */
    @Test
    void twoThatBothBelieveToLead() throws Exception {
        DistributionWorld world = settled(setting(3, 3, 11));
        String own = world.relays().stream()
                .filter(relay -> "c1".equals(world.source(relay)))
                .findFirst()
                .orElseThrow();
        world.twoLead();
        world.cut(Set.of("c1", own), true);
        world.run(15);
        world.electBeside("c2");
        world.change(2); // of both
        world.run(18);
        assertEquals(new Version(1, 4), world.version(own), "it follows the old leader");
        world.cut(Set.of("c1", own), false);
        world.run(20);
        assertEquals(new Version(1, 4), world.version(own), "nobody has told it yet");
        world.leaseLost("c1");
        world.run(20 + IN_FORCE);
        converged(world);
        assertFalse(world.publisher("c1").leads());
        drawn("two-leaders", world);
    }

    /** Before the store tells an old leader, a relay that has seen the newer term does. */
    @Test
    void anOldLeaderHearsOfTheNewerTermFromARelay() {
        DistributionWorld world = settled(setting(2, 4, 18));
        world.twoLead();
        world.electBeside("c2");
        world.change(1);
        world.run(11);
        assertTrue(world.publisher("c1").leads());
        world.kill("c2");
        world.run(20);
        assertFalse(world.publisher("c1").leads());
        assertEquals(2, world.publisher("c1").term());
        world.start("c2");
        world.elect("c2");
        world.run(20 + IN_FORCE);
        converged(world);
    }

    @Test
    void aSlowReaderHoldsNobodyElse() {
        DistributionWorld world = settled(setting(2, 20, 12));
        world.readRate("r1", 4_000);
        for (int i = 0; i < 20; i++) {
            world.change(500);
            world.run(10 + i + 0.9);
            good(world);
            for (String relay : world.relays()) {
                if (!relay.equals("r1")) {
                    assertEquals(world.newest(), world.version(relay), relay);
                }
            }
        }
        assertNotEquals(world.newest(), world.version("r1"));
        assertTrue(world.staleness("r1") > Timing.USUAL.maxSourceAgeSeconds(), "it says so");
        world.run(200);
        converged(world);
        assertEquals(0, world.breaks("r1", Reason.SILENCE));
    }

    @Test
    void aBurstOfADaysChanges() {
        DistributionWorld world = settled(setting(5, 100, 13));
        world.change(11_000);
        world.run(10 + IN_FORCE);
        converged(world);
        assertTrue(world.lastTakeOver() < 10 + IN_FORCE);
    }

    /** Nobody reaches the leader for a while: all say how stale they are, and nobody loses what is in force. */
    @Test
    void allFollowersCutOffFromTheLeader() throws Exception {
        DistributionWorld world = settled(setting(3, 2, 14));
        world.cut(Set.of("c1"), true);
        world.run(40);
        for (String relay : world.relays()) {
            assertEquals(30, world.staleness(relay), 3 * Timing.USUAL.heartbeatIntervalSeconds());
        }
        world.cut(Set.of("c1"), false);
        world.change(1);
        world.run(40 + IN_FORCE);
        converged(world);
        drawn("leader-cut-off", world);
    }

    private static void play(DistributionWorld world, int code, boolean leases) {
        String control = "c" + (1 + code / 16 % 4);
        String relay = "r" + (1 + code / 16 % 4);
        switch (code % 16) {
            case 0, 1 -> world.change(1 + code / 64 % 50);
            case 2 -> world.kill(control);
            case 3 -> world.start(control);
            case 4 -> world.kill(relay);
            case 5 -> world.start(relay);
            case 6 -> world.cut(Set.of(control, relay), true);
            case 7 -> world.cut(Set.of(control, relay), false);
            case 8 -> world.loseNext(code / 64 % 2 == 0 ? control : relay);
            case 9 -> world.doubleNext(code / 64 % 2 == 0 ? control : relay);
            case 10 -> world.swapNext(code / 64 % 2 == 0 ? control : relay);
            case 11 -> world.damageNext(code / 64 % 2 == 0 ? control : relay);
            case 12 -> world.readRate(relay, code / 64 % 2 == 0 ? 3_000 : Double.POSITIVE_INFINITY);
            case 13 -> elect(world, control, leases);
            default -> world.change(1);
        }
    }

    private static void elect(DistributionWorld world, String control, boolean leases) {
        if (leases) {
            world.elect(control);
        } else {
            world.electBeside(control);
        }
    }

    private static void playScript(List<Integer> script, boolean leases) {
        Limits small = limits(1, 60, 8_192);
        DistributionWorld world = new DistributionWorld(
                new DistributionWorld.Setting(4, 4, Timing.USUAL, small, DELAY, 20_000, 20, script.hashCode()));
        if (!leases) {
            world.twoLead();
        }
        double now = 0;
        for (int code : script) {
            play(world, code, leases);
            now += code / 1_000 % 50 / 10.0;
            world.run(now);
            good(world);
        }
        for (int i = 1; i <= 4; i++) {
            world.start("c" + i);
            world.start("r" + i);
            world.readRate("r" + i, Double.POSITIVE_INFINITY);
            world.cut(Set.of("c" + i, "r" + i), false);
        }
        world.run(now + 1);
        elect(world, "c2", leases);
        for (int i : new int[] {1, 3, 4}) {
            world.leaseLost("c" + i); // the store tells who still believes
        }
        world.run(now + 60);
        converged(world);
        for (String relay : world.relays()) {
            double staleness = world.staleness(relay);
            assertTrue(
                    staleness < Timing.USUAL.maxSourceAgeSeconds(),
                    () -> relay + " " + staleness + "\n" + world.drawn());
        }
    }

    /** Some 1,000 scripts of up to 40 faults, each up to 5 s apart; one leads at a time. */
    @Property(tries = 1_000, seed = SEED)
    void everyScriptOfFaultsConverges(@ForAll @Size(max = 40) List<@IntRange(max = 99_999) Integer> script) {
        playScript(script, true);
    }

    /** The same where an old leader goes on until it hears of the new one. */
    @Property(tries = 1_000, seed = SEED)
    void everyScriptWithSeveralLeadersConverges(@ForAll @Size(max = 40) List<@IntRange(max = 99_999) Integer> script) {
        playScript(script, false);
    }
}
