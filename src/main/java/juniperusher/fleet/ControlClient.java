package juniperusher.fleet;

import java.util.List;
import java.util.function.Supplier;
import juniperusher.distribution.ControlMessage;
import juniperusher.distribution.Subscriber;
import juniperusher.distribution.SubscriberStep;
import juniperusher.distribution.Timing;
import juniperusher.distribution.Version;
import juniperusher.shard.ShardMap;

/**
 * A relay's subscription to the shard map. A client is created and used only on the thread of its {@link EventLoop},
 * except for {@link #status}, which any thread may call.
 */
public final class ControlClient {
    private final EventLoop loop;
    private final Subscriber<ShardMap> subscriber;
    private final UpstreamLink link;
    private final DueTimer timer;
    private final Listener listener;
    private volatile Status status = new Status(Version.NONE, null, Double.NEGATIVE_INFINITY, null, 0);

    /** Receives events of a client, on the loop's thread. */
    public interface Listener {
        /** The client has activated the map of that version. */
        void mapActivated(Version version, ShardMap map);

        /** The client has refused a map or a change as a whole; the previous map stays active. */
        default void mapRefused(Version version, String reason) {}
    }

    /**
     * The state of the subscription.
     *
     * @param version of the active map
     * @param map the active map, or null
     * @param currentAt when the map was last known to be current, in seconds of the loop's clock; negative infinity for
     *     never
     * @param source host:port of the control process that the client is subscribed to, or null
     * @param refusedCount number of maps and changes that were refused
     */
    public record Status(Version version, ShardMap map, double currentAt, String source, long refusedCount) {}

    /**
     * Creates a client without a subscription.
     *
     * @param name of the relay, unique in the fleet
     * @param seed of the random delays
     */
    public ControlClient(
            EventLoop loop, Dialer dialer, String name, Timing timing, int maxMapBytes, long seed, Listener listener) {
        this.loop = loop;
        this.listener = listener;
        subscriber = new Subscriber<>(name, timing, maxMapBytes, new ShardMapState(), seed);
        link = new UpstreamLink(loop, dialer, new UpstreamEvents(), this::notifyListener);
        timer = new DueTimer(loop, () -> step(() -> subscriber.tick(loop.now())));
    }

    /**
     * Sets a saved map as the active one. Call it before {@link #start}.
     *
     * @param knownCurrentAt when the map was last known to be current, in seconds of the loop's clock
     */
    public void resume(Version version, ShardMap map, double knownCurrentAt) {
        subscriber.resume(version, map, knownCurrentAt);
        publishStatus();
    }

    /** Starts to subscribe to one of these control processes (host:port), listed in order of preference. */
    public void start(List<String> sources) {
        step(() -> subscriber.start(sources, loop.now()));
    }

    /** Ends the subscription; the active map is kept. */
    public void stop() {
        step(() -> subscriber.stop(loop.now()));
        timer.cancel();
        link.close("stopped");
    }

    /** The state of the subscription. Any thread may call it. */
    public Status status() {
        return status;
    }

    /** Traffic counters of the connections to control processes. */
    public Traffic traffic() {
        return link.traffic();
    }

    /** Resumes or stops reading from the current and all later connections, to simulate a slow reader in lab runs. */
    public void setReading(boolean enabled) {
        link.setReading(enabled);
    }

    /** Stops reading from the current connection, to simulate a network partition in lab runs. */
    public void pauseCurrentConnection() {
        link.pauseCurrentConnection();
    }

    private void step(Supplier<List<SubscriberStep<ShardMap>>> call) {
        link.carryOut(call.get());
        timer.setDue(subscriber.nextTickAt());
        publishStatus();
    }

    private void publishStatus() {
        status = new Status(
                subscriber.version(),
                subscriber.state(),
                subscriber.lastKnownCurrentAt(),
                subscriber.source(),
                subscriber.refusedCount());
    }

    private void notifyListener(SubscriberStep<ShardMap> step) {
        if (step instanceof SubscriberStep.Replaced<ShardMap> replaced) {
            listener.mapActivated(replaced.version(), replaced.state());
        } else if (step instanceof SubscriberStep.Advanced<ShardMap> advanced) {
            listener.mapActivated(advanced.toVersion(), advanced.state());
        } else if (step instanceof SubscriberStep.Refused<ShardMap> refused) {
            listener.mapRefused(refused.version(), refused.reason());
        }
    }

    private final class UpstreamEvents implements UpstreamLink.Events {
        @Override
        public void connected(long connectionId) {
            step(() -> subscriber.connected(connectionId, loop.now()));
        }

        @Override
        public void disconnected(long connectionId) {
            step(() -> subscriber.disconnected(connectionId, loop.now()));
        }

        @Override
        public void received(long connectionId, ControlMessage message) {
            step(() -> subscriber.received(connectionId, message, loop.now()));
        }
    }
}
