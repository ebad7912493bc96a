package juniperusher.faults;

import static org.testng.Assert.assertEquals;

import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.Test;

/**
 * Faults of many kinds at drawn moments under traffic, a restart among them. Each seed is a run of its own;
 * {@code -Dfaults.seeds=N} plays N of them and {@code -Dfaults.first=K} begins with seed K.
 */
public class FaultSoakTest {
    private static final int SEEDS = Integer.getInteger("faults.seeds", 4);
    private static final int FIRST = Integer.getInteger("faults.first", 1);
    private static final int FAULTS = 7;
    private static final long LONGEST = 3_000; // ms of time that messages have

    @Test
    public void noRuleIsBrokenUnderDrawnFaults() throws Exception {
        List<String> broken = new ArrayList<>();
        for (int seed = FIRST; seed < FIRST + SEEDS; seed++) {
            broken.addAll(play(seed));
        }
        assertEquals(String.join("\n", broken), "");
    }

    private static List<String> play(int seed) throws Exception {
        try (FaultWorld world = new FaultWorld(seed, LONGEST)) {
            FaultSchedule schedule = new FaultSchedule(world, seed);
            world.send();
            try {
                schedule.play(FAULTS);
            } catch (java.io.IOException e) {
                world.ledger.broken("crash: " + e.getMessage());
            }
            List<String> verdict = world.settle();
            System.out.println("soak seed=" + seed + " taken=" + world.ledger.taken() + " delivered="
                    + world.ledger.delivered() + " broken=" + verdict.size() + " log_bytes=" + world.relay.logBytes()
                    + " folder=" + world.relay.folder() + " played=" + schedule.played());
            return verdict.stream().map(rule -> "seed " + seed + ": " + rule).toList();
        }
    }
}
