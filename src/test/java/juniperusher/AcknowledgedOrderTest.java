package juniperusher;

import static juniperusher.ControlHarness.ORDERED_CLASS;
import static juniperusher.ControlHarness.sentIds;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import juniperusher.Protocol.Action;
import juniperusher.Protocol.AnswerAcknowledged;
import juniperusher.Protocol.AnswerPending;
import juniperusher.Protocol.Message;
import juniperusher.Protocol.MessageAccepted;
import juniperusher.Protocol.Outcome;
import juniperusher.Protocol.Refuse;
import org.junit.jupiter.api.Test;

/** Order of messages of one key if the answers to refused and failed ones have to be acknowledged. */
class AcknowledgedOrderTest {
    private static final long KEY = 5;
    private static final int DESTINATION = 9;
    private static final double KEY_QUIET = ControlHarness.RULES.keyQuiet();

    private final ControlHarness harness =
            new ControlHarness(ControlHarness.settings(), ControlHarness.target(1, DESTINATION, 0, 0));

    private static MessageAccepted message(int id, double timeLeft, int attempts, long takenAt) {
        return new MessageAccepted(
                new Message(id, ORDERED_CLASS, 0, DESTINATION, KEY, timeLeft, attempts, null, false, takenAt, true));
    }

    private static MessageAccepted message(int id) {
        return message(id, 20, 0, 0);
    }

    /** Accepts two messages; the first times out and is refused. */
    private void acceptTwoAndRefuseTheFirst() {
        assertEquals(List.of(1), sentIds(harness.play(message(1), message(2))));
        harness.advanceTo(11);
        assertEquals(List.of(new Refuse(1, 0.5)), harness.endAttempt(1, Outcome.TIMED_OUT));
    }

    @Test
    void nextMessageWaitsForTheAcknowledgementAndThenForTheQuietTime() {
        acceptTwoAndRefuseTheFirst();
        assertEquals(List.of(), sentIds(harness.advanceTo(13)));
        harness.play(new AnswerAcknowledged(1, KEY));
        assertEquals(List.of(), sentIds(harness.advanceTo(13 + KEY_QUIET - 0.01)));
        assertEquals(List.of(2), sentIds(harness.advanceTo(13 + KEY_QUIET + 0.01)));
    }

    @Test
    void unexpectedAcknowledgementIsIgnored() {
        acceptTwoAndRefuseTheFirst();
        harness.play(new AnswerAcknowledged(7, KEY));
        assertEquals(List.of(), sentIds(harness.advanceTo(13)));
    }

    @Test
    void deliveredMessageNeedsNoAcknowledgement() {
        assertEquals(List.of(1), sentIds(harness.play(message(1), message(2))));
        assertEquals(List.of(2), sentIds(harness.endAttempt(1, Outcome.DELIVERED)));
    }

    @Test
    void pendingAnswerOfAnEarlierProcessBlocksOnlyMessagesWithoutAttempts() {
        harness.play(new AnswerPending(40, KEY));
        assertEquals(
                List.of(1), sentIds(harness.play(message(1, 20, 1, 0))), "a message with an attempt does not wait");
        assertEquals(List.of(), sentIds(harness.endAttempt(1, Outcome.DELIVERED)));
        assertEquals(List.of(), sentIds(harness.play(message(2))));
        harness.play(new AnswerAcknowledged(40, KEY));
        assertEquals(List.of(2), sentIds(harness.advanceTo(KEY_QUIET + 0.01)));
    }

    @Test
    void messagesAreOrderedByAcceptanceTime() {
        harness.play(new AnswerPending(40, KEY));
        harness.play(message(2, 20, 0, 200), message(4, 20, 0, 400), message(1, 20, 0, 100), message(3, 20, 0, 300));
        harness.play(new AnswerAcknowledged(40, KEY));
        List<Integer> order = new ArrayList<>(sentIds(harness.advanceTo(KEY_QUIET + 0.01)));
        for (int next = 1; next <= 4; next++) {
            assertEquals(next, order.size());
            order.addAll(sentIds(harness.endAttempt(next, Outcome.DELIVERED)));
        }
        assertEquals(List.of(1, 2, 3, 4), order);
    }

    @Test
    void messagesBehindAnUnacknowledgedAnswerAreRefusedInTimeAndNotSent() {
        acceptTwoAndRefuseTheFirst();
        List<MessageAccepted> chain = new ArrayList<>();
        for (int id = 11; id <= 20; id++) {
            chain.add(message(id, id - 10, 0, 0));
        }
        chain.forEach(harness::play);
        List<Action> actions = harness.advanceTo(11 + 20); // the harness checks that each is answered in time
        assertTrue(sentIds(actions).isEmpty(), "sent before the acknowledgement: " + sentIds(actions));
        assertEquals(11, actions.stream().filter(Refuse.class::isInstance).count());
    }
}
