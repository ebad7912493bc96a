package juniperusher.http;

import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.zip.CRC32C;
import juniperusher.Protocol.Action;
import juniperusher.Protocol.Event;
import juniperusher.core.Counters;
import juniperusher.core.RoundInterceptor;
import juniperusher.core.RpcRequest;
import juniperusher.storm.StormAdvisor;
import juniperusher.storm.StormSettings;
import juniperusher.storm.StormState;

/**
 * Connects the storm package to the decision loop and publishes its gauges. Created only if the package is on, so that
 * its classes are not loaded otherwise. Refusals may be added by any thread; the decision loop's thread calls the rest.
 */
final class StormInterceptor implements RoundInterceptor {
    private static final int MAX_PENDING_REFUSALS = 4096;
    // Different messages often share a shorter body, so that a fingerprint would not tell them apart.
    private static final int MIN_BODY_BYTES = 8;

    private final StormAdvisor stormAdvisor;
    // Fingerprints of the RPCs that were refused since the last round.
    private final Queue<Long> pendingRefusals = new ConcurrentLinkedQueue<>();
    private volatile int stormCount;
    private volatile int recoveringCount;
    private volatile int outageCount;
    private volatile long changeCount;

    StormInterceptor(StormSettings settings, Config config, Counters counters) {
        // The times of rounds begin at 0 with each process. The wall-clock time is added to them, so that the storm
        // package's clock does not go back over a restart.
        stormAdvisor = new StormAdvisor(
                settings,
                config.parsedSettings().settings(),
                config.relayIndex(),
                System.currentTimeMillis() / 1000.0,
                0);
        counters.gauge("storms", () -> stormCount);
        counters.gauge("storms_recovering", () -> recoveringCount);
        counters.gauge("storms_out", () -> outageCount);
        counters.gauge("storm_changes", () -> changeCount);
    }

    @Override
    public boolean isUnmarkedResubmission(int message, RpcRequest request) {
        return request.body().length >= MIN_BODY_BYTES
                && stormAdvisor.isUnmarkedResubmission(message, fingerprint(request));
    }

    @Override
    public void requestRefused(RpcRequest request) {
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
    public List<Event> beforeDecision(double now, List<Event> events) {
        for (Long fingerprint = pendingRefusals.poll(); fingerprint != null; fingerprint = pendingRefusals.poll()) {
            stormAdvisor.requestRefused(now, fingerprint);
        }
        return stormAdvisor.beforeDecision(now, events);
    }

    @Override
    public List<Action> afterDecision(double now, List<Action> actions) {
        List<Action> further = stormAdvisor.afterDecision(now, actions);
        stormCount = stormAdvisor.count(StormState.STORM);
        recoveringCount = stormAdvisor.count(StormState.RECOVERING);
        outageCount = stormAdvisor.outageCount();
        changeCount = stormAdvisor.stateChangeCount();
        return further;
    }
}
