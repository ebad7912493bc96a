package juniperusher.storm;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import juniperusher.Protocol.Action;
import juniperusher.Protocol.AttemptEnded;
import juniperusher.Protocol.DestinationAdvice;
import juniperusher.Protocol.DestinationKind;
import juniperusher.Protocol.Effect;
import juniperusher.Protocol.Event;
import juniperusher.Protocol.Message;
import juniperusher.Protocol.MessageAccepted;
import juniperusher.Protocol.MessageClass;
import juniperusher.Protocol.Outcome;
import juniperusher.Protocol.Phase;
import juniperusher.Protocol.Probe;
import juniperusher.Protocol.ProbeEnded;
import juniperusher.Protocol.Refuse;
import juniperusher.Protocol.Rules;
import juniperusher.Protocol.Send;
import juniperusher.Protocol.SenderLimits;
import juniperusher.Protocol.Settings;
import juniperusher.Protocol.Target;
import juniperusher.Protocol.TargetList;
import juniperusher.Protocol.Weight;
import org.junit.jupiter.api.Test;

/** Events and advice that {@link StormAdvisor} passes to the decision module, and its additional actions. */
class StormAdvisorTest {
    private static final int MAX_PENDING = 100;
    private static final MessageClass NOTICE = new MessageClass(Effect.SAFE, false, 5, false, 0.8, 20, 1, 0.1);
    private static final Settings SETTINGS = new Settings(
            2,
            0,
            false,
            Weight.NOMINAL,
            1,
            true,
            0,
            List.of(),
            new Rules(0.5, 0.14, 13, 2.5, 1.5, 0.5, 10),
            new SenderLimits(12, MAX_PENDING, 20, true, false, true, true, true, 2, 1, 10),
            List.of(NOTICE),
            List.of(new DestinationKind(1, false)),
            List.of());

    private final StormAdvisor stormAdvisor = new StormAdvisor(StormSettings.DEFAULT, SETTINGS, 0, 1000, 0);
    private int messages;
    private int advisedMaxPending;

    /** Passes in the events of a round and records the last limit of pending messages advised for destination 7. */
    private List<Event> beforeRound(double now, List<Event> events) {
        List<Event> moduleEvents = stormAdvisor.beforeDecision(now, events);
        advice(moduleEvents).stream()
                .filter(one -> one.destination() == 7)
                .forEach(one -> advisedMaxPending = one.maxPending());
        return moduleEvents;
    }

    StormAdvisorTest() {
        beforeRound(
                0,
                List.of(new TargetList(
                        true,
                        List.of(new Target(1, 7, 0, 0, 60, Phase.READY), new Target(2, 8, 0, 0, 60, Phase.READY)))));
        stormAdvisor.afterDecision(0, List.of());
    }

    private int messageArrives(double now, int destination) {
        beforeRound(now, List.of(new MessageAccepted(new Message(++messages, 0, 0, destination, 0, 20))));
        return messages;
    }

    /** Lets calls fail until destination 7 is in an outage. */
    private void causeOutage(double from) {
        for (double now = from; now < from + 2; now += 0.25) {
            int message = messageArrives(now, 7);
            stormAdvisor.afterDecision(now, List.of(new Send(message, 1, 1)));
            beforeRound(now + 0.1, List.of(new AttemptEnded(message, 0, 1, Outcome.ERROR, 0.1, true, 0, null)));
        }
        assertEquals(1, stormAdvisor.outageCount());
    }

    private List<Action> collectProbes(double from, double until) {
        List<Action> out = new ArrayList<>();
        for (double now = from; now < until; now += 0.05) {
            beforeRound(now, List.of());
            stormAdvisor.afterDecision(now, List.of()).stream()
                    .filter(Probe.class::isInstance)
                    .forEach(out::add);
        }
        return out;
    }

    private static List<DestinationAdvice> advice(List<Event> events) {
        return events.stream()
                .filter(DestinationAdvice.class::isInstance)
                .map(DestinationAdvice.class::cast)
                .toList();
    }

    @Test
    void resultsOfOwnProbesAreHiddenFromTheModuleButTheRecoveryIsReported() {
        causeOutage(1);
        assertEquals(List.of(new Probe(1)), collectProbes(3, 5).subList(0, 1));
        List<Event> failed = beforeRound(5, List.of(new ProbeEnded(1, false, false, 0.1)));
        assertTrue(failed.stream().noneMatch(ProbeEnded.class::isInstance), failed.toString());
        List<Event> back = beforeRound(6, List.of(new ProbeEnded(1, true, false, 0.1)));
        assertTrue(back.stream().noneMatch(ProbeEnded.class::isInstance), back.toString());
        assertTrue(advice(back).stream().anyMatch(one -> one.destination() == 7 && one.recovered()), back.toString());
        assertTrue(
                advice(beforeRound(6.1, List.of())).stream().noneMatch(DestinationAdvice::recovered), "reported once");
        assertEquals(StormState.RECOVERING, stormAdvisor.stateOf(7));
    }

    @Test
    void resultsOfTheModulesProbesArePassedOnWithoutAReport() {
        causeOutage(1);
        stormAdvisor.afterDecision(3, List.of(new Probe(1)));
        ProbeEnded result = new ProbeEnded(1, true, false, 0.1);
        List<Event> moduleEvents = beforeRound(3.2, List.of(result));
        assertTrue(moduleEvents.contains(result), moduleEvents.toString());
        assertTrue(
                advice(moduleEvents).stream().noneMatch(DestinationAdvice::recovered),
                "the module knows by its own probe");
    }

    @Test
    void probeRateIsSharedByTheRelays() {
        causeOutage(1);
        int sent = 0;
        for (double now = 3; now < 23; now += 0.05) {
            beforeRound(now, sent > 0 ? List.of(new ProbeEnded(1, false, false, 0.05)) : List.of());
            sent += (int) stormAdvisor.afterDecision(now, List.of()).stream()
                    .filter(Probe.class::isInstance)
                    .count();
        }
        double maxProbesPerSecond = 0.4 * 0.14 * 60; // of both relays, per second
        assertTrue(
                sent <= 20 * maxProbesPerSecond / 2 + 1 && sent >= 20 * maxProbesPerSecond / 2 * 0.7,
                sent + " probes in 20 s");
    }

    @Test
    void pendingLimitDependsOnOtherDestinations() {
        causeOutage(1);
        assertEquals(80, advisedMaxPending);
        for (int i = 0; i < 70; i++) {
            messageArrives(3.1, 8);
        }
        beforeRound(3.2, List.of());
        assertEquals(40, advisedMaxPending, "its fraction of the relay's limit");
    }

    @Test
    void recognizesARefusedMessageUnderAnotherId() {
        assertFalse(stormAdvisor.isUnmarkedResubmission(501, 99));
        beforeRound(1, List.of(new MessageAccepted(new Message(501, 0, 0, 7, 0, 20))));
        stormAdvisor.afterDecision(1, List.of(new Refuse(501, 1)));
        assertTrue(stormAdvisor.isUnmarkedResubmission(502, 99));
        assertFalse(stormAdvisor.isUnmarkedResubmission(503, 99));
        stormAdvisor.requestRefused(2, 98);
        assertTrue(stormAdvisor.isUnmarkedResubmission(504, 98));
    }

    @Test
    void roundsUpdateOnlyDestinationsWithInputs() {
        beforeRound(0.1, List.of());
        assertEquals(0, stormAdvisor.activeCount());
        assertEquals(2, stormAdvisor.count(StormState.CALM));
        int message = messageArrives(0.2, 8);
        assertEquals(1, stormAdvisor.activeCount());
        beforeRound(0.3, List.of(new AttemptEnded(message, 0, 2, Outcome.DELIVERED, 0.1, true, 0, null)));
        assertEquals(0, stormAdvisor.activeCount());
        causeOutage(1);
        beforeRound(10, List.of());
        assertEquals(1, stormAdvisor.activeCount(), "a destination in an outage is updated");
        assertEquals(StormState.STORM, stormAdvisor.stateOf(7));
        assertEquals(1, stormAdvisor.count(StormState.CALM));
    }
}
