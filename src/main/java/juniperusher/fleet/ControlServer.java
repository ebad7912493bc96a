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
 * The network side of a control process. It accepts subscribers, and either leads or follows another control process.
 * The number of connections is limited, and a connection that does not subscribe in time is closed. A server is created
 * and used only on the thread of its {@link EventLoop}.
 */
public final class ControlServer {
    private static final Logger LOG = LoggerFactory.getLogger(ControlServer.class);

    /** Time for a new connection to subscribe, and for a peer to read the remaining output before it is closed. */
    private static final double PEER_TIMEOUT_SECONDS = 5;

    /** Above 1, so that clients beyond the subscriber limit can still connect and be told when to retry. */
    private static final double CONNECTIONS_PER_SUBSCRIBER = 1.2;

    private final EventLoop loop;
    private final ControlProcess<ShardMap> process;
    private final UpstreamLink upstream;
    private final DueTimer timer;
    private final Listener listener;
    private final Limits limits;
    private final Traffic downstreamTraffic = new Traffic();
    private final Map<Long, SubscriberConnection> subscriberConnections = new HashMap<>();
    private EventLoop.Listener acceptor;
    private long lastConnectionId;

    // The last message and its encoded frame: one message often goes to many subscribers and is encoded only once.
    private ControlMessage lastMessage;
    private ByteBuffer lastFrame;

    /** Receives events of a server, on the loop's thread. */
    public interface Listener {
        /** The server, as a follower, has activated the map of that version. */
        default void mapActivated(Version version, ShardMap map) {}

        /** The server, as a follower, has refused a map or a change; the previous map stays active. */
        default void mapRefused(Version version, String reason) {}

        /** The server was the leader until it learned of the newer term {@code term}. */
        default void leadershipLost(long term) {}
    }

    /**
     * Creates a server that does not listen, follow or lead yet.
     *
     * @param name the name under which it subscribes to other control processes
     * @param seed of the random delays
     */
    public ControlServer(
            EventLoop loop, Dialer dialer, String name, Timing timing, Limits limits, long seed, Listener listener) {
        this.loop = loop;
        this.limits = limits;
        this.listener = listener;
        ShardMapState codec = new ShardMapState();
        process = new ControlProcess<>(
                new Subscriber<>(name, timing, limits.maxStateBytes(), codec, seed),
                new Publisher<>(timing, limits, codec, seed + 1));
        upstream = new UpstreamLink(loop, dialer, new UpstreamEvents(), this::notifyListener);
        timer = new DueTimer(loop, () -> step(() -> process.tick(loop.now())));
    }

    /** Starts to accept subscribers at the address and returns the address that the socket is bound to. */
    public InetSocketAddress listen(InetSocketAddress address) throws IOException {
        acceptor = loop.listen(
                address,
                this::accept,
                (int) (limits.maxSubscribers() * CONNECTIONS_PER_SUBSCRIBER) + 1,
                MessageChannel.MAX_INPUT_BYTES,
                MessageChannel.MAX_OUTPUT_BYTES);
        return acceptor.address();
    }

    /**
     * Sets the map to start from, which comes from the process's folder or its settings.
     *
     * @param knownCurrentAt when the map was last known to be current, in seconds of the loop's clock
     */
    public void resume(Version version, ShardMap map, double knownCurrentAt) {
        step(() -> process.resume(version, map, knownCurrentAt, loop.now()));
    }

    /** Starts to lead under that term. */
    public void lead(long term) {
        step(() -> process.lead(term, loop.now()));
    }

    /** Starts to follow one of these control processes (host:port), which are listed in order of preference. */
    public void follow(List<String> sources) {
        step(() -> process.follow(sources, loop.now()));
    }

    /** Publishes changes of the map, all of them or none. Only the leader may call it. */
    public void publish(List<byte[]> deltas) throws DamagedStateException {
        carryOut(process.publish(deltas, loop.now()));
        timer.setDue(process.nextTickAt());
    }

    /** The state machines of the process, for status and metrics. */
    public ControlProcess<ShardMap> process() {
        return process;
    }

    /** Traffic counters of the upstream connections. */
    public Traffic upstreamTraffic() {
        return upstream.traffic();
    }

    /** Traffic counters of the subscribers' connections. */
    public Traffic downstreamTraffic() {
        return downstreamTraffic;
    }

    /** Number of accepted connections that are open. */
    public int connections() {
        return subscriberConnections.size();
    }

    /** Stops reading from the current upstream connection, to simulate a network partition in lab runs. */
    public void pauseUpstream() {
        upstream.pauseCurrentConnection();
    }

    /** Stops listening and closes all connections. */
    public void close() {
        timer.cancel();
        if (acceptor != null) {
            acceptor.close();
        }
        upstream.close("process is shutting down");
        List.copyOf(subscriberConnections.values())
                .forEach(subscriber -> subscriber.channel.close("process is shutting down"));
        subscriberConnections.clear();
    }

    private void step(Supplier<ControlProcess.Steps<ShardMap>> call) {
        carryOut(call.get());
        timer.setDue(process.nextTickAt());
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
                listener.leadershipLost(deposed.term());
            }
        }
    }

    private void send(long connectionId, ControlMessage message) {
        SubscriberConnection subscriber = subscriberConnections.get(connectionId);
        if (subscriber == null || !subscriber.channel.isOpen()) {
            return;
        }
        if (message != lastMessage) {
            lastMessage = message;
            lastFrame = ByteBuffer.wrap(ControlMessageCodec.encode(message));
        }
        subscriber.channel.send(lastFrame.duplicate());
    }

    private void close(long connectionId) {
        SubscriberConnection subscriber = subscriberConnections.remove(connectionId);
        if (subscriber != null) {
            subscriber.channel.closeAfterOutput();
            // A peer that never reads the remaining output must not keep its connection open.
            loop.schedule(
                    PEER_TIMEOUT_SECONDS,
                    () -> subscriber.channel.close("peer did not read the remaining output in time"));
        }
    }

    private Connection.Handler accept() {
        SubscriberConnection subscriber = new SubscriberConnection(++lastConnectionId);
        subscriberConnections.put(subscriber.id, subscriber);
        return subscriber.channel;
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

    /** An accepted connection, from before its subscription until it is closed. */
    private final class SubscriberConnection implements MessageChannel.Listener {
        private final long id;
        private final MessageChannel channel = new MessageChannel(downstreamTraffic, this);
        private EventLoop.Timer subscribeTimeout;

        SubscriberConnection(long id) {
            this.id = id;
        }

        @Override
        public void opened() {
            subscribeTimeout = loop.schedule(PEER_TIMEOUT_SECONDS, () -> {
                subscriberConnections.remove(id);
                channel.close("peer did not subscribe in time");
            });
        }

        @Override
        public void received(ControlMessage message) {
            if (subscribeTimeout != null) {
                subscribeTimeout.cancel();
                subscribeTimeout = null;
            }
            step(() -> process.fromSubscriber(id, message, loop.now()));
        }

        @Override
        public void closed(String reason) {
            subscriberConnections.remove(id);
            if (subscribeTimeout != null) {
                subscribeTimeout.cancel();
            }
            process.closed(id, loop.now());
            timer.setDue(process.nextTickAt());
        }
    }

    private final class UpstreamEvents implements UpstreamLink.Events {
        @Override
        public void connected(long connectionId) {
            step(() -> process.connected(connectionId, loop.now()));
        }

        @Override
        public void disconnected(long connectionId) {
            step(() -> process.disconnected(connectionId, loop.now()));
        }

        @Override
        public void received(long connectionId, ControlMessage message) {
            step(() -> process.fromSource(connectionId, message, loop.now()));
        }
    }
}
