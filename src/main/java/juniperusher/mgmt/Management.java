package juniperusher.mgmt;

import com.eclipsesource.json.Json;
import com.eclipsesource.json.JsonValue;
import com.eclipsesource.json.ParseException;
import java.io.Closeable;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReference;
import juniperusher.net.HttpMessage;
import juniperusher.net.HttpServerConnection;
import juniperusher.net.Inbound;
import juniperusher.net.Network;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The operators' listener. Calls, each on a connection of its own that ends with the answer:
 *
 * <ul>
 * <li>{@code GET /status}: 200 once this process takes clients, 503 before and after;</li>
 * <li>{@code POST /maintenance/enter} with {@code {"target":"ID"}}: 200 once nothing new goes to endpoint ID,
 * 404 for an id that discovery never named, 503 while the relay starts;</li>
 * <li>{@code POST /maintenance/exit}, the same: 200 once it may serve again.</li>
 * </ul>
 * A body that cannot be read gets 400, another method 405, another path 404. A call that is not whole within
 * 2.5 s, or that says nothing for 2 s, is closed; those who hold connections so delay nobody else.
 */
public final class Management implements HttpServerConnection.Handler, AutoCloseable {
    private static final Logger LOG = LoggerFactory.getLogger(Management.class);
    private static final int MAX_BODY_BYTES = 4 * 1024; // bytes; a target's id is short
    private static final int MAX_CONNECTIONS = 64; // the mute and idle go first beyond that

    private final AtomicReference<Operated> currentRelay = new AtomicReference<>(Operated.STARTING);
    private final AtomicLong shedCount = new AtomicLong();
    private Closeable listener;

    private Management() {}

    /**
     * Listens on {@code address}; calls act on {@link Operated#STARTING} until {@link #operate} says more.
     *
     * @throws IOException where the address cannot be bound
     */
    public static Management listen(Network network, InetSocketAddress address) throws IOException {
        Management management = new Management();
        Inbound ownBound = Inbound.oldestFirst(MAX_CONNECTIONS, management.shedCount::incrementAndGet);
        management.listener = network.listen(
                address,
                endPoint -> new HttpServerConnection(endPoint, network, ownBound, MAX_BODY_BYTES, management),
                false);
        LOG.atInfo().addKeyValue("address", address).log("operators' calls are taken");
        return management;
    }

    @Override
    public void close() throws IOException {
        if (listener != null) {
            listener.close();
        }
    }

    /** From now on calls act on {@code relay}. */
    public void operate(Operated relay) {
        currentRelay.set(relay);
    }

    /** How many connections were closed for want of room. */
    public long shed() {
        return shedCount.get();
    }

    @Override
    public boolean closing() {
        return true; // one call a connection
    }

    @Override
    public void handle(HttpMessage request, HttpServerConnection.Responder responder) {
        responder.respond(answer(request));
    }

    /** The answer to one call. */
    HttpMessage answer(HttpMessage request) {
        String path = request.path();
        int query = path.indexOf('?');
        path = query < 0 ? path : path.substring(0, query);
        Operated relay = currentRelay.get();
        switch (path) {
            case "/status":
                if (!request.method().equals("GET")) {
                    return HttpMessage.response(405, "expected GET\n", "Allow", "GET");
                }
                return relay.serving()
                        ? HttpMessage.response(200, "serving\n")
                        : HttpMessage.response(503, "not serving\n");
            case "/maintenance/enter":
            case "/maintenance/exit":
                if (!request.method().equals("POST")) {
                    return HttpMessage.response(405, "expected POST\n", "Allow", "POST");
                }
                String id;
                try {
                    id = parseTarget(request.body());
                } catch (IllegalArgumentException e) {
                    return HttpMessage.response(400, e.getMessage() + '\n');
                }
                boolean enter = path.endsWith("enter");
                Operated.Answer result = enter ? relay.enter(id) : relay.exit(id);
                LOG.atInfo()
                        .addKeyValue("target", id)
                        .addKeyValue("call", enter ? "enter" : "exit")
                        .addKeyValue("answer", result)
                        .log("maintenance");
                return switch (result) {
                    case DONE -> HttpMessage.response(200, (enter ? "held out: " : "back: ") + id + '\n');
                    case UNKNOWN -> HttpMessage.response(404, "no endpoint has the id " + id + '\n');
                    case NOT_NOW -> HttpMessage.response(503, "the relay is not serving yet\n");
                };
            default:
                return HttpMessage.response(404, "expected /status, /maintenance/enter or /maintenance/exit\n");
        }
    }

    /** The id in a body {@code {"target":"ID"}}; an {@link IllegalArgumentException} says what is wrong. */
    static String parseTarget(byte[] body) {
        JsonValue json;
        try {
            json = Json.parse(new String(body, StandardCharsets.UTF_8));
        } catch (ParseException | UnsupportedOperationException e) {
            throw new IllegalArgumentException("expected a JSON object {\"target\":\"ID\"}");
        }
        JsonValue target = json.isObject() ? json.asObject().get("target") : null;
        if (target == null
                || !target.isString()
                || target.asString().isBlank()
                || target.asString().length() > 200) {
            throw new IllegalArgumentException("expected a JSON object {\"target\":\"ID\"} with a short id");
        }
        return target.asString();
    }
}
