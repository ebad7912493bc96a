package juniperusher.fleet;

import java.nio.ByteBuffer;
import java.util.List;
import java.util.function.Consumer;
import juniperusher.distribution.ControlMessage;
import juniperusher.distribution.ControlMessageCodec;
import juniperusher.distribution.SubscriberStep;
import juniperusher.shard.ShardMap;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Carries out the steps of a subscriber: its one connection towards the leader. What is neither connecting, sending
 * nor disconnecting goes to a consumer. Used on the loop's thread.
 */
final class UpstreamLink {
    private static final Logger LOG = LoggerFactory.getLogger(UpstreamLink.class);

    private final EventLoop loop;
    private final Dialer dialer;
    private final Machine machine;
    private final Consumer<SubscriberStep<ShardMap>> others;
    private final Traffic traffic = new Traffic();
    private MessageChannel channel; // or null
    private boolean reading = true;

    /** The state machine that is told what happens, by the connection's number. */
    interface Machine {
        void connected(long connection);

        void disconnected(long connection);

        void received(long connection, ControlMessage message);
    }

    UpstreamLink(EventLoop loop, Dialer dialer, Machine machine, Consumer<SubscriberStep<ShardMap>> others) {
        this.loop = loop;
        this.dialer = dialer;
        this.machine = machine;
        this.others = others;
    }

    Traffic traffic() {
        return traffic;
    }

    void carryOut(List<SubscriberStep<ShardMap>> steps) {
        for (SubscriberStep<ShardMap> step : steps) {
            if (step instanceof SubscriberStep.Connect<ShardMap> connect) {
                connect(connect.connection(), connect.source());
            } else if (step instanceof SubscriberStep.Send<ShardMap> send) {
                send(send.message());
            } else if (step instanceof SubscriberStep.Disconnect<ShardMap> disconnect) {
                LOG.atDebug().addKeyValue("reason", disconnect.reason()).log("left a control process");
                close(disconnect.reason().toString());
            } else {
                others.accept(step);
            }
        }
    }

    private void connect(long connection, String source) {
        MessageChannel opening = new MessageChannel(traffic, new MessageChannel.Listener() {
            @Override
            public void opened() {
                machine.connected(connection);
            }

            @Override
            public void received(ControlMessage message) {
                machine.received(connection, message);
            }

            @Override
            public void closed(String reason) {
                LOG.atDebug()
                        .addKeyValue("source", source)
                        .addKeyValue("reason", reason)
                        .log("connection ended");
                machine.disconnected(connection);
            }
        });
        channel = opening;
        try {
            Connection dialled = dialer.dial(source, opening);
            if (dialled != null) {
                opening.use(dialled);
            }
        } catch (RuntimeException e) {
            LOG.atWarn().addKeyValue("source", source).addKeyValue("reason", e).log("cannot connect");
            loop.schedule(0, () -> machine.disconnected(connection));
        }
        if (!reading) {
            opening.pauseReading();
        }
    }

    private void send(ControlMessage message) {
        if (channel != null && channel.isOpen()) {
            channel.send(ByteBuffer.wrap(ControlMessageCodec.encode(message)));
        }
    }

    /** Reads on, or lets what comes wait in the kernel, as a slow reader or a network that is cut does. */
    void reading(boolean on) {
        reading = on;
        if (channel != null && on) {
            channel.resumeReading();
        } else if (channel != null) {
            channel.pauseReading();
        }
    }

    /** Nothing more is read from the present connection, as of a host that is cut off; later ones are not touched. */
    void freeze() {
        if (channel != null) {
            channel.pauseReading();
        }
    }

    void close(String reason) {
        if (channel != null) {
            channel.close(reason);
            channel = null;
        }
    }
}
