package juniperusher.mgmt;

import com.eclipsesource.json.JsonValue;
import java.io.Closeable;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReference;
import juniperusher.net.HttpMessage;
import juniperusher.net.HttpServerConnection;
import juniperusher.net.InboundConnections;
import juniperusher.net.Network;
import juniperusher.net.PeerJson;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The HTTP listener for operators. Each connection carries one call and closes after the response. Calls:
 *
 * <ul>
 * <li>{@code GET /status}: 200 while this process serves clients, otherwise 503;</li>
 * <li>{@code POST /maintenance/enter} with {@code {"target":"ID"}}: 200 once no new calls go to endpoint ID,
 * 404 for an id that discovery has never listed, 503 while the relay starts;</li>
 * <li>{@code POST /maintenance/exit}, with the same body and errors: 200 once the endpoint may receive calls
 * again.</li>
 * </ul>
 * An invalid body gets 400, another method 405, another path 404. A connection is closed if its call has not arrived
 * within 2.5 s or if no data arrives for 2 s, so that callers which hold connections open do not delay others.
 */
public final class OperatorListener implements HttpServerConnection.Handler, AutoCloseable {
    private static final Logger LOG = LoggerFactory.getLogger(OperatorListener.class);
    private static final int MAX_BODY_BYTES = 4 * 1024; // ids of endpoints are short
    private static final int MAX_CONNECTIONS = 64; // beyond that, the longest waiting ones are shed

    private final AtomicReference<ManagedRelay> currentRelay = new AtomicReference<>(ManagedRelay.STARTING);
    private final AtomicLong shedCount = new AtomicLong();
    private Closeable listener;

    private OperatorListener() {}

    /**
     * Listens on {@code address}. Calls act on {@link ManagedRelay#STARTING} until {@link #setRelay} is called.
     *
     * @throws IOException if the address cannot be bound
     */
    public static OperatorListener listen(Network network, InetSocketAddress address) throws IOException {
        OperatorListener operatorListener = new OperatorListener();
        InboundConnections ownBound =
                InboundConnections.oldestFirst(MAX_CONNECTIONS, operatorListener.shedCount::incrementAndGet);
        operatorListener.listener = network.listen(
                address,
                endPoint -> new HttpServerConnection(endPoint, network, ownBound, MAX_BODY_BYTES, operatorListener),
                false);
        LOG.atInfo().addKeyValue("address", address).log("listening for operator calls");
        return operatorListener;
    }

    @Override
    public void close() throws IOException {
        if (listener != null) {
            listener.close();
        }
    }

    /** Makes calls act on {@code relay} from now on. */
    public void setRelay(ManagedRelay relay) {
        currentRelay.set(relay);
    }

    /** The number of connections shed because of the bound, since the start. */
    public long shed() {
        return shedCount.get();
    }

    @Override
    public boolean closesConnections() {
        return true; // one call per connection
    }

    @Override
    public void handle(HttpMessage request, HttpServerConnection.Responder responder) {
        responder.respond(answer(request));
    }

    /** Executes one call and returns the response. */
    HttpMessage answer(HttpMessage request) {
        String path = request.path();
        int query = path.indexOf('?');
        path = query < 0 ? path : path.substring(0, query);
        ManagedRelay relay = currentRelay.get();
        switch (path) {
            case "/status":
                if (!request.method().equals("GET")) {
                    return HttpMessage.response(405, "expected GET\n", "Allow", "GET");
                }
                return relay.isServing()
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
                ManagedRelay.MaintenanceResult result = enter ? relay.enterMaintenance(id) : relay.exitMaintenance(id);
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

    /**
     * Returns the id in a body {@code {"target":"ID"}}.
     *
     * @throws IllegalArgumentException if the body is invalid; the message is sent to the caller
     */
    static String parseTarget(byte[] body) {
        JsonValue json;
        try {
            json = PeerJson.parse(new String(body, StandardCharsets.UTF_8));
        } catch (IllegalArgumentException e) {
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
