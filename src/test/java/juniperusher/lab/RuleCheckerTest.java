package juniperusher.lab;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Each rule, kept and broken: a checker that cannot fail would show nothing. */
class RuleCheckerTest {
    private final RuleChecker rules = new RuleChecker(0.05, 0.1, 0.5);

    private void broken(int count, String how) {
        assertEquals(count, rules.count(), rules.broken().toString());
        assertTrue(
                count == 0 || rules.broken().get(count - 1).contains(how),
                rules.broken().toString());
    }

    @Test
    void whatIsTriedAgainAfterItsEndAndAnsweredInTimeBreaksNothing() {
        rules.taken("a", false, 6);
        rules.begun("a", 1);
        rules.ended("a", true);
        rules.begun("a", 2);
        rules.ended("a", true);
        rules.answered("a", 6.04, false);
        rules.over(100);
        broken(0, "");
    }

    @Test
    void twoAttemptsOutAreFound() {
        rules.taken("a", false, 6);
        rules.begun("a", 1);
        rules.begun("a", 2);
        broken(1, "two attempts out");
    }

    @Test
    void anOrderThatMayHaveRunIsNeverSentAgainNorHandedBack() {
        rules.taken("a", true, 20);
        rules.begun("a", 1);
        rules.ended("a", false);
        rules.begun("a", 2);
        rules.ended("a", true);
        broken(0, "");
        rules.begun("a", 3);
        broken(1, "sent again though it may have run");
        rules.answered("a", 4, true);
        broken(2, "handed back though it may have run");
    }

    @Test
    void whatWasOutWhenItsRelayDiedMayHaveRun() {
        rules.taken("a", true, 20);
        rules.begun("a", 1);
        rules.died("a", 0);
        rules.begun("a", 3);
        broken(1, "sent again though it may have run");
    }

    @Test
    void noAnswerIsOwedWhileTheRelayIsAwayAndOneIsAfterIt() {
        rules.taken("a", false, 6);
        rules.taken("b", false, 6);
        rules.died("a", 9);
        rules.died("b", 9);
        rules.answered("a", 9.01, true);
        broken(0, "");
        rules.over(9.1);
        broken(1, "never answered");
    }

    @Test
    void whatItsClientHasTurnedAwayFromCountsForNothing() {
        rules.taken("a", true, 6);
        rules.begun("a", 1);
        rules.withdrawn("a");
        rules.begun("a", 2);
        rules.over(100);
        broken(0, "");
    }

    @Test
    void aSecondALateAndAMissingAnswerAreFound() {
        rules.taken("a", false, 6);
        rules.answered("a", 7, false);
        broken(1, "1.000 s after its time");
        rules.answered("a", 7, false);
        broken(2, "answered twice");
        rules.begun("a", 8);
        broken(3, "after its end");
        rules.taken("b", false, 9);
        rules.over(10);
        broken(4, "never answered");
    }

    @Test
    void aToldWaitIsForTheRelayThatWasToldAndEndsWithIt() {
        rules.told(1, 7, 10, 15);
        rules.called(1, 7, 10.05);
        rules.called(2, 7, 12);
        rules.called(1, 8, 12);
        rules.called(1, 7, 15);
        broken(0, "");
        rules.told(1, 7, 16, 16.5);
        rules.called(1, 7, 16.3);
        broken(1, "before a told wait is over");
        rules.told(1, 7, 17, 30);
        rules.restarted(1, 17.5);
        rules.called(1, 7, 18);
        broken(1, "");
    }

    // ---- sequencing by key ----

    private void takenInOrder(String... ids) {
        for (String id : ids) {
            rules.taken(id, false, 60, 1, "k");
        }
    }

    private void delivered(String id, double from, double until) {
        rules.begun(id, from);
        rules.ended(id, true);
        rules.answered(id, until, false);
    }

    @Test
    void messagesOfAKeyThatGoOneAfterAnotherBreakNothing() {
        takenInOrder("a", "b", "c");
        delivered("a", 1, 2);
        delivered("b", 2, 3);
        delivered("c", 3, 4);
        broken(0, "");
    }

    @Test
    void aMessageThatGoesBeforeOneTakenEarlierIsFoundWithBoth() {
        takenInOrder("a", "b");
        delivered("b", 1, 2);
        broken(1, "1.000 s: message b of key k is sent while message a, taken before it, is not over");
    }

    @Test
    void aMessageThatGoesWhileTheOneBeforeItIsOutIsFound() {
        takenInOrder("a", "b");
        rules.begun("a", 1);
        rules.begun("b", 1.5);
        broken(1, "message b of key k is sent while message a, taken before it, is not over");
        rules.ended("b", true);
        rules.begun("b", 2);
        broken(1, ""); // its further attempts are not held back, and are not counted again
    }

    @Test
    void aMessageThatWaitsForAnotherAttemptStillHoldsItsKey() {
        takenInOrder("a", "b");
        rules.begun("a", 1);
        rules.ended("a", false);
        rules.begun("b", 3);
        broken(1, "while message a, taken before it, is not over");
    }

    @Test
    void anAttemptThatIsOutAfterItsMessagesEndHoldsTheKey() {
        takenInOrder("a", "b");
        rules.begun("a", 1);
        rules.answered("a", 2, false);
        rules.begun("b", 3);
        broken(1, "while message a, taken before it, has an attempt out");
    }

    @Test
    void aKeyRestsAfterAnAttemptWithoutAnAnswer() {
        takenInOrder("a", "b", "c", "d");
        rules.begun("a", 1);
        rules.abandoned("a", 2, true);
        rules.begun("a", 2.1); // its own further attempts are not held back
        rules.ended("a", true);
        rules.answered("a", 2.2, false);
        broken(0, "");
        rules.begun("b", 2.3);
        broken(1, "message b of key k is sent 0.200 s before the key has rested after an attempt of message a");
        rules.abandoned("b", 3, true);
        rules.answered("b", 3, false);
        delivered("c", 3.5, 3.6);
        delivered("d", 3.6, 3.7); // after an answer it does not rest
        broken(1, "");
    }

    @Test
    void aNoticeEndsAMessageForItsKeyOnceItIsAcknowledged() {
        takenInOrder("a", "b", "c");
        rules.noticed("a", 1, true);
        rules.acknowledged("a");
        delivered("b", 1.1, 2);
        broken(0, "");
        takenInOrder("d", "e");
        delivered("c", 3, 4);
        rules.noticed("d", 5, false);
        rules.begun("e", 5.1);
        broken(1, "message e of key k is sent while message d, taken before it, is not over");
    }

    @Test
    void theOrderHoldsOverARestart() {
        takenInOrder("a", "b", "c");
        rules.begun("a", 1);
        rules.restarted(1, 2);
        rules.died("a", 9);
        rules.died("b", 9);
        rules.died("c", 9);
        rules.begun("a", 2.2); // taken up again: a further attempt of its own
        rules.ended("a", true);
        rules.answered("a", 2.3, false);
        broken(0, "");
        rules.begun("b", 2.4);
        broken(1, "message b of key k is sent 0.100 s before the key has rested after an attempt of message a");
        rules.restarted(1, 3);
        rules.died("b", 9);
        rules.died("c", 9);
        rules.begun("c", 4);
        broken(2, "message c of key k is sent while message b, taken before it, is not over");
    }

    @Test
    void aRestartOfAnotherRelayEndsNoAttempt() {
        takenInOrder("a", "b");
        rules.begun("a", 1);
        rules.answered("a", 2, false);
        rules.restarted(2, 2.5);
        rules.begun("b", 4);
        broken(1, "while message a, taken before it, has an attempt out");
    }

    @Test
    void finalAnswersMayComeOutOfTurn() {
        takenInOrder("a", "b", "c");
        rules.noticed("b", 1, true);
        rules.acknowledged("b");
        delivered("a", 2, 3);
        delivered("c", 3, 4);
        broken(0, "");
    }

    @Test
    void otherKeysOtherRelaysAndMessagesWithoutAKeyAreFree() {
        takenInOrder("a");
        rules.taken("b", false, 60, 1, "other");
        rules.taken("c", false, 60, 2, "k");
        rules.taken("d", false, 60);
        rules.begun("a", 1);
        rules.begun("b", 1);
        rules.begun("c", 1);
        rules.begun("d", 1);
        broken(0, "");
    }

    @Test
    void whatItsClientHasTurnedAwayFromHoldsNoKey() {
        takenInOrder("a", "b");
        rules.begun("a", 1);
        rules.withdrawn("a");
        delivered("b", 1.1, 2);
        broken(0, "");
    }
}
