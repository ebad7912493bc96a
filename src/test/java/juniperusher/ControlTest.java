package juniperusher;

import static juniperusher.Script.KEYED_CLASS;
import static juniperusher.Script.KEYED_ZONE_CLASS;
import static juniperusher.Script.ORDERED_CLASS;
import static juniperusher.Script.SAFE_CLASS;
import static juniperusher.Script.UNSAFE_CLASS;
import static juniperusher.Script.message;
import static juniperusher.Script.phase;
import static juniperusher.Script.sends;
import static juniperusher.Script.sent;
import static juniperusher.Script.target;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Collectors;
import juniperusher.Protocol.Action;
import juniperusher.Protocol.Advised;
import juniperusher.Protocol.Allowed;
import juniperusher.Protocol.Cancel;
import juniperusher.Protocol.Ended;
import juniperusher.Protocol.Event;
import juniperusher.Protocol.Fail;
import juniperusher.Protocol.ListFailed;
import juniperusher.Protocol.Outcome;
import juniperusher.Protocol.Phase;
import juniperusher.Protocol.Refuse;
import juniperusher.Protocol.Report;
import juniperusher.Protocol.Send;
import juniperusher.Protocol.Target;
import juniperusher.Protocol.TargetList;
import juniperusher.Protocol.Watch;
import juniperusher.Protocol.Weight;
import juniperusher.Protocol.Withdrawn;
import juniperusher.Protocol.Woken;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

class ControlTest {
    private static final int PLAIN = 0;
    private static final int BATCHED = 1;
    private static final int APART = 2;

    private static Script plain() {
        return new Script(Script.settings(), target(1, 9, PLAIN, 0));
    }

    private static Allowed allowed(int attempts, int held, int calls) {
        return new Allowed(attempts, held, calls, false, false, false, false, true, 2, 1, 10);
    }

    // ---- the ordinary path ----

    @Test
    void aMessageGoesAtOnceToItsDestination() {
        Script s = new Script(Script.settings(), target(1, 9, PLAIN, 0), target(2, 8, PLAIN, 0));
        List<Send> sends = sends(s.play(message(1, SAFE_CLASS, 8)));
        assertEquals(1, sends.size());
        assertEquals(2, sends.get(0).target());
        assertEquals(List.of(), s.end(1, Outcome.DELIVERED));
        assertTrue(s.isOver(1));
    }

    @ParameterizedTest
    @EnumSource(
            value = Outcome.class,
            names = {"ERROR", "TIMED_OUT", "NOT_CONNECTED", "RESET"})
    void aFailedAttemptWaitsHalfToAllOfADoublingBase(Outcome outcome) {
        Script s = plain();
        s.play(message(1, SAFE_CLASS, 9));
        assertEquals(List.of(), s.end(1, outcome));
        double end = s.now;
        assertEquals(List.of(), sent(s.until(end + 0.24)));
        assertEquals(List.of(1), sent(s.until(end + 0.51)));
        s.end(1, outcome);
        end = s.now;
        assertEquals(List.of(), sent(s.until(end + 0.49)));
        assertEquals(List.of(1), sent(s.until(end + 1.01)));
    }

    @Test
    void pausesVaryByChance() {
        Script s = plain();
        TreeSet<Integer> times = new TreeSet<>();
        for (int i = 1; i <= 3; i++) {
            s.play(message(i, SAFE_CLASS, 9));
            s.end(i, Outcome.ERROR);
            double end = s.now;
            double step = end;
            while (sent(s.until(step)).isEmpty()) {
                step += 0.01;
            }
            times.add((int) Math.round((step - end) * 100));
            s.end(i, Outcome.DELIVERED);
        }
        assertTrue(times.size() > 1, "pauses were alike: " + times);
    }

    @Test
    void aMessageWhosePauseWouldPassItsDeadlineIsGivenUpAtOnce() {
        Script s = plain();
        s.play(message(1, SAFE_CLASS, 9));
        s.until(19.6);
        List<Action> actions = s.end(1, Outcome.TIMED_OUT);
        assertEquals(1, actions.size());
        assertTrue(actions.get(0) instanceof Refuse refuse && refuse.message() == 1, actions.toString());
    }

    @Test
    void attemptsRunOut() {
        Script s = new Script(Script.settings(allowed(2, 100, 20), false, Weight.NONE), target(1, 9, PLAIN, 0));
        s.play(message(1, KEYED_CLASS, 9));
        s.end(1, Outcome.FULL);
        assertEquals(List.of(1), sent(s.until(1)));
        assertEquals(List.of(new Refuse(1, 0.5)), s.end(1, Outcome.FULL));
    }

    // ---- told waits ----

    @Test
    void aToldWaitHoldsTheDestinationForAllMessages() {
        Script s = new Script(Script.settings(), target(1, 9, PLAIN, 0), target(2, 9, PLAIN, 0));
        s.play(message(1, SAFE_CLASS, 9));
        s.end(1, Outcome.FULL, 2, null);
        assertEquals(List.of(), s.play(message(2, SAFE_CLASS, 9)));
        assertEquals(List.of(), s.until(2));
        assertEquals(List.of(2), sent(s.until(2.01)));
        s.end(2, Outcome.DELIVERED);
        assertEquals(List.of(1), sent(s.until(3.1)));
    }

    @Test
    void thePaceReturnsToTheReportedShareOnceTheLimitIsBack() {
        assertEquals(1, sentIn(new Report(400, 0.1)), "others use the limit up");
        assertTrue(sentIn(new Report(400, 0.9)) > 10, "most of the limit is left");
    }

    /** How many of 40 messages go in a tenth of a second after a cut and, 2 s later, a report. */
    private static int sentIn(Report report) {
        Script s = plain();
        s.play(message(1, SAFE_CLASS, 9));
        s.end(1, Outcome.FULL);
        assertEquals(List.of(1), sent(s.until(2)));
        s.end(1, Outcome.DELIVERED, 0, report);
        s.until(4);
        int sent = 0;
        for (int id = 2; id < 42; id++) {
            sent += sends(s.play(message(id, SAFE_CLASS, 9))).size();
        }
        return sent;
    }

    @Test
    void targetsLongGoneAreForgottenButTheirDestinationsWaitIsNot() {
        Script s = plain();
        for (int id = 2; id < 50; id++) {
            s.until(s.now + 1);
            s.play(new TargetList(false, List.of(target(id - 1, 9, PLAIN, 0).gone(), target(id, 9, PLAIN, 0))));
        }
        assertTrue(s.control.targets.size() < 10, "remembers " + s.control.targets.size());
        s.play(message(1, SAFE_CLASS, 9));
        s.end(1, Outcome.FULL, 15, null);
        double told = s.now;
        s.play(new TargetList(false, List.of(target(49, 9, PLAIN, 0).gone())));
        s.until(told + 7);
        s.play(new TargetList(false, List.of(target(50, 9, PLAIN, 0))));
        s.play(new TargetList(false, List.of(target(50, 9, PLAIN, 0))));
        assertEquals(List.of(), s.play(message(2, SAFE_CLASS, 9)));
        assertEquals(List.of(), sent(s.until(told + 14.9)));
        assertEquals(1, sent(s.until(told + 18)).size(), "the trial after so long a wait");
    }

    @Test
    void aToldWaitBindsOnlyTheRouteWhereRoutesAreApart() {
        Script s = new Script(Script.settings(), target(1, 9, APART, 0), target(2, 9, APART, 0));
        int first = sends(s.play(message(1, SAFE_CLASS, 9))).get(0).target();
        s.end(1, Outcome.FULL, 2, null);
        List<Send> sends = sends(s.play(message(2, SAFE_CLASS, 9)));
        assertEquals(1, sends.size());
        assertEquals(3 - first, sends.get(0).target());
    }

    @Test
    void aToldWaitOfAnyMessageOfACallCounts() {
        Script s = new Script(Script.settings(), target(1, 9, BATCHED, 0));
        assertEquals(List.of(1, 2), sent(s.play(message(1, SAFE_CLASS, 9), message(2, SAFE_CLASS, 9))));
        s.play(s.ended(1, Outcome.FULL, 0, null), s.ended(2, Outcome.FULL, 1.5, null));
        assertEquals(List.of(), sent(s.until(1.5)));
        assertEquals(2, sent(s.until(3)).size());
    }

    @Test
    void aMessageIsGivenUpAtOnceWhenTheToldWaitPassesItsDeadline() {
        Script s = plain();
        s.play(message(1, SAFE_CLASS, 9));
        s.until(1);
        assertEquals(List.of(new Refuse(1, 2)), s.end(1, Outcome.FULL, 30, null));
        assertEquals(List.of(new Refuse(2, 2)), s.play(message(2, SAFE_CLASS, 9)));
    }

    // ---- what may have run ----

    @ParameterizedTest
    @EnumSource(
            value = Outcome.class,
            names = {"ERROR", "TIMED_OUT", "RESET", "CANCELLED"})
    void anUnsafeMessageThatMayHaveRunFailsAtOnce(Outcome outcome) {
        Script s = plain();
        s.play(message(1, UNSAFE_CLASS, 9));
        assertEquals(List.of(new Fail(1)), s.end(1, outcome));
    }

    @ParameterizedTest
    @EnumSource(
            value = Outcome.class,
            names = {"FULL", "NOT_CONNECTED", "NOT_SENT"})
    void anUnsafeMessageThatNeverRanIsTriedAgain(Outcome outcome) {
        Script s = plain();
        s.play(message(1, UNSAFE_CLASS, 9));
        s.end(1, outcome);
        assertEquals(List.of(1), sent(s.until(2)));
    }

    @Test
    void aKeyedMessageIsRepeatedOnlyInItsZoneAndWindow() {
        Script s = new Script(Script.settings(), target(1, 9, APART, 0), target(2, 9, APART, 1));
        int first = sends(s.play(message(1, KEYED_ZONE_CLASS, 9))).get(0).target();
        s.until(1);
        s.end(1, Outcome.TIMED_OUT);
        s.play(new TargetList(false, List.of(phase(target(first, 9, APART, first - 1), Phase.DRAINING))));
        List<Action> actions = s.until(15);
        assertEquals(List.of(new Fail(1)), actions);
    }

    @Test
    void aKeyedMessageMayBeRefusedWhereAllTargetsDropRepeats() {
        Script s = plain();
        s.play(message(1, KEYED_CLASS, 9));
        s.until(11);
        assertEquals(List.of(new Refuse(1, 0.5)), s.end(1, Outcome.TIMED_OUT));
    }

    // ---- order by key ----

    @Test
    void messagesOfAKeyGoOneAtATimeInOrder() {
        Script s = plain();
        assertEquals(List.of(1), sent(s.play(message(1, ORDERED_CLASS, 9, 5), message(2, ORDERED_CLASS, 9, 5))));
        s.end(1, Outcome.NOT_CONNECTED);
        assertEquals(List.of(1), sent(s.until(1)));
        assertEquals(List.of(2), sent(s.end(1, Outcome.DELIVERED)));
    }

    @Test
    void aKeyRestsAfterAnAttemptThatMayStillRun() {
        Script s = plain();
        s.play(message(1, ORDERED_CLASS, 9, 5), message(2, ORDERED_CLASS, 9, 5));
        s.until(11);
        assertEquals(List.of(new Refuse(1, 0.5)), s.end(1, Outcome.TIMED_OUT));
        assertEquals(List.of(), sent(s.until(11.49)));
        assertEquals(List.of(2), sent(s.until(11.51)));
    }

    @Test
    void aWithdrawnMessageKeepsItsTurnUntilItsOutcome() {
        Script s = plain();
        s.play(message(1, ORDERED_CLASS, 9, 5), message(2, ORDERED_CLASS, 9, 5));
        assertEquals(List.of(), s.play(new Withdrawn(1)));
        assertEquals(List.of(2), sent(s.end(1, Outcome.DELIVERED)));
    }

    // ---- the list ----

    @Test
    void drainedAndGoneTargetsGetNothingNew() {
        Script s = new Script(Script.settings(), target(1, 9, PLAIN, 0), target(2, 9, PLAIN, 0));
        s.play(new TargetList(false, List.of(phase(target(1, 9, PLAIN, 0), Phase.DRAINING))));
        assertEquals(2, sends(s.play(message(1, SAFE_CLASS, 9))).get(0).target());
        s.play(new TargetList(true, List.of(target(3, 9, PLAIN, 0))));
        assertEquals(3, sends(s.play(message(2, SAFE_CLASS, 9))).get(0).target());
    }

    @Test
    void aMessageWithoutATargetIsHeldAndThenAnsweredInTime() {
        Script s = new Script(Script.settings());
        assertEquals(List.of(), s.play(message(1, SAFE_CLASS, 9), message(2, SAFE_CLASS, 8)));
        s.until(5);
        assertEquals(List.of(1), sent(s.play(new TargetList(false, List.of(target(1, 9, PLAIN, 0))))));
        s.end(1, Outcome.DELIVERED);
        assertEquals(List.of(new Refuse(2, 0.5)), s.until(20));
    }

    @Test
    void theListIsAskedForAndAskedAgainAfterFailure() {
        Control control = new Control(Script.settings(Script.ALLOWED, true, Weight.NONE), 1);
        assertTrue(control.decide(0, List.of(new TargetList(true, List.of()))).contains(new Watch(true)));
        List<Action> actions = control.decide(1, List.of(new ListFailed()));
        assertFalse(actions.contains(new Watch(true)));
        assertTrue(control.decide(1.6, List.of(new Woken(1))).contains(new Watch(true)));
    }

    // ---- pace ----

    @Test
    void aRefusalAsFullStartsAPace() {
        Script s = plain();
        for (int i = 1; i <= 10; i++) {
            s.play(message(i, SAFE_CLASS, 9));
            s.end(i, Outcome.DELIVERED);
        }
        s.play(message(11, SAFE_CLASS, 9));
        s.end(11, Outcome.FULL);
        Event[] many = new Event[10];
        for (int i = 0; i < many.length; i++) {
            many[i] = message(20 + i, SAFE_CLASS, 9);
        }
        int atOnce = sent(s.play(many)).size();
        assertTrue(atOnce <= 3, atOnce + " sent at once in spite of the pace");
        assertTrue(sent(s.until(3)).size() > 5, "the pace never let go");
    }

    @Test
    void aReportOfNoughtSetsNoPaceBeforeARefusal() {
        Script s = new Script(Script.settings(Script.ALLOWED, false, Weight.ROUGH), target(1, 9, PLAIN, 0));
        s.play(message(1, SAFE_CLASS, 9));
        s.end(1, Outcome.DELIVERED, 0, new Report(0, 0));
        Event[] many = new Event[8];
        for (int i = 0; i < many.length; i++) {
            many[i] = message(20 + i, SAFE_CLASS, 9);
        }
        assertEquals(8, sent(s.play(many)).size());
    }

    /** Just after a start few successes are known: a pace by these would let what is owed expire. */
    @Test
    void whereNoLimitIsReportedTheFirstCutGoesByTheListedShare() {
        Target large = new Target(1, 9, PLAIN, 0, 60, Phase.READY);
        Script s = new Script(Script.settings(allowed(8, 100, 100), false, Weight.ROUGH), large);
        s.play(message(1, SAFE_CLASS, 9));
        s.end(1, Outcome.DELIVERED, 0, new Report(0, 0));
        s.play(message(2, SAFE_CLASS, 9));
        s.end(2, Outcome.FULL, 0, new Report(0, 0));
        Event[] many = new Event[60];
        for (int i = 0; i < many.length; i++) {
            many[i] = message(20 + i, SAFE_CLASS, 9);
        }
        int first = sent(s.play(many)).size();
        int later = sent(s.until(s.now + 0.5)).size();
        assertTrue(first < 30, "a pace is set: " + first + " at once");
        assertTrue(later >= 20, later + " in half a second, of a listed rate of 60 a second");
    }

    // ---- breaker and slow start ----

    private static void trip(Script s, Outcome outcome) {
        for (int i = 100; i < 106; i++) {
            s.play(message(i, SAFE_CLASS, 9));
        }
        s.until(s.now + 0.05);
        for (int i = 100; i < 106; i++) {
            s.end(i, outcome);
        }
    }

    @ParameterizedTest
    @EnumSource(
            value = Outcome.class,
            names = {"ERROR", "NOT_CONNECTED", "RESET", "TIMED_OUT"})
    void mostCallsFailingOpensTheBreakerAndOneTrialGoes(Outcome outcome) {
        Script s = plain();
        trip(s, outcome);
        assertEquals(List.of(), s.play(message(1, SAFE_CLASS, 9)));
        assertEquals(1, sent(s.until(s.now + 0.75)).size());
        assertEquals(List.of(), sent(s.until(s.now + 3)));
    }

    @Test
    void aTrialPrefersSafeMessages() {
        Script s = plain();
        trip(s, Outcome.NOT_CONNECTED);
        s.play(message(1, UNSAFE_CLASS, 9), message(2, KEYED_CLASS, 9), message(3, SAFE_CLASS, 9));
        List<Integer> trial = sent(s.until(s.now + 0.75));
        assertEquals(1, trial.size());
        assertTrue(trial.get(0) == 3 || trial.get(0) >= 100, "trial by " + trial);
    }

    @Test
    void aReturningDestinationIsNotFloodedWithHeldMessages() {
        Script s = plain();
        trip(s, Outcome.NOT_CONNECTED);
        for (int i = 1; i <= 30; i++) {
            s.play(message(i, SAFE_CLASS, 9));
        }
        int trial = sent(s.until(s.now + 0.75)).get(0);
        assertEquals(
                1,
                sent(s.end(trial, Outcome.DELIVERED)).size()
                        + sent(s.until(s.now + 0.9)).size());
    }

    @Test
    void aReturnSeenElsewhereBeginsTheSlowStartWithoutATrial() {
        Script s = plain();
        trip(s, Outcome.NOT_CONNECTED);
        for (int i = 1; i <= 30; i++) {
            s.play(message(i, SAFE_CLASS, 9));
        }
        assertEquals(List.of(), sent(s.play(new Advised(9, 2, 100, 0, false))), "it is open");
        List<Integer> sent = new ArrayList<>(sent(s.play(new Advised(9, 2, 100, 0, true))));
        sent.addAll(sent(s.until(s.now + 2)));
        assertTrue(sent.size() >= 2 && sent.size() <= 5, "two a second are stated, sent were " + sent);
    }

    @Test
    void aReturnSeenElsewhereEndsNoToldWait() {
        Script s = plain();
        s.play(message(1, SAFE_CLASS, 9));
        s.end(1, Outcome.FULL, 5, null);
        s.play(message(2, SAFE_CLASS, 9), new Advised(9, 10, 100, 0, false));
        assertEquals(List.of(), sent(s.play(new Advised(9, 10, 100, 0, true))));
        assertEquals(List.of(), sent(s.until(s.now + 4.9)));
    }

    @Test
    void oneSlowAnswerDoesNotOpenTheBreakerButSilenceDoes() {
        Script s = plain();
        s.play(message(1, SAFE_CLASS, 9));
        s.end(1, Outcome.DELIVERED);
        s.until(0.5);
        s.play(message(2, SAFE_CLASS, 9));
        s.until(2);
        assertEquals(List.of(3), sent(s.play(message(3, SAFE_CLASS, 9))));
        s.until(3.5);
        assertEquals(List.of(), sent(s.play(message(4, SAFE_CLASS, 9))));
    }

    @Test
    void failedConnectsBesideSuccessesCapConnectionsAndOpenNothing() {
        Script s = plain();
        for (int i = 1; i <= 8; i++) {
            s.play(message(i, SAFE_CLASS, 9));
        }
        s.end(1, Outcome.DELIVERED);
        for (int i = 5; i <= 8; i++) {
            s.end(i, Outcome.NOT_CONNECTED);
        }
        assertEquals(List.of(), sent(s.play(message(9, SAFE_CLASS, 9))));
        assertEquals(List.of(9), sent(s.end(2, Outcome.DELIVERED)));
    }

    @Test
    void refusedTrialsAfterToldWaitsDrawApart() {
        Script s = plain();
        s.play(message(1, SAFE_CLASS, 9));
        s.end(1, Outcome.FULL, 3.5, null);
        double gap = 0;
        for (int round = 0; round < 4; round++) {
            double refused = s.now;
            int id = 10 + round;
            s.play(message(id, SAFE_CLASS, 9));
            List<Integer> trial = List.of();
            while (trial.isEmpty()) {
                trial = sent(s.until(s.now + 0.1));
            }
            gap = s.now - refused;
            assertEquals(1, trial.size());
            s.end(trial.get(0), Outcome.FULL, 1, null);
        }
        assertTrue(gap > 1 + 2.7, "the fourth trial came " + gap + " s after the third");
    }

    @Test
    void aTrialCallOfABatchKindIsFilled() {
        Script s = new Script(Script.settings(), target(1, 9, BATCHED, 0));
        s.play(message(1, SAFE_CLASS, 9));
        s.end(1, Outcome.FULL, 3.5, null);
        for (int i = 2; i <= 8; i++) {
            s.play(message(i, SAFE_CLASS, 9));
        }
        assertEquals(5, sent(s.until(4.3)).size());
    }

    @Test
    void aFlakyEndpointIsPassedOverForASoundOne() {
        Script s = new Script(Script.settings(), target(1, 9, PLAIN, 0), target(2, 9, PLAIN, 0));
        for (int i = 1; i <= 10; i++) {
            int target = sends(s.play(message(i, KEYED_ZONE_CLASS, 9))).get(0).target();
            if (i > 2) {
                assertEquals(2, target, "message " + i);
            }
            s.end(i, target == 1 ? Outcome.ERROR : Outcome.DELIVERED);
        }
    }

    @Test
    void callsAtASilentDestinationAreCalledOffWhenSlotsAreScarce() {
        Allowed allowed = new Allowed(8, 100, 6, true, false, false, false, true, 2, 1, 10);
        Script s = new Script(
                Script.settings(allowed, false, Weight.NONE), target(1, 9, PLAIN, 0), target(2, 8, PLAIN, 0));
        s.play(
                message(1, SAFE_CLASS, 9),
                message(2, SAFE_CLASS, 9),
                message(3, UNSAFE_CLASS, 9),
                message(4, SAFE_CLASS, 8));
        s.until(1.5);
        List<Action> actions = s.play(message(5, SAFE_CLASS, 9));
        assertEquals(List.of(new Protocol.Cancel(1, 0), new Protocol.Cancel(2, 0)), actions);
    }

    @Test
    void aTrialThatHasWaitedGetsTheNextFreeSlot() {
        Script s = new Script(
                Script.settings(allowed(8, 100, 2), false, Weight.NONE),
                target(1, 9, PLAIN, 0),
                target(2, 8, PLAIN, 0));
        for (int i = 1; i <= 4; i++) {
            s.play(message(i, SAFE_CLASS, 9));
            s.end(i, Outcome.NOT_CONNECTED);
        }
        for (int i = 50; i < 60; i++) {
            s.play(message(i, SAFE_CLASS, 8));
        }
        s.until(0.2);
        assertEquals(List.of(), sent(s.until(4)));
        List<Send> sends = new java.util.ArrayList<>(sends(s.end(50, Outcome.DELIVERED)));
        sends.addAll(sends(s.end(51, Outcome.DELIVERED)));
        assertTrue(sends.stream().anyMatch(send -> send.target() == 1), sends.toString());
    }

    @Test
    void aTrialAtADestinationThatHangsCarriesOneMessageThatMayNotBeRepeatedFreely() {
        Script s = new Script(Script.settings(), target(1, 9, BATCHED, 0));
        s.play(message(1, KEYED_ZONE_CLASS, 9));
        s.until(0.3);
        s.play(message(2, KEYED_ZONE_CLASS, 9));
        s.until(1.5);
        assertEquals(List.of(), sent(s.play(message(3, KEYED_ZONE_CLASS, 9), message(4, KEYED_ZONE_CLASS, 9))));
        assertEquals(1, sent(s.until(2.3)).size());
    }

    // ---- slots and room ----

    @Test
    void noDestinationTakesAllSlots() {
        Script s = new Script(
                Script.settings(allowed(8, 100, 10), false, Weight.NONE),
                target(1, 9, PLAIN, 0),
                target(2, 8, PLAIN, 0));
        Event[] many = new Event[20];
        for (int i = 0; i < many.length; i++) {
            many[i] = message(i + 1, SAFE_CLASS, 9);
        }
        assertEquals(6, sent(s.play(many)).size());
        assertEquals(List.of(50), sent(s.play(message(50, SAFE_CLASS, 8))));
    }

    @Test
    void messagesAreShedBeforeRoomRunsOut() {
        Script s = new Script(Script.settings(allowed(8, 20, 10), false, Weight.NONE));
        int refused = 0;
        for (int i = 1; i <= 25; i++) {
            refused += s.play(message(i, SAFE_CLASS, 9)).size();
        }
        assertEquals(6, refused);
    }

    @Test
    void roomIsTakenFromTheDestinationWithTheMostHeld() {
        Script s = new Script(Script.settings(allowed(8, 20, 10), false, Weight.NONE));
        s.play(message(100, SAFE_CLASS, 8));
        for (int i = 1; i <= 24; i++) {
            s.play(message(i, SAFE_CLASS, 9));
        }
        assertFalse(s.isOver(100), "the one message of another destination was shed");
    }

    @Test
    void sendsOfARoundToOneTargetShareACallAndASlot() {
        Script s = new Script(Script.settings(allowed(8, 100, 2), false, Weight.NONE), target(1, 9, BATCHED, 0));
        Event[] many = new Event[12];
        for (int i = 0; i < many.length; i++) {
            many[i] = message(i + 1, SAFE_CLASS, 9);
        }
        assertEquals(10, sent(s.play(many)).size());
    }

    // ---- many senders, each with few calls ----

    /** zone+vast: 14 relays, each with an idle connection to all endpoints, filled their tables. */
    @ParameterizedTest
    @ValueSource(ints = {2, 14, 50})
    void onceATableWasFullConnectionsOfItsKindAreClosedWhenNothingUsesThem(int senders) {
        Script s = new Script(
                Script.settings(senders), target(1, 9, PLAIN, 0), target(2, 8, PLAIN, 0), target(3, 7, APART, 0));
        s.play(message(1, SAFE_CLASS, 8));
        assertEquals(List.of(), s.end(1, Outcome.DELIVERED, 0, new Report(100, 0.9)), "none was full yet");
        s.play(message(2, SAFE_CLASS, 9));
        assertEquals(List.of(new Protocol.CloseIdle(1)), s.end(2, Outcome.FULL), "first word of that table");
        s.play(message(3, SAFE_CLASS, 8), message(4, SAFE_CLASS, 8), message(5, SAFE_CLASS, 7));
        assertEquals(List.of(), s.end(3, Outcome.DELIVERED), "another call is still out there");
        assertEquals(List.of(new Protocol.CloseIdle(2)), s.end(4, Outcome.DELIVERED));
        assertEquals(List.of(), s.end(5, Outcome.DELIVERED), "another kind");
        assertEquals(List.of(new Protocol.CloseIdle(2)), s.play(new Protocol.Probed(2, true, false, 0.1)));
        s.until(31);
        s.play(message(6, SAFE_CLASS, 8));
        assertEquals(List.of(), s.end(6, Outcome.DELIVERED), "half a minute later");
    }

    /** Fleet trial: where each of 100 relays had to be refused first, calm+mass fell from 0.61 to 0.54. */
    @Test
    void aFleetClosesAConnectionOnceNothingUsesItBeforeAnyTableWasFull() {
        for (int senders : List.of(50, 51)) {
            Script s = new Script(Script.settings(senders), target(1, 9, PLAIN, 0));
            s.play(message(1, SAFE_CLASS, 9));
            assertEquals(
                    senders == 50 ? List.of() : List.of(new Protocol.CloseIdle(1)),
                    s.end(1, Outcome.DELIVERED),
                    senders + " senders");
        }
    }

    /** A refusal at the limit brings a report, and none does where the kind reports nothing. */
    @Test
    void refusalsAtALimitAndWhereNothingIsReportedCloseNoConnection() {
        for (boolean reports : List.of(true, false)) {
            Script s = plain();
            s.play(message(1, SAFE_CLASS, 9), message(2, SAFE_CLASS, 9));
            s.end(1, Outcome.DELIVERED, 0, reports ? new Report(100, 0.9) : null);
            s.end(2, Outcome.FULL, 0, reports ? new Report(100, 0) : null);
            s.until(2);
            s.play(message(3, SAFE_CLASS, 9));
            assertEquals(List.of(), s.end(3, Outcome.DELIVERED), reports ? "reported" : "nothing reported");
        }
    }

    /** herd+mass: a full table cut the pace to 1.6 calls/s where a destination takes 185 of 60 senders. */
    @Test
    void aFullTableOfConnectionsCutsNoPaceAndIsTriedAgainSoon() {
        for (Report report : Arrays.asList(null, new Report(100, 0.9))) {
            Script s = new Script(Script.settings(60), target(1, 9, PLAIN, 0));
            s.play(message(1, SAFE_CLASS, 9));
            s.end(1, Outcome.DELIVERED, 0, new Report(100, 0.9));
            s.play(message(2, SAFE_CLASS, 9));
            s.end(2, Outcome.FULL, 0, report);
            int more = sends(s.play(message(3, SAFE_CLASS, 9), message(4, SAFE_CLASS, 9)))
                    .size();
            List<Integer> again = sent(s.until(0.6));
            if (report == null) {
                assertEquals(2, more, "no pace");
                assertEquals(List.of(2), again);
            } else {
                assertTrue(more < 2, "refused at the limit, which is reported: the pace is cut");
                assertFalse(again.contains(2), "a fleet's pause");
            }
        }
    }

    /** Without a success beside it, it may be an outage: the breaker opens as ever. */
    @Test
    void refusalsWithoutReportAndSuccessStillOpenTheBreaker() {
        Script s = new Script(Script.settings(60), target(1, 9, PLAIN, 0));
        s.play(message(1, SAFE_CLASS, 9));
        s.end(1, Outcome.DELIVERED, 0, new Report(100, 0.9));
        for (int i = 2; i < 14; i++) {
            List<Send> out = new ArrayList<>(sends(s.until(3 + i * 0.5)));
            out.addAll(sends(s.play(message(i, SAFE_CLASS, 9))));
            out.forEach(send -> s.end(send.message(), Outcome.FULL));
            assertEquals(i % 2 == 0 && i < 12 ? 1 : 0, out.size(), "none after 3 s of refusals");
        }
    }

    /** The others' calls are unseen where they spend a limit; what failed otherwise spent none. */
    @Test
    void pausesGrowWithTheSendersAfterRefusalsAlone() {
        for (Outcome outcome : List.of(Outcome.FULL, Outcome.ERROR, Outcome.NOT_CONNECTED, Outcome.RESET)) {
            Script s = new Script(Script.settings(60), target(1, 9, PLAIN, 0));
            s.play(message(1, SAFE_CLASS, 9));
            s.end(1, outcome);
            assertEquals(List.of(), sent(s.until(outcome == Outcome.FULL ? 1.38 : 0.24)), outcome.name());
            assertEquals(List.of(1), sent(s.until(outcome == Outcome.FULL ? 4 : 0.51)), outcome.name());
        }
    }

    @Test
    void trialsOfManySendersAreFarApartWhereTheyWouldSpendALimit() {
        Script s = new Script(Script.settings(60), target(1, 9, PLAIN, 0));
        s.play(message(1, SAFE_CLASS, 9));
        s.end(1, Outcome.FULL, 3.5, null); // shut
        s.until(3.6);
        assertEquals(List.of(), sent(s.play(message(2, SAFE_CLASS, 9))));
        assertEquals(List.of(), sent(s.until(5.4)));
        assertEquals(1, sent(s.until(7.6)).size());
    }

    /** split+mass: seven in ten relays took a destination for gone for 10 s after a zone was back. */
    @Test
    void trialsOfManySendersAfterFailedConnectsWaitOnlyForWhatAColdOneBears() {
        Script s = new Script(Script.settings(60), target(1, 9, PLAIN, 0));
        for (int i = 1; i <= 4; i++) {
            s.play(message(i, SAFE_CLASS, 9));
            s.end(i, Outcome.NOT_CONNECTED);
        }
        List<Integer> trial = sent(s.until(0.71));
        assertEquals(1, trial.size());
        s.end(trial.get(0), Outcome.NOT_CONNECTED);
        // 60 senders at 24 calls a second: 0.3 of that, with its chance, is for trials.
        assertEquals(1, sent(s.until(3.4)).size());
    }

    @Test
    void returnsAfterAToldWaitSpreadWiderWithManySenders() {
        double latest = 0;
        for (int i = 1; i <= 8; i++) {
            Script s = new Script(Script.settings(60), target(1, 9, PLAIN, 0), target(2, 8, PLAIN, 0));
            for (int draws = 0; draws < i; draws++) {
                s.play(message(100 + draws, SAFE_CLASS, 8));
                s.end(100 + draws, Outcome.FULL);
            }
            s.play(message(1, SAFE_CLASS, 9), message(2, SAFE_CLASS, 9));
            s.end(2, Outcome.DELIVERED);
            s.end(1, Outcome.FULL, 1, null);
            assertFalse(sent(s.until(1)).contains(1), "before the wait was over");
            double at = 1;
            while (at < 19 && !sent(s.until(at)).contains(1)) {
                at += 0.1;
            }
            latest = Math.max(latest, at);
        }
        assertTrue(latest > 1.5, "the last returned after " + latest);
    }

    @Test
    void aToldWaitCutsThePaceOfARareSenderToItsDemand() {
        Script s = new Script(Script.settings(60), target(1, 9, PLAIN, 0));
        s.play(message(1, SAFE_CLASS, 9));
        s.end(1, Outcome.FULL, 1, null);
        s.until(1.1);
        s.play(message(2, SAFE_CLASS, 9), message(3, SAFE_CLASS, 9));
        assertTrue(sent(s.until(12)).size() <= 2, "more than the demand of three in eleven seconds allows");
    }

    @Test
    void aRefusalThatTellsNoWaitLeavesARareSenderACallASecond() {
        Script s = new Script(Script.settings(60), target(1, 9, PLAIN, 0));
        s.play(message(1, SAFE_CLASS, 9));
        s.end(1, Outcome.FULL);
        s.until(1.1);
        List<Action> actions = new java.util.ArrayList<>(s.play(message(2, SAFE_CLASS, 9)));
        actions.addAll(s.until(1.5));
        assertTrue(sent(actions).contains(2), actions.toString());
    }

    /** Messages that fail two seconds apart, then whether a third is held. */
    private static boolean heldAfterTwoFailures(int senders, Outcome outcome, boolean successBetween) {
        Script s = new Script(Script.settings(senders), target(1, 9, PLAIN, 0));
        s.play(message(1, UNSAFE_CLASS, 9));
        s.end(1, outcome);
        s.play(new Withdrawn(1));
        s.until(1);
        if (successBetween) {
            s.play(message(2, SAFE_CLASS, 9));
            s.end(2, Outcome.DELIVERED);
        }
        s.until(2);
        s.play(message(3, UNSAFE_CLASS, 9));
        s.end(3, outcome);
        s.play(new Withdrawn(3));
        return sent(s.play(message(4, SAFE_CLASS, 9))).isEmpty();
    }

    @Test
    void failuresInARowOpenTheBreakerOfARareSender() {
        assertTrue(heldAfterTwoFailures(60, Outcome.ERROR, false));
        assertFalse(heldAfterTwoFailures(60, Outcome.ERROR, true), "a success stood between");
    }

    @Test
    void failedConnectsInARowOpenItOnlyWhereAReturnBearsLittleForItsSenders() {
        assertTrue(heldAfterTwoFailures(60, Outcome.NOT_CONNECTED, false));
        assertFalse(heldAfterTwoFailures(2, Outcome.NOT_CONNECTED, false));
    }

    /** Sends within half a second of a success that follows two failed connects, two seconds apart. */
    private static int sentAfterShortOutage(double tipAfter) {
        Script s = new Script(Script.settings(1, tipAfter), target(1, 9, PLAIN, 0));
        s.play(message(1, UNSAFE_CLASS, 9));
        s.end(1, Outcome.NOT_CONNECTED);
        s.play(new Withdrawn(1));
        s.until(2);
        s.play(message(2, UNSAFE_CLASS, 9));
        s.end(2, Outcome.NOT_CONNECTED);
        s.play(new Withdrawn(2));
        s.play(message(3, SAFE_CLASS, 9));
        s.end(3, Outcome.DELIVERED);
        List<Action> actions = new java.util.ArrayList<>(s.play(
                message(4, SAFE_CLASS, 9),
                message(5, SAFE_CLASS, 9),
                message(6, SAFE_CLASS, 9),
                message(7, SAFE_CLASS, 9)));
        actions.addAll(s.until(2.5));
        return sent(actions).size();
    }

    @Test
    void aShortOutageBeginsSlowStartOnlyWhereAReturnBearsLittle() {
        assertTrue(sentAfterShortOutage(1.5) < 4);
        assertEquals(4, sentAfterShortOutage(4));
    }

    @Test
    void aCallTimesOutAtItsAimAnUnsafeOneAtThreeTimesThatWhileSlotsAreFree() {
        Script s = plain();
        assertEquals(3.0, sends(s.play(message(1, SAFE_CLASS, 9))).get(0).timeout());
        assertEquals(9.0, sends(s.play(message(2, UNSAFE_CLASS, 9))).get(0).timeout());
        List<Send> last = List.of();
        for (int i = 3; i < 40 && (last.isEmpty() || last.get(0).timeout() > 3.0); i++) {
            last = sends(s.play(message(i, UNSAFE_CLASS, 9)));
            assertEquals(1, last.size(), "slots are left");
        }
        assertEquals(3.0, last.get(0).timeout(), "most slots are held: one more waits its aim");
    }

    /** pieces+silent+leave: silent connections held a quarter of the slots, orders for 4 s each. */
    @Test
    void withAllSlotsOutAnOverdueCallIsCalledOffWhereLaterOnesWereAnswered() {
        Script s =
                new Script(Script.settings(), target(1, 9, PLAIN, 0), target(2, 8, PLAIN, 0), target(3, 7, PLAIN, 0));
        s.play(message(1, UNSAFE_CLASS, 9));
        s.play(message(2, UNSAFE_CLASS, 8));
        s.until(1);
        s.play(message(3, SAFE_CLASS, 9));
        s.end(3, Outcome.DELIVERED);
        List<Action> heard = new ArrayList<>(s.until(2));
        assertFalse(heard.stream().anyMatch(Cancel.class::isInstance), "slots are left");
        for (int i = 4; i < 60; i++) {
            heard.addAll(s.play(message(i, SAFE_CLASS, 7 + i % 3)));
        }
        assertEquals(
                Set.of(new Cancel(1, 0)),
                heard.stream().filter(Cancel.class::isInstance).collect(Collectors.toSet()),
                "no later call was answered where the second is out");
    }

    /** Operators' days: an endpoint held out for maintenance is restarted meanwhile and comes back cold. */
    @Test
    void anEndpointBackFromADrainGetsItsPartOnlyAsItWarmsUp() {
        Target one = target(1, 9, PLAIN, 0);
        Target two = target(2, 9, PLAIN, 0);
        Script s = new Script(Script.settings(), one, two);
        s.play(new TargetList(false, List.of(phase(two, Phase.DRAINING))));
        s.until(5);
        s.play(new TargetList(false, List.of(two)));
        List<Send> cold = sends(s.play(
                message(1, SAFE_CLASS, 9),
                message(2, SAFE_CLASS, 9),
                message(3, SAFE_CLASS, 9),
                message(4, SAFE_CLASS, 9)));
        assertEquals(List.of(1, 1, 1, 1), cold.stream().map(Send::target).toList());
        cold.forEach(send -> s.end(send.message(), Outcome.DELIVERED));
        s.until(30);
        List<Send> warm = sends(s.play(
                message(5, SAFE_CLASS, 9),
                message(6, SAFE_CLASS, 9),
                message(7, SAFE_CLASS, 9),
                message(8, SAFE_CLASS, 9)));
        assertTrue(warm.stream().anyMatch(send -> send.target() == 2), "warm again");
    }

    /** A connect that fails tells of a full table only where another call is out and calls succeed. */
    @Test
    void aConnectFailedBesideSuccessesTellsOfAFullTableAndAnOutageDoesNot() {
        for (boolean sound : List.of(true, false)) {
            Script s = new Script(Script.settings(), target(1, 9, PLAIN, 0), target(2, 8, PLAIN, 0));
            s.play(message(1, SAFE_CLASS, 9), message(2, SAFE_CLASS, 9), message(3, SAFE_CLASS, 9));
            s.end(1, sound ? Outcome.DELIVERED : Outcome.NOT_CONNECTED);
            s.end(2, Outcome.NOT_CONNECTED);
            s.play(message(4, SAFE_CLASS, 8));
            assertEquals(sound ? List.of(new Protocol.CloseIdle(2)) : List.of(), s.end(4, Outcome.DELIVERED));
        }
    }

    @Test
    void keysAreForgottenOnceTheirRestIsOver() throws ReflectiveOperationException {
        Script s = plain();
        for (int i = 1; i <= 50; i++) {
            s.play(message(i, ORDERED_CLASS, 9, i));
            s.end(i, i % 2 == 0 ? Outcome.TIMED_OUT : Outcome.DELIVERED);
            s.play(new Withdrawn(i));
            s.until(s.now + 1);
        }
        s.play();
        java.lang.reflect.Field keys = Control.class.getDeclaredField("keys");
        keys.setAccessible(true);
        assertEquals(0, ((java.util.Map<?, ?>) keys.get(s.control)).size());
    }

    // ---- bad input ----

    @Test
    void lateRepeatedAndUnknownEventsDoNoHarm() {
        Script s = plain();
        s.play(message(1, SAFE_CLASS, 9));
        Ended once = s.ended(1, Outcome.DELIVERED, 0, null);
        s.play(once);
        assertEquals(
                List.of(),
                s.play(
                        once,
                        new Ended(77, 0, 1, Outcome.ERROR, 0, false, 0, null),
                        new Woken(99),
                        new Withdrawn(1),
                        new Withdrawn(78),
                        new Ended(1, 5, 66, Outcome.FULL, 0, false, 1, null)));
        assertEquals(0, s.outcomesDue());
    }

    @Test
    void timeMayNotGoBack() {
        Control control = new Control(Script.settings(), 1);
        control.decide(5, List.of());
        assertThrows(IllegalArgumentException.class, () -> control.decide(4.9, List.of()));
    }

    @Test
    void contradictorySettingsNameTheField() {
        String message = assertThrows(IllegalArgumentException.class, () -> allowed(0, 1, 1))
                .getMessage();
        assertTrue(message.contains("attempts"), message);
    }

    // ---- many senders, routes apart ----

    /** i660f52: each of many senders found a dead route anew, message by message, and again at its return. */
    @Test
    void aRareSenderLeavesARouteAfterOneFailureWhileOthersAreSound() {
        Script s = new Script(Script.settings(200), target(1, 9, APART, 0), target(2, 9, APART, 0));
        int dead = sends(s.play(message(1, SAFE_CLASS, 9))).get(0).target();
        s.end(1, Outcome.NOT_CONNECTED);
        for (int i = 2; i < 6; i++) {
            s.until(i * 0.1);
            List<Send> sends = sends(s.play(message(i, SAFE_CLASS, 9)));
            assertEquals(List.of(3 - dead), sends.stream().map(Send::target).toList());
        }
    }

    /** umoja-nairobi h602702: trials of 215 senders at one route of three added up to its fall. */
    @Test
    void aRouteBesideASoundOneIsTriedLate() {
        Script s = new Script(Script.settings(200), target(1, 9, APART, 0), target(2, 9, APART, 0));
        int dead = sends(s.play(message(1, SAFE_CLASS, 9))).get(0).target();
        s.end(1, Outcome.ERROR);
        s.until(7.4);
        for (Send send : sends(s.play(message(2, SAFE_CLASS, 9), message(3, SAFE_CLASS, 9)))) {
            assertEquals(3 - dead, send.target());
        }
    }

    /** h3991ac: trials of all that know of an outage are no more than a cold destination bears. */
    @Test
    void trialsOfASenderDrawApartAsTheOutageLasts() {
        Script s = new Script(Script.settings(), target(1, 9, PLAIN, 0));
        s.until(40); // one message in a long time: little is seen of the destination
        trip(s, Outcome.ERROR);
        int trials = 0;
        for (int step = 0; step < 72; step++) {
            for (Send send : sends(s.until(s.now + 0.25))) {
                trials++;
                s.end(send.message(), Outcome.ERROR);
            }
        }
        assertTrue(trials >= 1 && trials <= 5, trials + " trials in 18 s");
    }

    // ---- connections that are dropped unseen ----

    /** umoja-nairobi, big-1: each sender lost what it sent on a connection unused for a while. */
    @ParameterizedTest
    @EnumSource(
            value = Outcome.class,
            names = {"RESET", "TIMED_OUT"})
    void afterAFailureOnAnIdleConnectionIdleOnesAreClosedBeforeUse(Outcome outcome) {
        Script s = new Script(Script.settings(), target(1, 9, PLAIN, 0), target(2, 8, PLAIN, 0));
        s.play(message(1, UNSAFE_CLASS, 9));
        s.play(message(2, UNSAFE_CLASS, 8));
        s.end(1, Outcome.DELIVERED);
        s.end(2, Outcome.DELIVERED);
        s.until(2);
        s.play(message(3, UNSAFE_CLASS, 9));
        assertEquals(List.of(new Fail(3)), s.end(3, outcome));
        assertTrue(
                s.play(message(4, UNSAFE_CLASS, 8)).get(0) instanceof Protocol.CloseIdle close && close.target() == 2);
        s.end(4, Outcome.DELIVERED);
        s.until(2.5);
        assertEquals(1, s.play(message(5, UNSAFE_CLASS, 8)).size(), "used a moment ago: no need to close");
        s.end(5, Outcome.DELIVERED);
        s.until(20);
        assertEquals(1, s.play(message(6, UNSAFE_CLASS, 8)).size(), "closed by itself");
    }

    /** fukuoka-fares: a crash resets calls on idle connections too; closing them all day cost handshakes. */
    @Test
    void aFailureOnANewConnectionThereRefutesIt() {
        Script s = new Script(Script.settings(), target(1, 9, PLAIN, 0), target(2, 8, PLAIN, 0));
        s.play(message(1, SAFE_CLASS, 9));
        s.play(message(2, SAFE_CLASS, 8));
        s.end(1, Outcome.DELIVERED);
        s.end(2, Outcome.DELIVERED);
        s.until(2);
        s.play(message(3, SAFE_CLASS, 9));
        s.end(3, Outcome.RESET);
        assertEquals(List.of(3), sent(s.until(2.6)));
        s.end(3, Outcome.NOT_CONNECTED);
        assertEquals(1, s.play(message(4, SAFE_CLASS, 8)).size());
    }

    @Test
    void resetsOfIdleConnectionsAreNoOutageOfTheDestination() {
        Script s = new Script(Script.settings(), target(1, 9, PLAIN, 0));
        for (int i = 1; i < 8; i++) {
            s.play(message(i, SAFE_CLASS, 9));
            s.end(i, Outcome.DELIVERED);
        }
        s.until(2);
        s.play(message(20, SAFE_CLASS, 9));
        s.end(20, Outcome.RESET);
        assertEquals(List.of(20), sent(s.until(2.51)));
    }
}
