package juniperusher.lab;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Each rule, once kept and once violated: a checker that never fails would make the other tests worthless. */
class RuleCheckerTest {
    private final RuleChecker rules = new RuleChecker(0.05, 0.1, 0.5);

    private void assertViolations(int count, String lastViolation) {
        assertEquals(count, rules.violationCount(), rules.violations().toString());
        assertTrue(
                count == 0 || rules.violations().get(count - 1).contains(lastViolation),
                rules.violations().toString());
    }

    @Test
    void sequentialAttemptsAndTimelyAnswerAreAllowed() {
        rules.messageAccepted("a", false, 6);
        rules.attemptStarted("a", 1);
        rules.attemptEnded("a", true);
        rules.attemptStarted("a", 2);
        rules.attemptEnded("a", true);
        rules.messageAnswered("a", 6.04, false);
        rules.runFinished(100);
        assertViolations(0, "");
    }

    @Test
    void concurrentAttemptsAreViolation() {
        rules.messageAccepted("a", false, 6);
        rules.attemptStarted("a", 1);
        rules.attemptStarted("a", 2);
        assertViolations(1, "two attempts out");
    }

    @Test
    void unsafeMessageThatMayHaveRunIsNotRepeatedOrReturned() {
        rules.messageAccepted("a", true, 20);
        rules.attemptStarted("a", 1);
        rules.attemptEnded("a", false);
        rules.attemptStarted("a", 2);
        rules.attemptEnded("a", true);
        assertViolations(0, "");
        rules.attemptStarted("a", 3);
        assertViolations(1, "sent again though it may have run");
        rules.messageAnswered("a", 4, true);
        assertViolations(2, "handed back though it may have run");
    }

    @Test
    void attemptInFlightAtRelayDeathMayHaveRun() {
        rules.messageAccepted("a", true, 20);
        rules.attemptStarted("a", 1);
        rules.messageInterrupted("a", 0);
        rules.attemptStarted("a", 3);
        assertViolations(1, "sent again though it may have run");
    }

    @Test
    void answerIsDueOnlyOnceTheRelayIsUpAgain() {
        rules.messageAccepted("a", false, 6);
        rules.messageAccepted("b", false, 6);
        rules.messageInterrupted("a", 9);
        rules.messageInterrupted("b", 9);
        rules.messageAnswered("a", 9.01, true);
        assertViolations(0, "");
        rules.runFinished(9.1);
        assertViolations(1, "never answered");
    }

    @Test
    void withdrawnMessageIsNotChecked() {
        rules.messageAccepted("a", true, 6);
        rules.attemptStarted("a", 1);
        rules.messageWithdrawn("a");
        rules.attemptStarted("a", 2);
        rules.runFinished(100);
        assertViolations(0, "");
    }

    @Test
    void duplicateLateAndMissingAnswersAreViolations() {
        rules.messageAccepted("a", false, 6);
        rules.messageAnswered("a", 7, false);
        assertViolations(1, "1.000 s after its time");
        rules.messageAnswered("a", 7, false);
        assertViolations(2, "answered twice");
        rules.attemptStarted("a", 8);
        assertViolations(3, "after its end");
        rules.messageAccepted("b", false, 9);
        rules.runFinished(10);
        assertViolations(4, "never answered");
    }

    @Test
    void retryAfterDelayBindsOneRelayUntilItsRestart() {
        rules.retryAfterReceived(1, 7, 10, 15);
        rules.destinationCalled(1, 7, 10.05);
        rules.destinationCalled(2, 7, 12);
        rules.destinationCalled(1, 8, 12);
        rules.destinationCalled(1, 7, 15);
        assertViolations(0, "");
        rules.retryAfterReceived(1, 7, 16, 16.5);
        rules.destinationCalled(1, 7, 16.3);
        assertViolations(1, "before a told wait is over");
        rules.retryAfterReceived(1, 7, 17, 30);
        rules.relayRestarted(1, 17.5);
        rules.destinationCalled(1, 7, 18);
        assertViolations(1, "");
    }

    // ---- sequencing by key ----

    private void acceptWithSameKey(String... ids) {
        for (String id : ids) {
            rules.messageAccepted(id, false, 60, 1, "k");
        }
    }

    private void deliver(String id, double from, double until) {
        rules.attemptStarted(id, from);
        rules.attemptEnded(id, true);
        rules.messageAnswered(id, until, false);
    }

    @Test
    void sequentialMessagesOfKeyAreAllowed() {
        acceptWithSameKey("a", "b", "c");
        deliver("a", 1, 2);
        deliver("b", 2, 3);
        deliver("c", 3, 4);
        assertViolations(0, "");
    }

    @Test
    void overtakingAnUnsentMessageIsReportedWithBothIds() {
        acceptWithSameKey("a", "b");
        deliver("b", 1, 2);
        assertViolations(1, "1.000 s: message b of key k is sent while message a, taken before it, is not over");
    }

    @Test
    void overtakingMessageInFlightIsViolation() {
        acceptWithSameKey("a", "b");
        rules.attemptStarted("a", 1);
        rules.attemptStarted("b", 1.5);
        assertViolations(1, "message b of key k is sent while message a, taken before it, is not over");
        rules.attemptEnded("b", true);
        rules.attemptStarted("b", 2);
        assertViolations(1, ""); // further attempts are unrestricted, and not reported again
    }

    @Test
    void messageAwaitingRetryBlocksItsKey() {
        acceptWithSameKey("a", "b");
        rules.attemptStarted("a", 1);
        rules.attemptEnded("a", false);
        rules.attemptStarted("b", 3);
        assertViolations(1, "while message a, taken before it, is not over");
    }

    @Test
    void attemptInFlightAfterFinalAnswerBlocksKey() {
        acceptWithSameKey("a", "b");
        rules.attemptStarted("a", 1);
        rules.messageAnswered("a", 2, false);
        rules.attemptStarted("b", 3);
        assertViolations(1, "while message a, taken before it, has an attempt out");
    }

    @Test
    void keyHasQuietTimeAfterAbandonedAttempt() {
        acceptWithSameKey("a", "b", "c", "d");
        rules.attemptStarted("a", 1);
        rules.attemptAbandoned("a", 2, true);
        rules.attemptStarted("a", 2.1); // further attempts of the same message are unrestricted
        rules.attemptEnded("a", true);
        rules.messageAnswered("a", 2.2, false);
        assertViolations(0, "");
        rules.attemptStarted("b", 2.3);
        assertViolations(
                1, "message b of key k is sent 0.200 s before the key has rested after an attempt of message a");
        rules.attemptAbandoned("b", 3, true);
        rules.messageAnswered("b", 3, false);
        deliver("c", 3.5, 3.6);
        deliver("d", 3.6, 3.7); // no quiet time after an answer
        assertViolations(1, "");
    }

    @Test
    void statusReportFreesKeyOnceAcknowledged() {
        acceptWithSameKey("a", "b", "c");
        rules.statusReported("a", 1, true);
        rules.reportAcknowledged("a");
        deliver("b", 1.1, 2);
        assertViolations(0, "");
        acceptWithSameKey("d", "e");
        deliver("c", 3, 4);
        rules.statusReported("d", 5, false);
        rules.attemptStarted("e", 5.1);
        assertViolations(1, "message e of key k is sent while message d, taken before it, is not over");
    }

    @Test
    void keyOrderHoldsAcrossRestart() {
        acceptWithSameKey("a", "b", "c");
        rules.attemptStarted("a", 1);
        rules.relayRestarted(1, 2);
        rules.messageInterrupted("a", 9);
        rules.messageInterrupted("b", 9);
        rules.messageInterrupted("c", 9);
        rules.attemptStarted("a", 2.2); // recovered by the restarted relay: a further attempt
        rules.attemptEnded("a", true);
        rules.messageAnswered("a", 2.3, false);
        assertViolations(0, "");
        rules.attemptStarted("b", 2.4);
        assertViolations(
                1, "message b of key k is sent 0.100 s before the key has rested after an attempt of message a");
        rules.relayRestarted(1, 3);
        rules.messageInterrupted("b", 9);
        rules.messageInterrupted("c", 9);
        rules.attemptStarted("c", 4);
        assertViolations(2, "message c of key k is sent while message b, taken before it, is not over");
    }

    @Test
    void restartOfAnotherRelayEndsNoAttempt() {
        acceptWithSameKey("a", "b");
        rules.attemptStarted("a", 1);
        rules.messageAnswered("a", 2, false);
        rules.relayRestarted(2, 2.5);
        rules.attemptStarted("b", 4);
        assertViolations(1, "while message a, taken before it, has an attempt out");
    }

    @Test
    void finalAnswersMayComeOutOfOrder() {
        acceptWithSameKey("a", "b", "c");
        rules.statusReported("b", 1, true);
        rules.reportAcknowledged("b");
        deliver("a", 2, 3);
        deliver("c", 3, 4);
        assertViolations(0, "");
    }

    @Test
    void orderAppliesPerKeyAndRelayOnly() {
        acceptWithSameKey("a");
        rules.messageAccepted("b", false, 60, 1, "other");
        rules.messageAccepted("c", false, 60, 2, "k");
        rules.messageAccepted("d", false, 60);
        rules.attemptStarted("a", 1);
        rules.attemptStarted("b", 1);
        rules.attemptStarted("c", 1);
        rules.attemptStarted("d", 1);
        assertViolations(0, "");
    }

    @Test
    void withdrawnMessageDoesNotBlockItsKey() {
        acceptWithSameKey("a", "b");
        rules.attemptStarted("a", 1);
        rules.messageWithdrawn("a");
        deliver("b", 1.1, 2);
        assertViolations(0, "");
    }
}
