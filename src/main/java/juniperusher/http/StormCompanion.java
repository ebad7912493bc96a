package juniperusher.http;

import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.zip.CRC32C;
import juniperusher.Protocol.Action;
import juniperusher.Protocol.Event;
import juniperusher.core.Companion;
import juniperusher.core.Counters;
import juniperusher.core.RpcRequest;
import juniperusher.storm.StormSettings;
import juniperusher.storm.StormState;
import juniperusher.storm.Storms;

/**
 * Connects the storm package to the decision loop and publishes its gauges. Created only if the package is on, so that
 * its classes are not loaded otherwise. Refusals may be added by any thread; the decision loop's thread calls the rest.
 */
final class StormCompanion implements Companion {
    private static final int MAX_PENDING_REFUSALS = 4096;
    // Different messages often share a shorter body, so that a fingerprint would not tell them apart.
    private static final int MIN_BODY_BYTES = 8;

    private final Storms storms;
    // Fingerprints of the RPCs that were refused since the last round.
    private final Queue<Long> pendingRefusals = new ConcurrentLinkedQueue<>();
    private volatile int stormCount;
    private volatile int recoveringCount;
    private volatile int outageCount;
    private volatile long changeCount;

    StormCompanion(StormSettings settings, Config config, Counters counters) {
        // The times of rounds begin at 0 with each process. The wall-clock time is added to them, so that the storm
        // package's clock does not go back over a restart.
        storms = new Storms(
                settings, config.settings().settings(), config.number(), System.currentTimeMillis() / 1000.0, 0);
        counters.gauge("storms", () -> stormCount);
        counters.gauge("storms_recovering", () -> recoveringCount);
        counters.gauge("storms_out", () -> outageCount);
        counters.gauge("storm_changes", () -> changeCount);
    }

    @Override
    public boolean comesAgain(int message, RpcRequest request) {
        return request.body().length >= MIN_BODY_BYTES && storms.comesAgain(message, fingerprint(request));
    }

    @Override
    public void turnedAway(RpcRequest request) {
        if (request.body().length >= MIN_BODY_BYTES && pendingRefusals.size() < MAX_PENDING_REFUSALS) {
            pendingRefusals.add(fingerprint(request));
        }
    }

    /** A hash of body, destination and class, which stay the same when a client resubmits a message under a new id. */
    private static long fingerprint(RpcRequest request) {
        CRC32C sum = new CRC32C();
        sum.update(request.body());
        return sum.getValue() << 32 ^ request.destination() * 31L + request.messageClass();
    }

    @Override
    public List<Event> before(double now, List<Event> events) {
        for (Long fingerprint = pendingRefusals.poll(); fingerprint != null; fingerprint = pendingRefusals.poll()) {
            storms.turnedAway(now, fingerprint);
        }
        return storms.before(now, events);
    }

    @Override
    public List<Action> after(double now, List<Action> actions) {
        List<Action> further = storms.after(now, actions);
        stormCount = storms.count(StormState.STORM);
        recoveringCount = storms.count(StormState.RECOVERING);
        outageCount = storms.out();
        changeCount = storms.changes();
        return further;
    }
}
