package juniperusher.distribution;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import juniperusher.lab.fleet.DistributionWorld;
import org.junit.jupiter.api.Test;

/** Control processes and relays in virtual time, with the faults that a network and its processes have. */
class DistributionWorldTest {
    private static final double DELAY = 0.01;

    private static DistributionWorld.Setting setting(int controls, int relays, long seed) {
        return new DistributionWorld.Setting(controls, relays, Timing.USUAL, Limits.USUAL, DELAY, 100, 20, seed);
    }

    private static void good(DistributionWorld world) {
        assertNull(world.broken(), () -> world.broken() + "\n" + world.drawn());
    }

    private static void converged(DistributionWorld world) {
        good(world);
        assertNull(world.behind(), () -> world.behind() + " is behind " + world.newest() + "\n" + world.drawn());
    }

    @Test
    void changesReachEveryRelay() {
        DistributionWorld world = new DistributionWorld(setting(3, 6, 1));
        world.run(5);
        converged(world);
        world.change(3);
        world.run(5.5);
        converged(world);
        assertEquals(new Version(1, 5), world.newest());
        System.out.println(world.drawn());
    }
}
