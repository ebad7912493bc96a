package juniperusher.amqp;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import juniperusher.core.CallEnd;
import juniperusher.core.Counters;
import juniperusher.net.Network;
import org.eclipse.jetty.io.EndPoint;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * A connection to a broker, on which orders are published with publisher confirms. Each order in flight has
 * its own channel, so an order can be abandoned by closing its channel without affecting other orders.
 */
final class BrokerConnection extends AmqpConnection {
    private static final Logger LOG = LoggerFactory.getLogger(BrokerConnection.class);
    // A broker that takes longer is treated as unreachable.
    private static final double HANDSHAKE_TIMEOUT_SECONDS = 2.0;

    private final AmqpConfig.Broker broker;
    private final AmqpSubchannels.BrokerConnector connector;
    private final Counters counters;
    private final Map<Integer, BrokerChannel> channels = new HashMap<>();
    private final Deque<BrokerChannel> idleChannels = new ArrayDeque<>();
    // Number of the method that the handshake waits for, 0 once it is complete.
    private int expectedMethod = Method.START;
    private int channelMax;
    private int lastChannelNumber;
    private volatile boolean blocked;
    private volatile boolean opened;

    /** A channel, with at most one order in flight. */
    private static final class BrokerChannel {
        final int number;
        AmqpSubchannels.PendingPublish order;
        long publishCount; // also the delivery tag of the last publish
        boolean awaitsConfirm; // the last publish is written and not confirmed yet
        boolean awaitsReturnedContent; // a return has begun, and its content header tells of which message
        boolean returned; // the broker returned the order in flight
        boolean closing;

        BrokerChannel(int number) {
            this.number = number;
        }
    }

    BrokerConnection(
            EndPoint endPoint,
            Network network,
            AmqpConfig.Broker broker,
            AmqpSubchannels.BrokerConnector connector,
            Counters counters) {
        super(endPoint, network);
        this.counters = counters;
        this.broker = broker;
        this.connector = connector;
        network.scheduler()
                .schedule(
                        () -> {
                            if (!opened) {
                                end();
                            }
                        },
                        (long) (HANDSHAKE_TIMEOUT_SECONDS * 1000),
                        TimeUnit.MILLISECONDS);
    }

    @Override
    public void onOpen() {
        super.onOpen();
        send(Frame.PROTOCOL_HEADER);
    }

    /** Whether the broker has sent connection.blocked and not yet connection.unblocked. */
    boolean blocked() {
        return blocked;
    }

    /** Whether the handshake is complete and the connection is not closing. */
    boolean usable() {
        return opened && !closing();
    }

    @Override
    boolean awaitsProtocolHeader() {
        return false;
    }

    @Override
    void onProtocolHeader(boolean supported) {
        throw new AmqpError(AmqpError.UNEXPECTED_FRAME, "a protocol header from a broker");
    }

    // ---- reading ----

    @Override
    void onFrame(Frame frame) {
        if (frame.channel() == 0) {
            onConnectionMethod(new Method(frame));
        } else if (frame.type() == Frame.METHOD) {
            onChannelMethod(frame.channel(), new Method(frame));
        } else if (frame.type() == Frame.HEADER) {
            onReturnedContent(frame);
        }
    }

    /** Assigns a return to the order in flight if the content header, which follows the method, names that order. */
    private void onReturnedContent(Frame header) {
        synchronized (this) {
            BrokerChannel channel = channels.get(header.channel());
            if (channel == null || !channel.awaitsReturnedContent) {
                return;
            }
            channel.awaitsReturnedContent = false;
            Method fields = new Method(header);
            fields.u64(); // size of the body
            String id = Content.readProperties(fields).messageId();
            if (channel.order != null && channel.awaitsConfirm && channel.order.isOf(id)) {
                channel.returned = true;
                return;
            }
        }
        reportUnexpected(header.channel(), "return");
    }

    private void reportUnexpected(int channelNumber, String reason) {
        counters.add("unexpected_input_total", "reason", reason);
        LOG.atWarn()
                .addKeyValue("endpoint", broker.address())
                .addKeyValue("reason", reason)
                .addKeyValue("channel", channelNumber)
                .log("input that belongs to no call");
    }

    private void onConnectionMethod(Method in) {
        int number = in.number();
        if (number == Method.CLOSE) {
            send(new Method.Writer(Method.CLOSE_OK).methodFrame(0));
            opened = false;
            endAfterWrites();
        } else if (number == Method.CLOSE_OK) {
            end();
        } else if (number == Method.BLOCKED) {
            blocked = true;
        } else if (number == Method.UNBLOCKED) {
            blocked = false;
        } else if (number != expectedMethod) {
            throw new AmqpError(
                    AmqpError.COMMAND_INVALID,
                    "method " + AmqpServerConnection.methodName(number) + " is not expected here");
        } else if (number == Method.START) {
            expectedMethod = Method.TUNE;
            send(new Method.Writer(Method.START_OK)
                    .peerProperties("juniperusher", "publisher_confirms", "basic.nack", "connection.blocked")
                    .shortText("PLAIN")
                    .longText("\0" + broker.user() + "\0" + broker.password())
                    .shortText("en_US")
                    .methodFrame(0));
        } else if (number == Method.TUNE) {
            channelMax = in.u16();
            channelMax = channelMax == 0 ? 65535 : channelMax;
            int offeredFrameMax = in.u32();
            int chosenFrameMax = offeredFrameMax == 0 ? FRAME_MAX_BYTES : Math.min(offeredFrameMax, FRAME_MAX_BYTES);
            int intervalSeconds = in.u16();
            intervalSeconds = intervalSeconds == 0 ? HEARTBEAT_SECONDS : Math.min(intervalSeconds, HEARTBEAT_SECONDS);
            send(new Method.Writer(Method.TUNE_OK)
                    .u16(channelMax)
                    .u32(chosenFrameMax)
                    .u16(intervalSeconds)
                    .methodFrame(0));
            expectedMethod = Method.OPEN_OK;
            send(new Method.Writer(Method.OPEN)
                    .shortText(broker.virtualHost())
                    .shortText("")
                    .u8(0)
                    .methodFrame(0));
            applyTuning(chosenFrameMax, intervalSeconds);
        } else {
            expectedMethod = 0;
            opened = true;
            connector.onOpened(this);
        }
    }

    private void onChannelMethod(int channelNumber, Method in) {
        BrokerChannel channel;
        synchronized (this) {
            channel = channels.get(channelNumber);
        }
        if (channel == null) {
            return;
        }
        int number = in.number();
        if (number == Method.CHANNEL_OPEN_OK) {
            send(new Method.Writer(Method.CONFIRM_SELECT).u8(0).methodFrame(channelNumber));
        } else if (number == Method.CONFIRM_SELECT_OK) {
            publishOn(channel);
        } else if (number == Method.RETURN) {
            synchronized (this) {
                channel.awaitsReturnedContent = true;
            }
        } else if (number == Method.ACK || number == Method.NACK) {
            onConfirm(channel, in.u64(), number == Method.ACK);
        } else if (number == Method.CHANNEL_CLOSE) {
            int replyCode = in.u16();
            in.shortText();
            send(new Method.Writer(Method.CHANNEL_CLOSE_OK).methodFrame(channelNumber));
            boolean refused = (replyCode == AmqpError.NOT_FOUND
                            || replyCode == AmqpError.ACCESS_REFUSED
                            || replyCode == AmqpError.CONTENT_TOO_LARGE)
                    && (in.u16() << 16 | in.u16()) == Method.PUBLISH;
            // A close caused by basic.publish refuses the order: the broker has not put it into any queue.
            removeChannel(channel, refused || channel.returned ? CallEnd.UNROUTABLE : CallEnd.BROKEN);
        } else if (number == Method.CHANNEL_CLOSE_OK) {
            removeChannel(channel, CallEnd.BROKEN);
        } else if (number == Method.FLOW) {
            send(new Method.Writer(Method.FLOW_OK).u8(in.u8()).methodFrame(channelNumber));
        }
    }

    /**
     * Ends the order on the channel if the confirm names its publish. An earlier tag is a repeated confirm. Any other
     * does not tell which publish it confirms: tag 0 stands for all that are unconfirmed, so that a repeated one would
     * also cover the next publish. The order may then have run.
     */
    private void onConfirm(BrokerChannel channel, long tag, boolean acknowledged) {
        AmqpSubchannels.PendingPublish order = null;
        boolean returned;
        boolean named;
        synchronized (this) {
            named = channel.awaitsConfirm && tag == channel.publishCount;
            returned = channel.returned;
            boolean repeated = tag != 0 && tag <= channel.publishCount && !named;
            if (!repeated) {
                order = channel.order;
                channel.order = null;
                channel.awaitsConfirm = false;
            }
        }
        if (!named) {
            reportUnexpected(channel.number, "confirm");
        }
        if (order == null) {
            return;
        }
        // A nack does not prove that no queue holds the order, so the order may have run.
        CallEnd confirmedEnd = !acknowledged ? CallEnd.FAILED : returned ? CallEnd.UNROUTABLE : CallEnd.DELIVERED;
        order.finish(named ? confirmedEnd : CallEnd.BROKEN);
        if (named && !returned) {
            release(channel);
        } else {
            close(channel); // a return that is repeated later must not meet another publish of the same message
        }
    }

    // ---- publishing ----

    /** Publishes the order on an idle or a new channel; ends it as not connected if all channels are in use. */
    void publish(AmqpSubchannels.PendingPublish order) {
        BrokerChannel channel;
        boolean isNew;
        synchronized (this) {
            channel = idleChannels.poll();
            isNew = channel == null;
            if (isNew && channels.size() < channelMax) {
                while (channels.containsKey(lastChannelNumber = lastChannelNumber % channelMax + 1)) {
                    continue;
                }
                channel = new BrokerChannel(lastChannelNumber);
                channels.put(lastChannelNumber, channel);
            }
            if (channel != null) {
                channel.order = order;
            }
        }
        if (channel == null) {
            order.finish(CallEnd.NOT_CONNECTED);
            return;
        }
        if (!order.attach(this)) {
            abandon(order);
        } else if (isNew) {
            send(new Method.Writer(Method.CHANNEL_OPEN).shortText("").methodFrame(channel.number));
        } else {
            publishOn(channel);
        }
        // The connection may have ended before the order was assigned to its channel.
        if (!usable()) {
            order.finish(CallEnd.BROKEN);
        }
    }

    /** Publishes the order assigned to the channel, or releases the channel if the order was abandoned. */
    private void publishOn(BrokerChannel channel) {
        AmqpSubchannels.PendingPublish order;
        synchronized (this) {
            order = channel.order;
        }
        if (order == null) {
            release(channel);
            return;
        }
        byte[] bytes = order.content()
                .toFrames(
                        new Method.Writer(Method.PUBLISH)
                                .u16(0)
                                .shortText(broker.exchange())
                                .shortText(broker.routingKey())
                                .u8(1),
                        channel.number,
                        frameMax());
        send(bytes, () -> {
            if (!order.mayWrite(blocked)) {
                synchronized (this) {
                    channel.order = null;
                }
                release(channel);
                return false;
            }
            synchronized (this) {
                channel.publishCount++;
                channel.awaitsConfirm = true;
                channel.returned = false;
            }
            return true;
        });
    }

    /** Makes the channel available to the next order. */
    private synchronized void release(BrokerChannel channel) {
        if (!channel.closing && channels.get(channel.number) == channel && !idleChannels.contains(channel)) {
            idleChannels.add(channel);
        }
    }

    /** Closes the channel of an order whose confirm is no longer awaited. */
    void abandon(AmqpSubchannels.PendingPublish order) {
        BrokerChannel abandoned = null;
        synchronized (this) {
            for (BrokerChannel channel : channels.values()) {
                if (channel.order == order) {
                    abandoned = channel;
                    channel.order = null;
                }
            }
        }
        if (abandoned != null) {
            close(abandoned);
        }
    }

    /** Closes a channel, which carries no further order. */
    private void close(BrokerChannel channel) {
        synchronized (this) {
            channel.closing = true;
            idleChannels.remove(channel);
        }
        send(new Method.Writer(Method.CHANNEL_CLOSE)
                .u16(200)
                .shortText("given up")
                .u16(0)
                .u16(0)
                .methodFrame(channel.number));
    }

    /** Removes a closed channel and ends the order in flight on it. */
    private void removeChannel(BrokerChannel channel, CallEnd end) {
        AmqpSubchannels.PendingPublish unfinished;
        synchronized (this) {
            channels.remove(channel.number);
            idleChannels.remove(channel);
            channel.closing = true;
            unfinished = channel.order;
            channel.order = null;
        }
        if (unfinished != null) {
            unfinished.finish(end);
        }
    }

    @Override
    void onEnded() {
        opened = false;
        connector.onEnded(this);
        Map<Integer, BrokerChannel> remaining;
        synchronized (this) {
            remaining = new HashMap<>(channels);
        }
        remaining
                .values()
                .forEach(channel -> removeChannel(channel, channel.returned ? CallEnd.UNROUTABLE : CallEnd.BROKEN));
    }
}
