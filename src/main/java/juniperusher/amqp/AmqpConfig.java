package juniperusher.amqp;

import com.eclipsesource.json.Json;
import com.eclipsesource.json.JsonObject;
import com.eclipsesource.json.JsonValue;
import com.eclipsesource.json.ParseException;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * Configuration of the AMQP front and of the brokers that the relay publishes to. Immutable.
 *
 * @param listen              address on which clients connect, or null if the front is disabled
 * @param user                user name that clients log in with
 * @param password            password that clients log in with
 * @param defaultMessageClass name of the message class used when a message's type property is empty
 * @param brokers             destinations that are AMQP brokers
 */
public record AmqpConfig(
        InetSocketAddress listen, String user, String password, String defaultMessageClass, List<Broker> brokers) {
    /**
     * A destination that is an AMQP broker.
     *
     * @param destination number of the destination
     * @param name        routing key that clients may use in place of the destination's number, or empty
     * @param address     where the broker listens
     * @param user        user name that the relay logs in with
     * @param password    password that the relay logs in with
     * @param virtualHost virtual host that the relay opens
     * @param exchange    exchange that messages are published to
     * @param routingKey  routing key that messages are published with
     * @param weight      listed rate in messages per second
     */
    public record Broker(
            int destination,
            String name,
            InetSocketAddress address,
            String user,
            String password,
            String virtualHost,
            String exchange,
            String routingKey,
            double weight) {}

    /**
     * Builds the configuration from the AMQP table of the operator's settings file.
     *
     * @param table the table, already validated against the schema of the settings
     * @throws IllegalArgumentException if the class is missing or an address is malformed
     */
    public static AmqpConfig fromTable(JsonObject table) {
        return parse(table);
    }

    /**
     * Reads the configuration from a separate JSON file, the older format.
     *
     * @throws IllegalArgumentException if the content is invalid; the message names the file and the reason on
     *     one line
     * @throws IOException if the file cannot be read
     */
    public static AmqpConfig readFile(Path file) throws IOException {
        try {
            return parse(Json.parse(Files.readString(file)).asObject());
        } catch (ParseException | UnsupportedOperationException | NullPointerException | IllegalArgumentException e) {
            throw new IllegalArgumentException(file.getFileName() + " cannot be read: " + e.getMessage(), e);
        }
    }

    private static AmqpConfig parse(JsonObject json) {
        List<Broker> brokers = new ArrayList<>();
        for (JsonValue value :
                json.get("brokers") == null ? Json.array() : json.get("brokers").asArray()) {
            JsonObject broker = value.asObject();
            brokers.add(new Broker(
                    destination(broker),
                    broker.getString("name", ""),
                    parseAddress(broker.getString("address", "")),
                    broker.getString("user", "guest"),
                    broker.getString("password", "guest"),
                    broker.getString("virtual_host", "/"),
                    broker.getString("exchange", ""),
                    broker.getString("routing_key", ""),
                    broker.getDouble("weight", 10)));
        }
        String messageClass = json.getString("class", "");
        if (messageClass.isEmpty()) {
            throw new IllegalArgumentException(
                    "class is missing: expected the class of messages that have an empty type");
        }
        String listen = json.getString("listen", "");
        return new AmqpConfig(
                listen.isEmpty() ? null : parseAddress(listen),
                json.getString("user", "guest"),
                json.getString("password", "guest"),
                messageClass,
                brokers);
    }

    private static int destination(JsonObject broker) {
        JsonValue value = broker.get("destination");
        if (value == null) {
            throw new IllegalArgumentException(
                    "destination is missing: expected the number of the broker's destination");
        }
        return value.asInt();
    }

    private static InetSocketAddress parseAddress(String text) {
        int colon = text.lastIndexOf(':');
        if (colon < 1 || !text.substring(colon + 1).matches("\\d{1,5}")) {
            throw new IllegalArgumentException("'" + text + "' is not an address of the form host:port");
        }
        return new InetSocketAddress(text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
    }

    /** Returns the destination that a routing key names, by name or by number, or -1 if there is none. */
    int destinationOf(String routingKey) {
        for (Broker broker : brokers) {
            if (!broker.name().isEmpty() && broker.name().equals(routingKey)) {
                return broker.destination();
            }
        }
        return routingKey.matches("\\d{1,9}") ? Integer.parseInt(routingKey) : -1;
    }
}
