package juniperusher.lab;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import juniperusher.lab.StormExperiment.Plan;
import juniperusher.lab.StormExperiment.Result;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Seeds 1 and 2 of each hard case; longer runs by `juniperusher lab storm`. */
class StormExperimentTest {
    private static final int SEEDS = 2;

    private static Map<Plan, Result> play(Plan first) {
        Map<Plan, Result> results = StormExperiment.sweep(first, SEEDS);
        results.forEach((plan, result) -> {
            assertEquals(List.of(), result.broken(), plan.toString());
            assertTrue(result.worth() > 0.5, "hardly anything is delivered: " + result);
        });
        return results;
    }

    @ParameterizedTest
    @CsvSource({"SHUT, 0", "SHUT, 0.5", "SHUT, 1", "ERRORS, 0", "ERRORS, 0.5", "ERRORS, 1", "HANG, 0",
            "HANG, 1"})
    void threeRelaysThatSeeOneReturnNeverSendMoreThanItTakes(String trouble, double lost) {
        play(new Plan(1, 3, true, lost, 0.75, trouble, true, false)).forEach((plan, result) -> {
            assertEquals(0, result.above(), plan.toString());
            assertEquals(0, result.fell(), plan.toString());
        });
    }

    @Test
    void withoutThePackageMoreIsSentThanItTakes() {
        assertTrue(play(new Plan(1, 3, false, 0, 0.75, "ERRORS", true, false)).values().stream()
                .anyMatch(result -> result.above() > 0), "then the case above shows nothing");
    }

    @Test
    void aRelayKilledInTheMiddleOfTheRecoveryDoesNoHarm() {
        play(new Plan(1, 3, true, 0.2, 0.75, "SHUT", true, true)).forEach((plan, result) ->
                assertEquals(0, result.above(), plan.toString()));
    }

    @Test
    void clientsThatKeepNoToldTimeDoNoHarm() {
        play(new Plan(1, 3, true, 0.2, 1.2, "SHUT", false, false)).forEach((plan, result) ->
                assertEquals(0, result.above(), plan.toString()));
    }

    @Test
    void theSamePlanHasTheSameHistoryAndAnotherSeedAnother() {
        Plan plan = new Plan(5, 3, true, 0.3, 0.75, "HANG", true, true);
        long hash = StormExperiment.run(plan).hash();
        assertEquals(hash, StormExperiment.run(plan).hash());
        assertNotEquals(hash, StormExperiment.run(new Plan(6, 3, true, 0.3, 0.75, "HANG", true, true))
                .hash());
    }
}
