package juniperusher.http;

import static juniperusher.http.ShutdownPlan.Action.CLOSE_ALL;
import static juniperusher.http.ShutdownPlan.Action.CLOSE_IDLE;
import static juniperusher.http.ShutdownPlan.Action.CLOSE_WITH_ANSWERS;
import static juniperusher.http.ShutdownPlan.Action.EXIT;
import static juniperusher.http.ShutdownPlan.Action.STOP_LISTENING;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import org.testng.annotations.Test;

/** The order and times of the shutdown steps after SIGTERM. */
public class ShutdownPlanTest {
    private static final long SIGKILL_MILLIS = 3_700; // the shortest time from SIGTERM to SIGKILL
    private static final long NEW_CONNECTIONS_MILLIS = 400; // how long new connections arrive after SIGTERM

    @Test
    public void requestsAreAcceptedUntilTheLastAnswersEvenWithNothingOpenOrPending() {
        ShutdownPlan plan = new ShutdownPlan(false);
        for (long elapsedMillis = 0; elapsedMillis < ShutdownPlan.LAST_ANSWERS_MILLIS; elapsedMillis += 20) {
            assertEquals(plan.nextActions(elapsedMillis, 0, 0, 0), List.of(), "at " + elapsedMillis);
        }
        assertTrue(
                ShutdownPlan.LAST_ANSWERS_MILLIS > NEW_CONNECTIONS_MILLIS && ShutdownPlan.EXIT_MILLIS < SIGKILL_MILLIS);
        assertEquals(
                plan.nextActions(ShutdownPlan.LAST_ANSWERS_MILLIS, 0, 5, 0),
                List.of(CLOSE_WITH_ANSWERS, CLOSE_IDLE, EXIT));
    }

    @Test
    public void connectionsCloseInOrderAndUnacknowledgedReportsDelayTheExit() {
        ShutdownPlan plan = new ShutdownPlan(false);
        assertEquals(
                plan.nextActions(ShutdownPlan.LAST_ANSWERS_MILLIS + 10, 3, 5, 1),
                List.of(CLOSE_WITH_ANSWERS, CLOSE_IDLE));
        assertEquals(plan.nextActions(ShutdownPlan.LAST_ANSWERS_MILLIS + 30, 1, 5, 1), List.of(CLOSE_IDLE));
        assertEquals(plan.nextActions(ShutdownPlan.CLOSE_ALL_MILLIS, 1, 5, 1), List.of(CLOSE_IDLE, CLOSE_ALL));
        assertEquals(plan.nextActions(ShutdownPlan.CLOSE_ALL_MILLIS + 20, 0, 5, 1), List.of());
        assertEquals(plan.nextActions(ShutdownPlan.CLOSE_ALL_MILLIS + 40, 0, 5, 0), List.of(EXIT));
    }

    @Test
    public void theProcessExitsInTimeWhateverIsOpen() {
        ShutdownPlan plan = new ShutdownPlan(false);
        assertEquals(
                plan.nextActions(ShutdownPlan.EXIT_MILLIS, 9, 9, 9),
                List.of(CLOSE_WITH_ANSWERS, CLOSE_IDLE, CLOSE_ALL, EXIT));
    }

    @Test
    public void withAnInheritedListenerTheProcessExitsOnceNothingIsPending() {
        ShutdownPlan plan = new ShutdownPlan(true);
        assertEquals(plan.nextActions(0, 2, 1, 0), List.of(STOP_LISTENING, CLOSE_WITH_ANSWERS));
        assertEquals(plan.nextActions(500, 2, 0, 0), List.of());
        assertEquals(plan.nextActions(520, 0, 1, 0), List.of());
        assertEquals(plan.nextActions(540, 0, 0, 1), List.of());
        assertEquals(plan.nextActions(560, 0, 0, 0), List.of(EXIT));
        assertEquals(plan.nextActions(ShutdownPlan.LAST_ANSWERS_MILLIS, 1, 0, 0), List.of(CLOSE_IDLE));
    }
}
