package juniperusher.amqp;

import java.io.ByteArrayOutputStream;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import juniperusher.core.Channel;
import juniperusher.core.UnavailableStatus;
import juniperusher.net.InboundConnections;
import juniperusher.net.Network;
import org.eclipse.jetty.io.EndPoint;

/**
 * A client's connection to the AMQP front: handshake, channels, published orders and consumers of reply
 * queues.
 */
final class AmqpServerConnection extends AmqpConnection implements InboundConnections.InboundConnection {
    static final int MAX_BODY_BYTES = 64 * 1024;
    private static final int CHANNEL_MAX = 255;
    private static final long HANDSHAKE_TIMEOUT_MILLIS = 10_000;
    private static final int PROTOCOL_HEADER = -1;
    private static final int HANDSHAKE_DONE = 0;

    private final AmqpFront front;
    private final InboundConnections inboundConnections;
    private final long openedNanos = System.nanoTime();
    private final Map<Integer, ServerChannel> channels = new ConcurrentHashMap<>();
    // Number of the method that the handshake waits for, or one of PROTOCOL_HEADER and HANDSHAKE_DONE.
    private volatile int expectedMethod = PROTOCOL_HEADER;

    AmqpServerConnection(EndPoint endPoint, Network network, AmqpFront front) {
        super(endPoint, network);
        this.front = front;
        inboundConnections = network.inboundConnections();
        network.scheduler()
                .schedule(
                        () -> {
                            if (expectedMethod != HANDSHAKE_DONE) {
                                end(); // frees the descriptor of a client that never completes the handshake
                            }
                        },
                        HANDSHAKE_TIMEOUT_MILLIS,
                        TimeUnit.MILLISECONDS);
    }

    @Override
    public void onOpen() {
        inboundConnections.add(this);
        super.onOpen();
    }

    @Override
    public void onClose(Throwable cause) {
        super.onClose(cause);
        inboundConnections.remove(this);
    }

    /** {@code NO_DATA} until the client has logged in; never shed from then on, as its consumers wait for outcomes. */
    @Override
    public InboundConnections.ConnectionState state() {
        return expectedMethod != HANDSHAKE_DONE
                ? InboundConnections.ConnectionState.NO_DATA
                : InboundConnections.ConnectionState.HANDLING;
    }

    @Override
    public long stateSinceNanos() {
        return openedNanos;
    }

    @Override
    public void closeGracefully() {
        end();
    }

    @Override
    public void closeNow() {
        end();
    }

    /**
     * A channel opened by the client. Its state belongs to the thread that reads the connection, except for
     * deliveries and {@code closing}, which are guarded by the channel's monitor.
     */
    final class ServerChannel {
        private final int number;
        private boolean confirmMode;
        private long publishCount;
        private boolean closing;
        private String routingKey;
        private boolean mandatory;
        private Content properties;
        private long expectedBodyBytes;
        private ByteArrayOutputStream body;
        private long lastDeliveryTag;
        private final Map<Long, ReplyQueue.Delivery> unacknowledged = new HashMap<>();
        private final Map<String, ReplyQueue> consumerQueues = new HashMap<>();

        private ServerChannel(int number) {
            this.number = number;
        }

        /** Sends a delivery to the consumer; returns false if the channel is closed. */
        boolean deliver(String consumerTag, boolean noAck, ReplyQueue.Delivery delivery) {
            synchronized (this) {
                if (closing) {
                    return false;
                }
                lastDeliveryTag++;
                if (!noAck) {
                    unacknowledged.put(lastDeliveryTag, delivery);
                }
                send(delivery.content()
                        .toFrames(
                                new Method.Writer(Method.DELIVER)
                                        .shortText(consumerTag)
                                        .u64(lastDeliveryTag)
                                        .u8(delivery.redelivered() ? 1 : 0)
                                        .shortText("")
                                        .shortText(delivery.queue()),
                                number,
                                frameMax()));
            }
            if (noAck) {
                delivery.onCompleted().run();
            }
            return true;
        }

        /**
         * Settles unacknowledged deliveries.
         *
         * @param tag      delivery tag; with {@code multiple}, all tags up to it are settled, or all if it is 0
         * @param accepted true to complete the deliveries, false to put them back into their queues
         */
        private void settle(long tag, boolean multiple, boolean accepted) {
            Map<Long, ReplyQueue.Delivery> settled = new HashMap<>();
            synchronized (this) {
                unacknowledged.forEach((deliveryTag, delivery) -> {
                    if (deliveryTag == tag || multiple && (deliveryTag <= tag || tag == 0)) {
                        settled.put(deliveryTag, delivery);
                    }
                });
                unacknowledged.keySet().removeAll(settled.keySet());
            }
            if (settled.isEmpty() && !multiple) {
                throw new AmqpError(AmqpError.PRECONDITION_FAILED, "delivery tag " + tag + " is unknown");
            }
            settled.values().forEach(delivery -> {
                if (accepted) {
                    delivery.onCompleted().run();
                } else {
                    front.queueFor(delivery.queue()).add(delivery.asRedelivered());
                }
            });
        }

        /** Closes the channel, cancels its consumers and puts unacknowledged deliveries back into their queues. */
        private void closeAndRequeue() {
            Map<Long, ReplyQueue.Delivery> unsettled;
            synchronized (this) {
                closing = true;
                unsettled = new HashMap<>(unacknowledged);
                unacknowledged.clear();
            }
            consumerQueues.forEach((tag, queue) -> queue.removeConsumer(this, tag));
            unsettled
                    .values()
                    .forEach(delivery -> front.queueFor(delivery.queue()).add(delivery.asRedelivered()));
        }
    }

    // ---- the handshake ----

    @Override
    boolean awaitsProtocolHeader() {
        return expectedMethod == PROTOCOL_HEADER;
    }

    @Override
    void onProtocolHeader(boolean supported) {
        if (!supported) {
            // Specified: answer with the supported protocol header, then close.
            send(Frame.PROTOCOL_HEADER);
            endAfterWrites();
            return;
        }
        expectedMethod = Method.START_OK;
        send(new Method.Writer(Method.START)
                .u8(0)
                .u8(9)
                .peerProperties("juniperusher", "publisher_confirms", "basic.nack", "connection.blocked")
                .longText("PLAIN")
                .longText("en_US")
                .methodFrame(0));
    }

    @Override
    void onFrame(Frame frame) {
        if (frame.channel() == 0) {
            onConnectionFrame(frame);
            return;
        }
        if (closing()) {
            return;
        }
        if (expectedMethod != HANDSHAKE_DONE) {
            throw new AmqpError(AmqpError.COMMAND_INVALID, "a channel before the connection is open");
        }
        ServerChannel channel = channels.get(frame.channel());
        int number = frame.type() == Frame.METHOD ? new Method(frame).number() : 0;
        try {
            onChannelFrame(frame, channel, number);
        } catch (AmqpError e) {
            if (!e.closesOnlyChannel() || channel == null) {
                sendClose(e, number);
                return;
            }
            channel.closeAndRequeue();
            send(new Method.Writer(Method.CHANNEL_CLOSE)
                    .u16(e.replyCode())
                    .shortText(clipReplyText(e.getMessage()))
                    .u16(number >>> 16)
                    .u16(number & 0xffff)
                    .methodFrame(channel.number));
        }
    }

    private void onConnectionFrame(Frame frame) {
        if (frame.type() != Frame.METHOD) {
            throw new AmqpError(AmqpError.UNEXPECTED_FRAME, "content on channel 0");
        }
        Method in = new Method(frame);
        if (in.number() == Method.CLOSE_OK && closing()) {
            end();
        } else if (in.number() == Method.CLOSE) {
            send(new Method.Writer(Method.CLOSE_OK).methodFrame(0));
            endAfterWrites();
        } else if (closing()) {
            return;
        } else if (expectedMethod == HANDSHAKE_DONE || in.number() != expectedMethod) {
            sendClose(
                    new AmqpError(
                            in.number() >>> 16 == 10 ? AmqpError.COMMAND_INVALID : AmqpError.NOT_IMPLEMENTED,
                            "method " + methodName(in.number()) + " is not expected here"),
                    in.number());
        } else {
            continueHandshake(in);
        }
    }

    private void continueHandshake(Method in) {
        if (expectedMethod == Method.START_OK) {
            in.skipTable();
            String mechanism = in.shortText();
            if (!mechanism.equals("PLAIN")
                    || !in.longText()
                            .equals("\0" + front.config().user() + "\0"
                                    + front.config().password())) {
                sendClose(new AmqpError(AmqpError.ACCESS_REFUSED, "login was refused"), in.number());
                return;
            }
            expectedMethod = Method.TUNE_OK;
            send(new Method.Writer(Method.TUNE)
                    .u16(CHANNEL_MAX)
                    .u32(FRAME_MAX_BYTES)
                    .u16(HEARTBEAT_SECONDS)
                    .methodFrame(0));
        } else if (expectedMethod == Method.TUNE_OK) {
            in.u16(); // channel-max, not stored: a channel number above CHANNEL_MAX is refused when it is opened
            int requestedFrameMax = in.u32();
            if (requestedFrameMax != 0 && requestedFrameMax < FRAME_MIN_BYTES || requestedFrameMax > FRAME_MAX_BYTES) {
                throw new AmqpError(AmqpError.NOT_ALLOWED, "frame-max " + requestedFrameMax + " is not allowed");
            }
            applyTuning(requestedFrameMax, in.u16());
            expectedMethod = Method.OPEN;
        } else {
            if (!in.shortText().equals("/")) {
                sendClose(new AmqpError(AmqpError.NOT_ALLOWED, "virtual host is unknown"), in.number());
                return;
            }
            expectedMethod = HANDSHAKE_DONE;
            send(new Method.Writer(Method.OPEN_OK).shortText("").methodFrame(0));
        }
    }

    // ---- methods on a channel ----

    private void onChannelFrame(Frame frame, ServerChannel channel, int number) {
        if (channel == null) {
            if (number != Method.CHANNEL_OPEN) {
                throw new AmqpError(AmqpError.CHANNEL_ERROR, "channel " + frame.channel() + " is not open");
            }
            if (frame.channel() > CHANNEL_MAX) {
                throw new AmqpError(AmqpError.NOT_ALLOWED, "channel " + frame.channel() + " is over the limit");
            }
            channels.put(frame.channel(), new ServerChannel(frame.channel()));
            send(new Method.Writer(Method.CHANNEL_OPEN_OK).longText("").methodFrame(frame.channel()));
        } else if (channel.closing) {
            if (number == Method.CHANNEL_CLOSE_OK || number == Method.CHANNEL_CLOSE) {
                channels.remove(channel.number);
            }
        } else if (frame.type() == Frame.HEADER) {
            onContentHeader(frame, channel);
        } else if (frame.type() == Frame.BODY) {
            onContentBody(frame, channel);
        } else if (channel.routingKey != null) {
            throw new AmqpError(AmqpError.UNEXPECTED_FRAME, "a method where content was expected");
        } else {
            onChannelMethod(new Method(frame), channel);
        }
    }

    private void onChannelMethod(Method in, ServerChannel channel) {
        int number = in.number();
        if (number == Method.PUBLISH) {
            in.u16(); // reserved
            if (!in.shortText().isEmpty()) {
                throw new AmqpError(AmqpError.NOT_FOUND, "only the default exchange is here");
            }
            channel.routingKey = in.shortText();
            int flags = in.u8(); // bit 0: mandatory, bit 1: immediate
            if ((flags & 2) != 0) {
                throw new AmqpError(AmqpError.NOT_IMPLEMENTED, "immediate is not implemented");
            }
            channel.mandatory = (flags & 1) != 0;
        } else if (number == Method.CONFIRM_SELECT) {
            channel.confirmMode = true;
            if (in.u8() == 0) {
                send(new Method.Writer(Method.CONFIRM_SELECT_OK).methodFrame(channel.number));
            }
        } else if (number == Method.QUEUE_DECLARE) {
            in.u16(); // reserved
            String queue = front.declareQueue(in.shortText());
            if ((in.u8() & 16) == 0) { // bit 4: no-wait
                send(new Method.Writer(Method.QUEUE_DECLARE_OK)
                        .shortText(queue)
                        .u32(front.queueFor(queue).pendingCount())
                        .u32(0)
                        .methodFrame(channel.number));
            }
        } else if (number == Method.CONSUME) {
            startConsumer(in, channel);
        } else if (number == Method.CANCEL) {
            String tag = in.shortText();
            ReplyQueue queue = channel.consumerQueues.remove(tag);
            if (queue != null) {
                queue.removeConsumer(channel, tag);
            }
            if (in.u8() == 0) {
                send(new Method.Writer(Method.CANCEL_OK).shortText(tag).methodFrame(channel.number));
            }
        } else if (number == Method.ACK) {
            channel.settle(in.u64(), in.u8() != 0, true);
        } else if (number == Method.NACK || number == Method.REJECT) {
            long tag = in.u64();
            int flags = in.u8(); // reject: bit 0 requeue; nack: bit 0 multiple, bit 1 requeue
            boolean requeue = number == Method.REJECT ? (flags & 1) != 0 : (flags & 2) != 0;
            channel.settle(tag, number == Method.NACK && (flags & 1) != 0, !requeue);
        } else if (number == Method.QOS) {
            send(new Method.Writer(Method.QOS_OK).methodFrame(channel.number));
        } else if (number == Method.FLOW) {
            send(new Method.Writer(Method.FLOW_OK).u8(in.u8()).methodFrame(channel.number));
        } else if (number == Method.CHANNEL_CLOSE) {
            channel.closeAndRequeue();
            channels.remove(channel.number);
            send(new Method.Writer(Method.CHANNEL_CLOSE_OK).methodFrame(channel.number));
        } else if (number == Method.CHANNEL_OPEN) {
            throw new AmqpError(AmqpError.CHANNEL_ERROR, "channel " + channel.number + " is open already");
        } else {
            throw new AmqpError(AmqpError.NOT_IMPLEMENTED, "method " + methodName(number) + " is not implemented");
        }
    }

    private void startConsumer(Method in, ServerChannel channel) {
        in.u16(); // reserved
        String queue = in.shortText();
        String requestedTag = in.shortText();
        int flags = in.u8(); // bit 1: no-ack, bit 3: no-wait
        String tag =
                requestedTag.isEmpty() ? "ctag-" + channel.number + '-' + channel.consumerQueues.size() : requestedTag;
        if (!front.isDeclared(queue)) {
            throw new AmqpError(AmqpError.NOT_FOUND, "queue '" + queue + "' is not declared");
        }
        if (channel.consumerQueues.containsKey(tag)) {
            throw new AmqpError(AmqpError.NOT_ALLOWED, "consumer tag '" + tag + "' is taken");
        }
        channel.consumerQueues.put(tag, front.queueFor(queue));
        if ((flags & 8) == 0) {
            send(new Method.Writer(Method.CONSUME_OK).shortText(tag).methodFrame(channel.number));
        }
        front.queueFor(queue).addConsumer(channel, tag, (flags & 2) != 0);
    }

    /** Returns "class.method" for the number of a method. */
    static String methodName(int number) {
        return (number >>> 16) + "." + (number & 0xffff);
    }

    // ---- content of published messages ----

    private void onContentHeader(Frame frame, ServerChannel channel) {
        if (channel.routingKey == null || channel.properties != null) {
            throw new AmqpError(AmqpError.UNEXPECTED_FRAME, "a content header that belongs to no method");
        }
        Method in = new Method(frame);
        if (in.number() >>> 16 != 60) {
            throw new AmqpError(AmqpError.FRAME_ERROR, "content of class " + (in.number() >>> 16));
        }
        channel.expectedBodyBytes = in.u64();
        if (channel.expectedBodyBytes > MAX_BODY_BYTES || channel.expectedBodyBytes < 0) {
            throw new AmqpError(
                    AmqpError.CONTENT_TOO_LARGE,
                    "a body of " + channel.expectedBodyBytes + " bytes is over " + MAX_BODY_BYTES);
        }
        channel.properties = Content.readProperties(in);
        channel.body = new ByteArrayOutputStream();
        publishIfComplete(channel);
    }

    private void onContentBody(Frame frame, ServerChannel channel) {
        if (channel.properties == null) {
            throw new AmqpError(AmqpError.UNEXPECTED_FRAME, "a body that belongs to no content header");
        }
        channel.body.writeBytes(frame.payload());
        if (channel.body.size() > channel.expectedBodyBytes) {
            throw new AmqpError(AmqpError.UNEXPECTED_FRAME, "a body that is longer than its header says");
        }
        publishIfComplete(channel);
    }

    /** Offers the order to the front once its body is complete. */
    private void publishIfComplete(ServerChannel channel) {
        if (channel.body.size() < channel.expectedBodyBytes) {
            return;
        }
        Content content = channel.properties.withBody(channel.body.toByteArray());
        String routingKey = channel.routingKey;
        boolean mandatory = channel.mandatory;
        channel.routingKey = null;
        channel.properties = null;
        long tag = channel.confirmMode ? ++channel.publishCount : 0;
        if (!front.isRoutable(routingKey)) {
            returnUnroutable(channel, tag, routingKey, mandatory, content);
            return;
        }
        front.publish(routingKey, content, new Channel() {
            @Override
            public boolean accepted() {
                sendConfirm(channel, tag, Method.ACK);
                return true; // it is written later
            }

            @Override
            public void refused(UnavailableStatus status) {
                sendConfirm(channel, tag, Method.NACK);
                if (tag == 0) {
                    front.returnUnconfirmed(content, status);
                }
            }
        });
    }

    /**
     * Handles an order whose routing key names no destination: returns it if it is mandatory, and answers with a
     * nack, never with an ack, so that the client knows that the order was not accepted.
     */
    private void returnUnroutable(
            ServerChannel channel, long tag, String routingKey, boolean mandatory, Content content) {
        if (mandatory) {
            send(content.toFrames(
                    new Method.Writer(Method.RETURN)
                            .u16(AmqpError.NO_ROUTE)
                            .shortText("NO_ROUTE")
                            .shortText("")
                            .shortText(routingKey),
                    channel.number,
                    frameMax()));
        }
        sendConfirm(channel, tag, Method.NACK);
    }

    private void sendConfirm(ServerChannel channel, long tag, int method) {
        if (tag > 0 && !channel.closing) {
            send(new Method.Writer(method).u64(tag).u8(0).methodFrame(channel.number));
        }
    }

    @Override
    void onEnded() {
        channels.values().forEach(ServerChannel::closeAndRequeue);
        channels.clear();
    }
}
