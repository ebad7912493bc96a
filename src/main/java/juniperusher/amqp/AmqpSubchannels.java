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
import juniperusher.core.RpcRequest;
import juniperusher.core.Subchannels;
import juniperusher.net.Network;
import org.eclipse.jetty.io.Connection;
import org.eclipse.jetty.io.EndPoint;

/** Destinations that are brokers: an order is a publish, and its confirm is the answer. */
public final class AmqpSubchannels implements Subchannels {
    /** Numbers of brokers as targets begin here, above those of all endpoints of a list. */
    public static final int FIRST = 1 << 24;

    private final Network network;
    private final List<AmqpConfig.Broker> brokers;
    private final Map<Integer, Link> links = new HashMap<>();

    /** Brokers reached over the network. */
    public AmqpSubchannels(AmqpConfig config, Network network) {
        this.network = network;
        brokers = config.brokers();
        for (int i = 0; i < brokers.size(); i++) {
            links.put(FIRST + i, new Link(brokers.get(i)));
        }
    }

    /** The brokers as targets of the given kind of destination. */
    public List<Target> targets(int kind) {
        List<Target> out = new ArrayList<>();
        for (int i = 0; i < brokers.size(); i++) {
            out.add(new Target(
                    FIRST + i,
                    brokers.get(i).destination(),
                    kind,
                    0,
                    brokers.get(i).weight(),
                    Phase.READY));
        }
        return out;
    }

    /** Whether the target is one of these brokers. */
    public boolean has(Target target) {
        return links.containsKey(target.id());
    }

    @Override
    public Call call(Target subchannel, List<RpcRequest> rpcs, double timeout, Clearance clearance, Results results) {
        List<Publish> publishes = new ArrayList<>();
        for (int i = 0; i < rpcs.size(); i++) {
            int place = i;
            publishes.add(new Publish(rpcs.get(i), clearance, end -> results.ended(place, CallResult.of(end))));
        }
        publishes.forEach(links.get(subchannel.id())::publish);
        return why -> publishes.forEach(publish -> publish.abandon(why));
    }

    @Override
    public void probe(Target subchannel, Probed probed) {
        long from = System.nanoTime();
        links.get(subchannel.id())
                .probe((up, blocked) -> probed.probed(up && !blocked, up && blocked, (System.nanoTime() - from) / 1e9));
    }

    @Override
    public void closeIdle(Target subchannel) {
        // A broker's connection is never idle: heartbeats keep it.
    }

    interface Ended {
        void ended(CallEnd end);
    }

    interface State {
        void is(boolean up, boolean blocked);
    }

    /** One order on its way to a broker. */
    static final class Publish {
        private final RpcRequest rpc;
        private final Clearance clearance;
        private final Ended ended;
        private BrokerConnection connection;
        private boolean mayBeWhole;
        private boolean over;

        Publish(RpcRequest rpc, Clearance clearance, Ended ended) {
            this.rpc = rpc;
            this.clearance = clearance;
            this.ended = ended;
        }

        Content content() {
            long left = Math.max(1, rpc.deadline() - SteadyClock.millis());
            return new Content("", "", "", Long.toString(left), rpc.id(), "", rpc.body());
        }

        synchronized boolean on(BrokerConnection on) {
            connection = on;
            return !over;
        }

        /** Asked just before the first byte: whether the order may leave. From a yes on it may have run. */
        boolean leaves(boolean blocked) {
            // A blocked broker refuses nothing, so it is no refusal that the module should pace by: not sent.
            if (blocked || !clearance.mayStart()) {
                finish(CallEnd.HELD_BACK);
                return false;
            }
            synchronized (this) {
                mayBeWhole = !over;
                return mayBeWhole;
            }
        }

        void finish(CallEnd end) {
            boolean written;
            synchronized (this) {
                if (over) {
                    return;
                }
                over = true;
                written = mayBeWhole;
            }
            ended.ended(end.given(written));
        }

        void abandon(CallEnd why) {
            BrokerConnection on;
            synchronized (this) {
                on = over ? null : connection;
            }
            if (on != null) {
                on.giveUp(this);
            }
            finish(why);
        }
    }

    /** The connection to one broker, opened when it is wanted. */
    final class Link implements Network.Dial {
        private final AmqpConfig.Broker broker;
        private final List<Publish> waiting = new ArrayList<>();
        private final List<State> probes = new ArrayList<>();
        private final AtomicInteger dials = new AtomicInteger();
        private BrokerConnection connection;
        private boolean dialling;

        Link(AmqpConfig.Broker broker) {
            this.broker = broker;
        }

        void publish(Publish order) {
            BrokerConnection up = connection(order, null);
            if (up != null && up.blocked()) {
                order.finish(CallEnd.HELD_BACK);
            } else if (up != null) {
                up.publish(order);
            }
        }

        void probe(State state) {
            BrokerConnection up = connection(null, state);
            if (up != null) {
                state.is(true, up.blocked());
            }
        }

        private BrokerConnection connection(Publish order, State state) {
            synchronized (this) {
                if (connection != null && connection.usable()) {
                    return connection;
                }
                if (order != null) {
                    waiting.add(order);
                }
                if (state != null) {
                    probes.add(state);
                }
                if (dialling) {
                    return null;
                }
                dialling = true;
            }
            dials.incrementAndGet();
            network.connect(broker.address(), this);
            return null;
        }

        @Override
        public Connection connected(EndPoint endPoint) {
            return new BrokerConnection(endPoint, network, broker, this);
        }

        @Override
        public void failed(Throwable why) {
            settle(null);
        }

        void up(BrokerConnection made) {
            settle(made);
        }

        void down(BrokerConnection lost) {
            boolean waited;
            synchronized (this) {
                waited = dialling;
                connection = connection == lost ? null : connection;
            }
            if (waited) {
                settle(null);
            }
        }

        private void settle(BrokerConnection made) {
            List<Publish> orders;
            List<State> states;
            synchronized (this) {
                dialling = false;
                connection = made;
                orders = new ArrayList<>(waiting);
                states = new ArrayList<>(probes);
                waiting.clear();
                probes.clear();
            }
            states.forEach(state -> state.is(made != null, made != null && made.blocked()));
            for (Publish order : orders) {
                if (made == null) {
                    order.finish(CallEnd.NOT_CONNECTED);
                } else {
                    made.publish(order);
                }
            }
        }
    }
}
