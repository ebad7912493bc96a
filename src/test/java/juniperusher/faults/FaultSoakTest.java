package juniperusher.faults;

import static org.testng.Assert.assertEquals;

import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.Test;

/**
 * Many kinds of faults at random times under traffic, with one restart among them. Each seed is a separate run.
 * {@code -Dfaults.seeds=N} sets the number of runs, {@code -Dfaults.first=K} the first seed.
 */
public class FaultSoakTest {
    private static final int SEED_COUNT = Integer.getInteger("faults.seeds", 4);
    private static final int FIRST_SEED = Integer.getInteger("faults.first", 1);
    private static final int FAULTS_PER_SEED = 7;
    private static final long MAX_BUDGET_MILLIS = 3_000;

    @Test
    public void rulesHoldUnderRandomFaults() throws Exception {
        List<String> violations = new ArrayList<>();
        for (int seed = FIRST_SEED; seed < FIRST_SEED + SEED_COUNT; seed++) {
            violations.addAll(play(seed));
        }
        assertEquals(String.join("\n", violations), "");
    }

    private static List<String> play(int seed) throws Exception {
        try (FaultTestbed testbed = new FaultTestbed(seed, MAX_BUDGET_MILLIS)) {
            FaultSchedule schedule = new FaultSchedule(testbed, seed);
            testbed.startClients();
            try {
                schedule.play(FAULTS_PER_SEED);
            } catch (java.io.IOException e) {
                testbed.ledger.addViolation("crash: " + e.getMessage());
            }
            List<String> violations = testbed.settleAndCheck();
            System.out.println("soak seed=" + seed + " taken=" + testbed.ledger.accepted() + " delivered="
                    + testbed.ledger.delivered() + " broken=" + violations.size() + " log_bytes="
                    + testbed.relay.logBytes()
                    + " folder=" + testbed.relay.folder() + " played=" + schedule.played());
            violations.forEach(rule -> System.out.println("soak seed=" + seed + " violation: " + rule));
            return violations.stream().map(rule -> "seed " + seed + ": " + rule).toList();
        }
    }
}
