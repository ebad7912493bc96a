package juniperusher.fleet;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;
import juniperusher.distribution.ControlMessage;
import juniperusher.distribution.ControlMessageCodec;
import juniperusher.distribution.ControlProcess;
import juniperusher.distribution.DamagedStateException;
import juniperusher.distribution.Limits;
import juniperusher.distribution.Publisher;
import juniperusher.distribution.PublisherStep;
import juniperusher.distribution.Subscriber;
import juniperusher.distribution.SubscriberStep;
import juniperusher.distribution.Timing;
import juniperusher.distribution.Version;
import juniperusher.shard.ShardMap;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * A control process on sockets: takes subscribers in and leads, or follows another control process. Made and used on
 * the thread of its {@link EventLoop}. Connections are bounded in number; one that does not subscribe in time is
 * closed.
 */
public final class ControlServer {
    private static final Logger LOG = LoggerFactory.getLogger(ControlServer.class);
    private static final double HELLO_SECONDS = 5; // from the connection to its subscription
    private static final double ROOM = 1.2; // connections over subscribers: for those that are told to come again

    private final EventLoop loop;
    private final ControlProcess<ShardMap> process;
    private final UpstreamLink upstream;
    private final DueTimer timer;
    private final Listener listener;
    private final Limits limits;
    private final Traffic downstream = new Traffic();
    private final Map<Long, Subscription> subscriptions = new HashMap<>();
    private EventLoop.Listener acceptor;
    private long lastConnection;
    private ControlMessage lastMessage; // of which lastFrame is the frame: one message often goes to many
    private ByteBuffer lastFrame;

    /** What a server tells its owner, on the loop's thread. */
    public interface Listener {
        /** As a follower: the map of that version is in force. */
        default void inForce(Version version, ShardMap map) {}

        /** As a follower: a map or a change was refused whole. */
        default void refused(Version version, String reason) {}

        /** As the leader: a newer term leads. */
        default void deposed(long term) {}
    }

    /** A server that neither listens nor follows nor leads yet. */
    public ControlServer(
            EventLoop loop, Dialer dialer, String name, Timing timing, Limits limits, long seed, Listener listener) {
        this.loop = loop;
        this.limits = limits;
        this.listener = listener;
        ShardMapState codec = new ShardMapState();
        process = new ControlProcess<>(
                new Subscriber<>(name, timing, limits.stateBytes(), codec, seed),
                new Publisher<>(timing, limits, codec, seed + 1));
        upstream = new UpstreamLink(loop, dialer, new Events(), this::tell);
        timer = new DueTimer(loop, () -> step(() -> process.tick(loop.now())));
    }

    /** Takes subscribers in at that address; the address that it is bound to. */
    public InetSocketAddress listen(InetSocketAddress address) throws IOException {
        acceptor = loop.listen(
                address,
                this::accept,
                (int) (limits.subscribers() * ROOM) + 1,
                MessageChannel.MAX_INPUT,
                MessageChannel.MAX_OUTPUT);
        return acceptor.address();
    }

    /** A map from the process's folder or its settings. */
    public void resume(Version version, ShardMap map, double knownCurrentAt) {
        step(() -> process.resume(version, map, knownCurrentAt, loop.now()));
    }

    /** Leads from now on under that term. */
    public void lead(long term) {
        step(() -> process.lead(term, loop.now()));
    }

    /** Follows one of these control processes, the first ones first. */
    public void follow(List<String> sources) {
        step(() -> process.follow(sources, loop.now()));
    }

    /** Publishes changes of the map, all or none; only as the leader. */
    public void publish(List<byte[]> deltas) throws DamagedStateException {
        carryOut(process.publish(deltas, loop.now()));
        timer.at(process.due());
    }

    /** The state machines, for what is to be shown. */
    public ControlProcess<ShardMap> process() {
        return process;
    }

    /** What has gone over the connection towards the leader. */
    public Traffic upstreamTraffic() {
        return upstream.traffic();
    }

    /** What has gone over the subscribers' connections. */
    public Traffic downstreamTraffic() {
        return downstream;
    }

    /** Connections of subscribers that are open. */
    public int connections() {
        return subscriptions.size();
    }

    /** Reads nothing more from the present connection towards the leader, as where a network is cut. */
    public void freezeUpstream() {
        upstream.freeze();
    }

    /** Stops listening, following and serving. */
    public void close() {
        timer.cancel();
        if (acceptor != null) {
            acceptor.close();
        }
        upstream.close("this process ends");
        List.copyOf(subscriptions.values()).forEach(subscription -> subscription.channel.close("this process ends"));
        subscriptions.clear();
    }

    private void step(Supplier<ControlProcess.Steps<ShardMap>> call) {
        carryOut(call.get());
        timer.at(process.due());
    }

    private void carryOut(ControlProcess.Steps<ShardMap> steps) {
        upstream.carryOut(steps.upstream());
        for (PublisherStep step : steps.downstream()) {
            if (step instanceof PublisherStep.Send send) {
                send(send.connection(), send.message());
            } else if (step instanceof PublisherStep.Close close) {
                close(close.connection());
            } else if (step instanceof PublisherStep.Deposed deposed) {
                LOG.atWarn().addKeyValue("term", deposed.term()).log("a newer term leads: this process does not");
                listener.deposed(deposed.term());
            }
        }
    }

    private void send(long connection, ControlMessage message) {
        Subscription subscription = subscriptions.get(connection);
        if (subscription == null || !subscription.channel.isOpen()) {
            return;
        }
        if (message != lastMessage) {
            lastMessage = message;
            lastFrame = ByteBuffer.wrap(ControlMessageCodec.encode(message));
        }
        subscription.channel.send(lastFrame.duplicate());
    }

    private void close(long connection) {
        Subscription subscription = subscriptions.remove(connection);
        if (subscription != null) {
            subscription.channel.closeOnceSent();
            // Guards against a peer that never reads what is left.
            loop.schedule(HELLO_SECONDS, () -> subscription.channel.close("not read in time"));
        }
    }

    private Connection.Handler accept() {
        Subscription subscription = new Subscription(++lastConnection);
        subscriptions.put(subscription.connection, subscription);
        return subscription.channel;
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

    /** A connection that was accepted. */
    private final class Subscription implements MessageChannel.Listener {
        private final long connection;
        private final MessageChannel channel = new MessageChannel(downstream, this);
        private EventLoop.Timer hello;

        Subscription(long connection) {
            this.connection = connection;
        }

        @Override
        public void opened() {
            hello = loop.schedule(HELLO_SECONDS, () -> {
                subscriptions.remove(connection);
                channel.close("did not subscribe in time");
            });
        }

        @Override
        public void received(ControlMessage message) {
            if (hello != null) {
                hello.cancel();
                hello = null;
            }
            step(() -> process.fromSubscriber(connection, message, loop.now()));
        }

        @Override
        public void closed(String reason) {
            subscriptions.remove(connection);
            if (hello != null) {
                hello.cancel();
            }
            process.closed(connection, loop.now());
            timer.at(process.due());
        }
    }

    private final class Events implements UpstreamLink.Machine {
        @Override
        public void connected(long connection) {
            step(() -> process.connected(connection, loop.now()));
        }

        @Override
        public void disconnected(long connection) {
            step(() -> process.disconnected(connection, loop.now()));
        }

        @Override
        public void received(long connection, ControlMessage message) {
            step(() -> process.fromSource(connection, message, loop.now()));
        }
    }
}
