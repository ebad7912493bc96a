package juniperusher;

import static juniperusher.Script.ORDERED_CLASS;
import static juniperusher.Script.sent;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import juniperusher.Protocol.Action;
import juniperusher.Protocol.AnswerAcknowledged;
import juniperusher.Protocol.AnswerPending;
import juniperusher.Protocol.Arrived;
import juniperusher.Protocol.Message;
import juniperusher.Protocol.Outcome;
import juniperusher.Protocol.Refuse;
import org.junit.jupiter.api.Test;

/** Messages of one key where the answers of refused and failed ones have to be acknowledged. */
class AcknowledgedOrderTest {
    private static final long KEY = 5;
    private static final int DESTINATION = 9;
    private static final double KEY_QUIET = Script.RULES.keyQuiet();

    private final Script script = new Script(Script.settings(), Script.target(1, DESTINATION, 0, 0));

    private static Arrived message(int id, double timeLeft, int attempts, long takenAt) {
        return new Arrived(
                new Message(id, ORDERED_CLASS, 0, DESTINATION, KEY, timeLeft, attempts, null, false, takenAt, true));
    }

    private static Arrived message(int id) {
        return message(id, 20, 0, 0);
    }

    /** Takes two on and has the first refused after its time-out. */
    private void firstIsRefused() {
        assertEquals(List.of(1), sent(script.play(message(1), message(2))));
        script.until(11);
        assertEquals(List.of(new Refuse(1, 0.5)), script.end(1, Outcome.TIMED_OUT));
    }

    @Test
    void theNextWaitsForTheAcknowledgementAndThenForTheRestOfTheKey() {
        firstIsRefused();
        assertEquals(List.of(), sent(script.until(13)));
        script.play(new AnswerAcknowledged(1, KEY));
        assertEquals(List.of(), sent(script.until(13 + KEY_QUIET - 0.01)));
        assertEquals(List.of(2), sent(script.until(13 + KEY_QUIET + 0.01)));
    }

    @Test
    void anAcknowledgementThatIsNotAwaitedChangesNothing() {
        firstIsRefused();
        script.play(new AnswerAcknowledged(7, KEY));
        assertEquals(List.of(), sent(script.until(13)));
    }

    @Test
    void aDeliveredOneNeedsNoAcknowledgement() {
        assertEquals(List.of(1), sent(script.play(message(1), message(2))));
        assertEquals(List.of(2), sent(script.end(1, Outcome.DELIVERED)));
    }

    @Test
    void whatAnEarlierProcessAnsweredHoldsTheKeyButNotFurtherAttempts() {
        script.play(new AnswerPending(40, KEY));
        assertEquals(List.of(1), sent(script.play(message(1, 20, 1, 0))), "it had its turn before");
        assertEquals(List.of(), sent(script.end(1, Outcome.DELIVERED)));
        assertEquals(List.of(), sent(script.play(message(2))));
        script.play(new AnswerAcknowledged(40, KEY));
        assertEquals(List.of(2), sent(script.until(KEY_QUIET + 0.01)));
    }

    @Test
    void messagesStandByTheTimeAtWhichTheyWereTakenOn() {
        script.play(new AnswerPending(40, KEY));
        script.play(message(2, 20, 0, 200), message(4, 20, 0, 400), message(1, 20, 0, 100), message(3, 20, 0, 300));
        script.play(new AnswerAcknowledged(40, KEY));
        List<Integer> order = new ArrayList<>(sent(script.until(KEY_QUIET + 0.01)));
        for (int next = 1; next <= 4; next++) {
            assertEquals(next, order.size());
            order.addAll(sent(script.end(next, Outcome.DELIVERED)));
        }
        assertEquals(List.of(1, 2, 3, 4), order);
    }

    @Test
    void aChainBehindAnAnswerThatIsNeverAcknowledgedIsAnsweredInTimeAndNotSent() {
        firstIsRefused();
        List<Arrived> chain = new ArrayList<>();
        for (int id = 11; id <= 20; id++) {
            chain.add(message(id, id - 10, 0, 0));
        }
        chain.forEach(script::play);
        List<Action> actions = script.until(11 + 20); // the script checks that each is answered in time
        assertTrue(sent(actions).isEmpty(), "sent before the acknowledgement: " + sent(actions));
        assertEquals(11, actions.stream().filter(Refuse.class::isInstance).count());
    }
}
