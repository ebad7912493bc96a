package juniperusher.amqp;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;
import juniperusher.Protocol.Phase;
import juniperusher.Protocol.Target;
import juniperusher.clock.SteadyClock;
import juniperusher.core.CallEnd;
import juniperusher.core.CallResult;
import juniperusher.core.Counters;
import juniperusher.core.RpcRequest;
import juniperusher.core.Subchannels;
import juniperusher.net.Network;
import org.eclipse.jetty.io.Connection;
import org.eclipse.jetty.io.EndPoint;

/**
 * Calls to destinations that are AMQP brokers. Each RPC is published to the broker as one message, and the
 * publisher confirm is the answer. Thread-safe.
 */
public final class AmqpSubchannels implements Subchannels {
    /** Target id of the first broker, above the ids of all endpoints that a resolver lists. */
    public static final int FIRST_TARGET_ID = 1 << 24;

    private final Network network;
    private final Counters counters;
    private final List<AmqpConfig.Broker> brokers;
    private final Map<Integer, BrokerConnector> connectors = new HashMap<>();

    /** Creates the subchannels for the configured brokers; connections are opened when first needed. */
    public AmqpSubchannels(AmqpConfig config, Network network, Counters counters) {
        this.network = network;
        this.counters = counters;
        brokers = config.brokers();
        for (int i = 0; i < brokers.size(); i++) {
            connectors.put(FIRST_TARGET_ID + i, new BrokerConnector(brokers.get(i)));
        }
    }

    /** Returns one ready target per broker, of the given kind of destination. */
    public List<Target> targets(int kind) {
        List<Target> targets = new ArrayList<>();
        for (int i = 0; i < brokers.size(); i++) {
            targets.add(new Target(
                    FIRST_TARGET_ID + i,
                    brokers.get(i).destination(),
                    kind,
                    0,
                    brokers.get(i).weight(),
                    Phase.READY));
        }
        return targets;
    }

    /** Whether the target is one of the configured brokers. */
    public boolean contains(Target target) {
        return connectors.containsKey(target.id());
    }

    @Override
    public Call call(
            Target subchannel,
            List<RpcRequest> rpcs,
            double timeout,
            StartPermission permission,
            ResultListener resultListener) {
        List<PendingPublish> publishes = new ArrayList<>();
        for (int i = 0; i < rpcs.size(); i++) {
            int index = i;
            publishes.add(new PendingPublish(
                    rpcs.get(i), permission, end -> resultListener.ended(index, CallResult.of(end))));
        }
        publishes.forEach(connectors.get(subchannel.id())::publish);
        return reason -> publishes.forEach(publish -> publish.abandon(reason));
    }

    @Override
    public void probe(Target subchannel, ProbeListener probeListener) {
        long startNanos = System.nanoTime();
        connectors
                .get(subchannel.id())
                .probe((up, blocked) ->
                        probeListener.probed(up && !blocked, up && blocked, (System.nanoTime() - startNanos) / 1e9));
    }

    @Override
    public void closeIdle(Target subchannel) {
        // The connection to a broker stays open; heartbeats keep it alive.
    }

    /** Called once with the end of a publish. */
    interface EndCallback {
        void ended(CallEnd end);
    }

    /** Called once with the state of the connection to a broker. */
    interface ProbeCallback {
        void probed(boolean up, boolean blocked);
    }

    /** An order that is to be published to a broker or that waits for its confirm. Thread-safe. */
    static final class PendingPublish {
        private final RpcRequest rpc;
        private final StartPermission permission;
        private final EndCallback callback;
        private BrokerConnection connection;
        private boolean mayBeWritten;
        private boolean finished;

        PendingPublish(RpcRequest rpc, StartPermission permission, EndCallback callback) {
            this.rpc = rpc;
            this.permission = permission;
            this.callback = callback;
        }

        /** The message to publish; its expiration is the time left until the deadline of the RPC. */
        Content content() {
            long remainingMillis = Math.max(1, rpc.deadlineMillis() - SteadyClock.millis());
            return new Content("", "", "", Long.toString(remainingMillis), rpc.id(), "", rpc.body());
        }

        /** Whether this is the order of the RPC with that id. */
        boolean isOf(String id) {
            return rpc.id().equals(id);
        }

        /** Records the connection that publishes the order; returns false if the order has finished. */
        synchronized boolean attach(BrokerConnection newConnection) {
            connection = newConnection;
            return !finished;
        }

        /** Whether the order may be written; checked just before its first byte. Once this is true, it may have run. */
        boolean mayWrite(boolean blocked) {
            // A blocked broker has not refused the order, so the order ends as not sent: a refusal would make the
            // decision module reduce the rate of the destination.
            if (blocked || !permission.mayStart()) {
                finish(CallEnd.HELD_BACK);
                return false;
            }
            synchronized (this) {
                mayBeWritten = !finished;
                return mayBeWritten;
            }
        }

        /**
         * Ends the publish, unless it has ended. An end that loses the answer becomes "not connected" if nothing was
         * written, because the order has then not run.
         */
        void finish(CallEnd end) {
            boolean written;
            synchronized (this) {
                if (finished) {
                    return;
                }
                finished = true;
                written = mayBeWritten;
            }
            callback.ended(end.adjustedForLastByte(written));
        }

        /** Stops waiting for the confirm, closes the channel of the publish and ends it with {@code reason}. */
        void abandon(CallEnd reason) {
            BrokerConnection attached;
            synchronized (this) {
                attached = finished ? null : connection;
            }
            if (attached != null) {
                attached.abandon(this);
            }
            finish(reason);
        }
    }

    /** Opens the connection to one broker when it is needed. Publishes and probes wait until it is usable. */
    final class BrokerConnector implements Network.ConnectListener {
        private final AmqpConfig.Broker broker;
        private final List<PendingPublish> pendingPublishes = new ArrayList<>();
        private final List<ProbeCallback> pendingProbes = new ArrayList<>();
        private final AtomicInteger connectAttempts = new AtomicInteger();
        private BrokerConnection connection;
        private boolean connecting;

        BrokerConnector(AmqpConfig.Broker broker) {
            this.broker = broker;
        }

        /** Publishes the order once a connection is usable; ends it as held back if the broker is blocked. */
        void publish(PendingPublish order) {
            BrokerConnection usable = connectionOrEnqueue(order, null);
            if (usable != null && usable.blocked()) {
                order.finish(CallEnd.HELD_BACK);
            } else if (usable != null) {
                usable.publish(order);
            }
        }

        /** Reports the state of the connection, after connecting if necessary. */
        void probe(ProbeCallback callback) {
            BrokerConnection usable = connectionOrEnqueue(null, callback);
            if (usable != null) {
                callback.probed(true, usable.blocked());
            }
        }

        /** Returns the usable connection, or null after queueing the order or probe until connecting has finished. */
        private BrokerConnection connectionOrEnqueue(PendingPublish order, ProbeCallback probe) {
            synchronized (this) {
                if (connection != null && connection.usable()) {
                    return connection;
                }
                if (order != null) {
                    pendingPublishes.add(order);
                }
                if (probe != null) {
                    pendingProbes.add(probe);
                }
                if (connecting) {
                    return null;
                }
                connecting = true;
            }
            connectAttempts.incrementAndGet();
            network.connect(broker.address(), this);
            return null;
        }

        @Override
        public Connection connected(EndPoint endPoint) {
            return new BrokerConnection(endPoint, network, broker, this, counters);
        }

        @Override
        public void failed(Throwable cause) {
            finishConnecting(null);
        }

        /** The connection has completed its handshake. */
        void onOpened(BrokerConnection opened) {
            finishConnecting(opened);
        }

        /** The connection has ended, during its handshake or later. */
        void onEnded(BrokerConnection ended) {
            boolean wasConnecting;
            synchronized (this) {
                wasConnecting = connecting;
                connection = connection == ended ? null : connection;
            }
            if (wasConnecting) {
                finishConnecting(null);
            }
        }

        /** Hands queued publishes and probes to the opened connection, or fails them if it is null. */
        private void finishConnecting(BrokerConnection opened) {
            List<PendingPublish> orders;
            List<ProbeCallback> probes;
            synchronized (this) {
                connecting = false;
                connection = opened;
                orders = new ArrayList<>(pendingPublishes);
                probes = new ArrayList<>(pendingProbes);
                pendingPublishes.clear();
                pendingProbes.clear();
            }
            probes.forEach(probe -> probe.probed(opened != null, opened != null && opened.blocked()));
            for (PendingPublish order : orders) {
                if (opened == null) {
                    order.finish(CallEnd.NOT_CONNECTED);
                } else {
                    opened.publish(order);
                }
            }
        }
    }
}
