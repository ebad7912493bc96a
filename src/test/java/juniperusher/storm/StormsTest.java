package juniperusher.storm;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import juniperusher.Protocol.Action;
import juniperusher.Protocol.Advised;
import juniperusher.Protocol.Allowed;
import juniperusher.Protocol.Arrived;
import juniperusher.Protocol.Effect;
import juniperusher.Protocol.Ended;
import juniperusher.Protocol.Event;
import juniperusher.Protocol.Kind;
import juniperusher.Protocol.Message;
import juniperusher.Protocol.MessageClass;
import juniperusher.Protocol.Outcome;
import juniperusher.Protocol.Phase;
import juniperusher.Protocol.Probe;
import juniperusher.Protocol.Probed;
import juniperusher.Protocol.Refuse;
import juniperusher.Protocol.Rules;
import juniperusher.Protocol.Send;
import juniperusher.Protocol.Settings;
import juniperusher.Protocol.Target;
import juniperusher.Protocol.TargetList;
import juniperusher.Protocol.Weight;
import org.junit.jupiter.api.Test;

/** The package's door: what the module is given of a round, and what is done beside its actions. */
class StormsTest {
    private static final int HELD = 100;
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
            new Allowed(12, HELD, 20, true, false, true, true, true, 2, 1, 10),
            List.of(NOTICE),
            List.of(new Kind(1, false)),
            List.of());

    private final Storms storms = new Storms(StormSettings.USUAL, SETTINGS, 0, 1000, 0);
    private int messages;
    private int hold;

    /** A round's events, and what the module is told last of destination 7. */
    private List<Event> before(double now, List<Event> events) {
        List<Event> told = storms.before(now, events);
        advice(told).stream().filter(one -> one.destination() == 7).forEach(one -> hold = one.hold());
        return told;
    }

    StormsTest() {
        before(
                0,
                List.of(new TargetList(
                        true,
                        List.of(new Target(1, 7, 0, 0, 60, Phase.READY), new Target(2, 8, 0, 0, 60, Phase.READY)))));
        storms.after(0, List.of());
    }

    private int arrives(double now, int destination) {
        before(now, List.of(new Arrived(new Message(++messages, 0, 0, destination, 0, 20))));
        return messages;
    }

    /** Calls that fail until destination 7 counts as out. */
    private void outage(double from) {
        for (double now = from; now < from + 2; now += 0.25) {
            int message = arrives(now, 7);
            storms.after(now, List.of(new Send(message, 1, 1)));
            before(now + 0.1, List.of(new Ended(message, 0, 1, Outcome.ERROR, 0.1, true, 0, null)));
        }
        assertEquals(1, storms.out());
    }

    private List<Action> probes(double from, double until) {
        List<Action> out = new ArrayList<>();
        for (double now = from; now < until; now += 0.05) {
            before(now, List.of());
            storms.after(now, List.of()).stream()
                    .filter(Probe.class::isInstance)
                    .forEach(out::add);
        }
        return out;
    }

    private static List<Advised> advice(List<Event> events) {
        return events.stream()
                .filter(Advised.class::isInstance)
                .map(Advised.class::cast)
                .toList();
    }

    @Test
    void theModuleHearsNothingOfAProbeThatItHasNotAskedForButOfTheReturn() {
        outage(1);
        assertEquals(List.of(new Probe(1)), probes(3, 5).subList(0, 1));
        List<Event> failed = before(5, List.of(new Probed(1, false, false, 0.1)));
        assertTrue(failed.stream().noneMatch(Probed.class::isInstance), failed.toString());
        List<Event> back = before(6, List.of(new Probed(1, true, false, 0.1)));
        assertTrue(back.stream().noneMatch(Probed.class::isInstance), back.toString());
        assertTrue(advice(back).stream().anyMatch(one -> one.destination() == 7 && one.back()), back.toString());
        assertTrue(advice(before(6.1, List.of())).stream().noneMatch(Advised::back), "told once");
        assertEquals(StormState.RECOVERING, storms.stateOf(7));
    }

    @Test
    void theModulesOwnProbeReachesItAndSaysNothingTwice() {
        outage(1);
        storms.after(3, List.of(new Probe(1)));
        Probed result = new Probed(1, true, false, 0.1);
        List<Event> told = before(3.2, List.of(result));
        assertTrue(told.contains(result), told.toString());
        assertTrue(advice(told).stream().noneMatch(Advised::back), "it knows by its own probe");
    }

    @Test
    void twoRelaysTogetherProbeNoMoreOftenThanStated() {
        outage(1);
        int sent = 0;
        for (double now = 3; now < 23; now += 0.05) {
            before(now, sent > 0 ? List.of(new Probed(1, false, false, 0.05)) : List.of());
            sent += (int) storms.after(now, List.of()).stream()
                    .filter(Probe.class::isInstance)
                    .count();
        }
        double most = 0.4 * 0.14 * 60; // of both, a second
        assertTrue(sent <= 20 * most / 2 + 1 && sent >= 20 * most / 2 * 0.7, sent + " probes in 20 s");
    }

    @Test
    void oneStormMayHoldMuchOnlyWhileOthersHoldLittle() {
        outage(1);
        assertEquals(80, hold);
        for (int i = 0; i < 70; i++) {
            arrives(3.1, 8);
        }
        before(3.2, List.of());
        assertEquals(40, hold, "its share of the relay's room");
    }

    @Test
    void whatWasRefusedIsKnownWhenItComesAgainUnderAnotherId() {
        assertFalse(storms.comesAgain(501, 99));
        before(1, List.of(new Arrived(new Message(501, 0, 0, 7, 0, 20))));
        storms.after(1, List.of(new Refuse(501, 1)));
        assertTrue(storms.comesAgain(502, 99));
        assertFalse(storms.comesAgain(503, 99));
        storms.turnedAway(2, 98);
        assertTrue(storms.comesAgain(504, 98));
    }

    @Test
    void aRoundLooksOnlyAtDestinationsOfWhichSomethingWasHeard() {
        before(0.1, List.of());
        assertEquals(0, storms.activeCount());
        assertEquals(2, storms.count(StormState.CALM));
        int message = arrives(0.2, 8);
        assertEquals(1, storms.activeCount());
        before(0.3, List.of(new Ended(message, 0, 2, Outcome.DELIVERED, 0.1, true, 0, null)));
        assertEquals(0, storms.activeCount());
        outage(1);
        before(10, List.of());
        assertEquals(1, storms.activeCount(), "what is out is looked at");
        assertEquals(StormState.STORM, storms.stateOf(7));
        assertEquals(1, storms.count(StormState.CALM));
    }
}
