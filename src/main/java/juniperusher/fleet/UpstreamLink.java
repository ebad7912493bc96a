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
 * Manages a subscriber's single upstream connection. It carries out the subscriber's steps to connect, send and
 * disconnect, and passes all other steps to a consumer. Used only on the loop's thread.
 */
final class UpstreamLink {
    private static final Logger LOG = LoggerFactory.getLogger(UpstreamLink.class);

    private final EventLoop loop;
    private final Dialer dialer;
    private final Events events;
    private final Consumer<SubscriberStep<ShardMap>> otherSteps;
    private final Traffic traffic = new Traffic();
    private MessageChannel channel; // null before the first connection and after close()
    private boolean readingEnabled = true;

    /** Receives the events of connections; {@code connectionId} is that of the step that requested the connection. */
    interface Events {
        void connected(long connectionId);

        void disconnected(long connectionId);

        void received(long connectionId, ControlMessage message);
    }

    UpstreamLink(EventLoop loop, Dialer dialer, Events events, Consumer<SubscriberStep<ShardMap>> otherSteps) {
        this.loop = loop;
        this.dialer = dialer;
        this.events = events;
        this.otherSteps = otherSteps;
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
                LOG.atDebug().addKeyValue("reason", disconnect.reason()).log("disconnected from control process");
                close(disconnect.reason().toString());
            } else {
                otherSteps.accept(step);
            }
        }
    }

    private void connect(long connectionId, String source) {
        MessageChannel opening = new MessageChannel(traffic, new MessageChannel.Listener() {
            @Override
            public void opened() {
                events.connected(connectionId);
            }

            @Override
            public void received(ControlMessage message) {
                events.received(connectionId, message);
            }

            @Override
            public void closed(String reason) {
                LOG.atDebug()
                        .addKeyValue("source", source)
                        .addKeyValue("reason", reason)
                        .log("connection to control process ended");
                events.disconnected(connectionId);
            }
        });
        channel = opening;
        try {
            Connection connection = dialer.dial(source, opening);
            if (connection != null) {
                opening.attach(connection);
            }
        } catch (RuntimeException e) {
            LOG.atWarn()
                    .addKeyValue("source", source)
                    .addKeyValue("reason", e)
                    .log("cannot connect to control process");
            loop.schedule(0, () -> events.disconnected(connectionId));
        }
        if (!readingEnabled) {
            opening.pauseReading();
        }
    }

    private void send(ControlMessage message) {
        if (channel != null && channel.isOpen()) {
            channel.send(ByteBuffer.wrap(ControlMessageCodec.encode(message)));
        }
    }

    /** Resumes or stops reading from the current and all later connections, to simulate a slow reader in lab runs. */
    void setReading(boolean enabled) {
        readingEnabled = enabled;
        if (channel != null && enabled) {
            channel.resumeReading();
        } else if (channel != null) {
            channel.pauseReading();
        }
    }

    /** Stops reading from the current connection only, to simulate a network partition in lab runs. */
    void pauseCurrentConnection() {
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
