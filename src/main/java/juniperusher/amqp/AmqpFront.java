package juniperusher.amqp;

import com.eclipsesource.json.Json;
import com.eclipsesource.json.JsonObject;
import java.io.Closeable;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.UUID;
import java.util.concurrent.ConcurrentHashMap;
import juniperusher.Protocol.MessageClass;
import juniperusher.clock.SteadyClock;
import juniperusher.core.Channel;
import juniperusher.core.Front;
import juniperusher.core.Relay;
import juniperusher.core.RpcEnd;
import juniperusher.core.RpcRequest;
import juniperusher.core.UnavailableStatus;
import juniperusher.net.Network;

/**
 * The AMQP 0-9-1 front. A client publishes an order to the default exchange with the destination as the
 * routing key. The publisher confirm says whether the relay accepted the order: ack for accepted, nack for
 * refused. The outcome is put into the queue named by the order's reply-to, with the order's correlation id.
 * Thread-safe.
 */
public final class AmqpFront implements Front {
    // An expiration of more than a day is refused as a mistake of the client.
    private static final long MAX_EXPIRATION_MILLIS = 86_400_000;

    private final AmqpConfig config;
    private final List<String> classNames;
    private final List<MessageClass> classes;
    private final Relay relay;
    private final Map<String, ReplyQueue> queues = new ConcurrentHashMap<>();

    /**
     * Creates a front for the relay.
     *
     * @param classNames names of the message classes, in the order of {@code classes}
     * @param classes    message classes of the settings
     * @throws IllegalArgumentException if the configured default class is not among the names
     */
    public AmqpFront(AmqpConfig config, List<String> classNames, List<MessageClass> classes, Relay relay) {
        this.config = config;
        this.classNames = classNames;
        this.classes = classes;
        this.relay = relay;
        if (!classNames.contains(config.defaultMessageClass())) {
            throw new IllegalArgumentException("class '" + config.defaultMessageClass() + "' is not in the settings");
        }
    }

    /** Opens the configured listen address; closing the result stops listening. */
    public Closeable listen(Network network) throws IOException {
        return network.listen(config.listen(), endPoint -> new AmqpServerConnection(endPoint, network, this));
    }

    AmqpConfig config() {
        return config;
    }

    @Override
    public String name() {
        return "amqp";
    }

    @Override
    public boolean reportsEnd(RpcEnd end) {
        return !end.returnAddress().isEmpty();
    }

    /** False: an outcome counts as reported once it is in its queue, whenever the client fetches it. */
    @Override
    public boolean orderWaitsForAcknowledgement() {
        return false;
    }

    @Override
    public void report(RpcEnd end, boolean redelivered, Runnable acknowledged) {
        JsonObject address = Json.parse(end.returnAddress()).asObject();
        String queue = address.getString("queue", "");
        queueFor(queue)
                .add(new ReplyQueue.Delivery(
                        queue,
                        outcomeMessage(end, address.getString("correlation", "")),
                        redelivered,
                        SteadyClock.millis(),
                        acknowledged));
    }

    /** The message that reports an outcome to the client. */
    private static Content outcomeMessage(RpcEnd end, String correlation) {
        JsonObject json = new JsonObject()
                .add("message", end.id())
                .add(
                        "outcome",
                        switch (end.kind()) {
                            case DELIVERED -> "delivered";
                            case GIVEN_UP -> "given_up";
                            case HANDED_BACK -> "handed_back";
                        });
        if (end.retryAfterSeconds() > 0) {
            json.add("retry_in_ms", Math.round(end.retryAfterSeconds() * 1000));
        }
        return new Content(
                "application/json",
                correlation,
                "",
                "",
                "",
                "end",
                json.toString().getBytes(StandardCharsets.UTF_8));
    }

    // ---- queues ----

    /** Returns the reply queue of that name and creates it if it does not exist. */
    ReplyQueue queueFor(String name) {
        return queues.computeIfAbsent(name, key -> new ReplyQueue());
    }

    boolean isDeclared(String name) {
        return queues.containsKey(name);
    }

    /** Creates a queue, with a generated name if the given one is empty, and returns its name. */
    String declareQueue(String name) {
        String declared = name.isEmpty() ? "amq.gen-" + UUID.randomUUID() : name;
        queueFor(declared);
        return declared;
    }

    // ---- orders ----

    /** Whether the routing key names a destination. */
    boolean isRoutable(String routingKey) {
        return config.destinationOf(routingKey) >= 0;
    }

    /**
     * Offers an order to the relay.
     *
     * @param routingKey a routing key that names a destination
     * @param channel    notified whether the relay accepts the order
     * @throws AmqpError if the type or the expiration of the message is invalid
     */
    void publish(String routingKey, Content content, Channel channel) {
        int classIndex = classNames.indexOf(content.type().isEmpty() ? config.defaultMessageClass() : content.type());
        if (classIndex < 0) {
            throw new AmqpError(AmqpError.PRECONDITION_FAILED, "type '" + content.type() + "' is no class");
        }
        long timeToLiveMillis = content.expiration().isEmpty()
                ? (long) (classes.get(classIndex).deadline() * 1000)
                : parseExpiration(content.expiration());
        boolean hasMessageId = !content.messageId().isEmpty();
        String id = hasMessageId ? content.messageId() : UUID.randomUUID().toString();
        relay.submit(
                new RpcRequest(
                        id,
                        name(),
                        classIndex,
                        config.destinationOf(routingKey),
                        SteadyClock.millis() + timeToLiveMillis,
                        returnAddress(content, id),
                        hasMessageId,
                        content.body()),
                channel);
    }

    private static long parseExpiration(String text) {
        if (!text.matches("\\d{1,9}") || Long.parseLong(text) > MAX_EXPIRATION_MILLIS) {
            throw new AmqpError(AmqpError.PRECONDITION_FAILED, "expiration '" + text + "' is no time in ms");
        }
        return Long.parseLong(text);
    }

    /** JSON text with the queue and correlation id for the outcome; empty if no reply-to is set. */
    private static String returnAddress(Content content, String id) {
        return content.replyTo().isEmpty()
                ? ""
                : new JsonObject()
                        .add("queue", content.replyTo())
                        .add("correlation", content.correlationId().isEmpty() ? id : content.correlationId())
                        .toString();
    }

    /** Reports the refusal of an order in its reply queue, for a client that does not use publisher confirms. */
    void returnUnconfirmed(Content content, UnavailableStatus status) {
        String address = returnAddress(content, content.messageId());
        if (!address.isEmpty()) {
            report(
                    new RpcEnd(content.messageId(), address, RpcEnd.Kind.HANDED_BACK, status.retryAfterSeconds()),
                    false,
                    () -> {});
        }
    }
}
