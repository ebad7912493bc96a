package juniperusher.http;

import java.util.List;
import juniperusher.Protocol.Action;
import juniperusher.Protocol.Event;
import juniperusher.core.Companion;
import juniperusher.core.Counters;
import juniperusher.storm.StormSettings;
import juniperusher.storm.StormState;
import juniperusher.storm.Storms;

/**
 * The storm package beside the decision loop, with what it shows in the counters. Only made where it is on.
 */
final class StormCompanion implements Companion {
    private final Storms storms;
    private volatile int stormy;
    private volatile int recovering;
    private volatile int out;
    private volatile long changes;

    StormCompanion(StormSettings settings, Config config, Counters counters) {
        // The wall clock, so that it goes on over a restart; rounds count from the start of this process.
        storms = new Storms(settings, config.settings().settings(), config.number(),
                System.currentTimeMillis() / 1000.0, 0);
        counters.gauge("storms", () -> stormy);
        counters.gauge("storms_recovering", () -> recovering);
        counters.gauge("storms_out", () -> out);
        counters.gauge("storm_changes", () -> changes);
    }

    @Override
    public List<Event> before(double now, List<Event> events) {
        return storms.before(now, events);
    }

    @Override
    public List<Action> after(double now, List<Action> actions) {
        List<Action> further = storms.after(now, actions);
        stormy = storms.count(StormState.STORM);
        recovering = storms.count(StormState.RECOVERING);
        out = storms.out();
        changes = storms.changes();
        return further;
    }
}
