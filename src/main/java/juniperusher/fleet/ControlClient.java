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
 * A relay's subscription to the shard map. It is made and used on the thread of its {@link EventLoop};
 * {@link #status} may be asked by any thread.
 */
public final class ControlClient {
    private final EventLoop loop;
    private final Subscriber<ShardMap> subscriber;
    private final UpstreamLink link;
    private final DueTimer timer;
    private final Listener listener;
    private volatile Status status = new Status(Version.NONE, null, Double.NEGATIVE_INFINITY, null, 0);

    /** What a client tells its owner, on the loop's thread. */
    public interface Listener {
        /** The map of that version is in force. */
        void inForce(Version version, ShardMap map);

        /** A map or a change was refused whole; what was in force stays so. */
        default void refused(Version version, String reason) {}
    }

    /**
     * How the subscription stands.
     *
     * @param map the map in force, or null
     * @param currentAt when it was last known to be current, by the loop's clock; negative infinity for never
     * @param source the control process that it is subscribed to, or null
     * @param refused maps and changes that were refused
     */
    public record Status(Version version, ShardMap map, double currentAt, String source, long refused) {}

    /** A client that follows nobody yet. */
    public ControlClient(
            EventLoop loop, Dialer dialer, String name, Timing timing, int maxMapBytes, long seed, Listener listener) {
        this.loop = loop;
        this.listener = listener;
        subscriber = new Subscriber<>(name, timing, maxMapBytes, new ShardMapState(), seed);
        link = new UpstreamLink(loop, dialer, new Events(), this::tell);
        timer = new DueTimer(loop, () -> step(() -> subscriber.tick(loop.now())));
    }

    /** A map from elsewhere, such as the relay's folder, before it starts. */
    public void resume(Version version, ShardMap map, double knownCurrentAt) {
        subscriber.resume(version, map, knownCurrentAt);
        publishStatus();
    }

    /** Follows one of these control processes, the first ones first. */
    public void start(List<String> sources) {
        step(() -> subscriber.start(sources, loop.now()));
    }

    /** Follows nobody any more; the map stays. */
    public void stop() {
        step(() -> subscriber.stop(loop.now()));
        timer.cancel();
        link.close("stopped");
    }

    /** How the subscription stands. Any thread. */
    public Status status() {
        return status;
    }

    /** What has gone over its connections. */
    public Traffic traffic() {
        return link.traffic();
    }

    /** Reads on, or lets what comes wait in the kernel, as a slow reader does. */
    public void reading(boolean on) {
        link.reading(on);
    }

    /** Reads nothing more from the present connection, as where a network is cut. */
    public void freeze() {
        link.freeze();
    }

    private void step(Supplier<List<SubscriberStep<ShardMap>>> call) {
        link.carryOut(call.get());
        timer.at(subscriber.due());
        publishStatus();
    }

    private void publishStatus() {
        status = new Status(
                subscriber.version(),
                subscriber.state(),
                subscriber.currentAt(),
                subscriber.source(),
                subscriber.refused());
    }

    private void tell(SubscriberStep<ShardMap> step) {
        if (step instanceof SubscriberStep.Replaced<ShardMap> replaced) {
            listener.inForce(replaced.version(), replaced.state());
        } else if (step instanceof SubscriberStep.Advanced<ShardMap> advanced) {
            listener.inForce(advanced.to(), advanced.state());
        } else if (step instanceof SubscriberStep.Refused<ShardMap> refused) {
            listener.refused(refused.version(), refused.why());
        }
    }

    private final class Events implements UpstreamLink.Machine {
        @Override
        public void connected(long connection) {
            step(() -> subscriber.connected(connection, loop.now()));
        }

        @Override
        public void disconnected(long connection) {
            step(() -> subscriber.disconnected(connection, loop.now()));
        }

        @Override
        public void received(long connection, ControlMessage message) {
            step(() -> subscriber.received(connection, message, loop.now()));
        }
    }
}
