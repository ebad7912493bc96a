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
 * The AMQP 0-9-1 front. A client publishes an order to the default exchange with its destination as the
 * routing key; its confirm says that the order is taken on, or is not. The end goes to the queue that the
 * order's reply-to names, under the order's correlation id.
 */
public final class AmqpFront implements Front {
    private static final long LONGEST = 86_400_000; // ms, an expiration beyond a day is a mistake

    private final AmqpConfig config;
    private final List<String> classNames;
    private final List<MessageClass> classes;
    private final Relay relay;
    private final Map<String, ReplyQueue> queues = new ConcurrentHashMap<>();

    /** A front for the relay, whose classes have these names in the settings' order. */
    public AmqpFront(AmqpConfig config, List<String> classNames, List<MessageClass> classes, Relay relay) {
        this.config = config;
        this.classNames = classNames;
        this.classes = classes;
        this.relay = relay;
        if (!classNames.contains(config.messageClass())) {
            throw new IllegalArgumentException("class '" + config.messageClass() + "' is not in the settings");
        }
    }

    /** Listens where the file says. */
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
    public boolean tells(RpcEnd end) {
        return !end.returnAddress().isEmpty();
    }

    /** An end in its queue is told, whenever its client fetches it. */
    @Override
    public boolean overOnceAcknowledged() {
        return false;
    }

    @Override
    public void report(RpcEnd end, boolean again, Runnable acknowledged) {
        JsonObject address = Json.parse(end.returnAddress()).asObject();
        String queue = address.getString("queue", "");
        queue(queue)
                .add(new ReplyQueue.Delivery(
                        queue,
                        reply(end, address.getString("correlation", "")),
                        again,
                        SteadyClock.millis(),
                        acknowledged));
    }

    private static Content reply(RpcEnd end, String correlation) {
        JsonObject json = new JsonObject()
                .add("message", end.id())
                .add(
                        "outcome",
                        switch (end.kind()) {
                            case DELIVERED -> "delivered";
                            case GIVEN_UP -> "given_up";
                            case HANDED_BACK -> "handed_back";
                        });
        if (end.retryIn() > 0) {
            json.add("retry_in_ms", Math.round(end.retryIn() * 1000));
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

    ReplyQueue queue(String name) {
        return queues.computeIfAbsent(name, key -> new ReplyQueue());
    }

    boolean declared(String name) {
        return queues.containsKey(name);
    }

    String declare(String name) {
        String declared = name.isEmpty() ? "amq.gen-" + UUID.randomUUID() : name;
        queue(declared);
        return declared;
    }

    // ---- orders ----

    boolean routes(String routingKey) {
        return config.destination(routingKey) >= 0;
    }

    void publish(String routingKey, Content content, Channel channel) {
        int place = classNames.indexOf(content.type().isEmpty() ? config.messageClass() : content.type());
        if (place < 0) {
            throw new AmqpError(AmqpError.PRECONDITION_FAILED, "type '" + content.type() + "' is no class");
        }
        long left = content.expiration().isEmpty()
                ? (long) (classes.get(place).deadline() * 1000)
                : expiration(content.expiration());
        boolean named = !content.messageId().isEmpty();
        String id = named ? content.messageId() : UUID.randomUUID().toString();
        relay.offer(
                new RpcRequest(
                        id,
                        name(),
                        place,
                        config.destination(routingKey),
                        SteadyClock.millis() + left,
                        returnAddress(content, id),
                        named,
                        content.body()),
                channel);
    }

    private static long expiration(String text) {
        if (!text.matches("\\d{1,9}") || Long.parseLong(text) > LONGEST) {
            throw new AmqpError(AmqpError.PRECONDITION_FAILED, "expiration '" + text + "' is no time in ms");
        }
        return Long.parseLong(text);
    }

    private static String returnAddress(Content content, String id) {
        return content.replyTo().isEmpty()
                ? ""
                : new JsonObject()
                        .add("queue", content.replyTo())
                        .add("correlation", content.correlationId().isEmpty() ? id : content.correlationId())
                        .toString();
    }

    /** Without confirms the refusal of an order can only go where its end would go. */
    void refusedUnconfirmed(Content content, UnavailableStatus status) {
        String address = returnAddress(content, content.messageId());
        if (!address.isEmpty()) {
            report(
                    new RpcEnd(content.messageId(), address, RpcEnd.Kind.HANDED_BACK, status.retryAfter()),
                    false,
                    () -> {});
        }
    }
}
