package juniperusher.http;

import java.io.Closeable;
import java.io.IOException;
import java.nio.channels.ServerSocketChannel;
import java.util.Locale;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import juniperusher.Protocol.Effect;
import juniperusher.Protocol.MessageClass;
import juniperusher.clock.SteadyClock;
import juniperusher.core.Channel;
import juniperusher.core.Counters;
import juniperusher.core.Front;
import juniperusher.core.Relay;
import juniperusher.core.RpcEnd;
import juniperusher.core.RpcRequest;
import juniperusher.core.UnavailableStatus;
import juniperusher.net.HttpMessage;
import juniperusher.net.HttpServerConnection;
import juniperusher.net.HttpServerConnection.Responder;
import juniperusher.net.Network;
import juniperusher.net.Refusal;
import org.eclipse.jetty.util.MultiMap;
import org.eclipse.jetty.util.UrlEncoded;

/**
 * The HTTP front: clients submit RPCs as POST requests over HTTP/1.1, and RPCs that end undelivered are reported to
 * the platform by {@link StatusReporter}. It also serves GET /up and GET /metrics.
 */
final class PlatformFront implements Front, HttpServerConnection.Handler {
    /** The header by which an endpoint recognizes repeats, see draft-ietf-httpapi-idempotency-key. */
    static final String IDEMPOTENCY_KEY_HEADER = "Idempotency-Key";
    /** The query parameter with the order key: messages of one key are delivered one at a time, in order. */
    private static final String ORDER_KEY_PARAMETER = "subject";

    private static final String TENANT_HEADER = "X-Caller";
    private static final Pattern FIRST_PATH_SEGMENT = Pattern.compile("(?:https?://[^/]*)?/([^/?]*)");
    private static final Pattern ENVELOPE_SEPARATOR = Pattern.compile("[,;]");
    private static final Pattern NUMBER = Pattern.compile("\\d{1,9}");
    private static final Pattern BUDGET = Pattern.compile("\\d{1,12}(\\.\\d{1,6})?[mu]");
    private static final long MAX_UNREAD_MILLIS = 100; // how long a request may have waited in the socket unread
    private static final int MAX_BODY_BYTES = 64 * 1024;

    private final Config initialConfig; // for the listening address, which a reload does not change
    private final java.util.function.Supplier<Config> config; // the current one, for the classes and their limits
    private final StatusReporter statusReporter;
    private final Counters counters;
    private final Relay relay;
    private volatile boolean closing;

    PlatformFront(
            java.util.function.Supplier<Config> config, StatusReporter statusReporter, Counters counters, Relay relay) {
        this.config = config;
        initialConfig = config.get();
        this.statusReporter = statusReporter;
        this.counters = counters;
        this.relay = relay;
    }

    /**
     * Accepts connections on {@code inherited}, or on the configured address if that is null.
     *
     * @return stops accepting when closed
     */
    Closeable listen(Network network, ServerSocketChannel inherited) throws IOException {
        if (inherited != null) {
            return network.listen(
                    inherited, endPoint -> new HttpServerConnection(endPoint, network, MAX_BODY_BYTES, this));
        }
        return network.listen(
                initialConfig.listen(), endPoint -> new HttpServerConnection(endPoint, network, MAX_BODY_BYTES, this));
    }

    /** Makes each connection end after its next answer; new requests are still accepted until then. */
    void close() {
        closing = true;
    }

    @Override
    public String name() {
        return "http";
    }

    @Override
    public boolean reportsEnd(RpcEnd end) {
        return end.kind() != RpcEnd.Kind.DELIVERED;
    }

    @Override
    public boolean reportsEndAgain() {
        return true;
    }

    @Override
    public void report(RpcEnd end, boolean maybeRepeated, Runnable acknowledged) {
        statusReporter.add(end, acknowledged);
    }

    @Override
    public boolean closesConnections() {
        return closing;
    }

    @Override
    public void requestRefused(Refusal refusal) {
        counters.add("unreadable_total", "status", Integer.toString(refusal.status()));
        counters.add("unread_total", "reason", refusal.reason().name().toLowerCase(Locale.ROOT));
    }

    @Override
    public void handle(HttpMessage request, Responder responder) {
        if (request.method().equals("GET") && request.path().equals("/up")) {
            responder.respond(HttpMessage.response(200, ""));
        } else if (request.method().equals("GET") && request.path().equals("/metrics")) {
            responder.respond(HttpMessage.response(200, counters.text(), "Content-Type", "text/plain; version=0.0.4"));
        } else if (request.method().equals("POST")) {
            accept(request, responder);
        } else {
            responder.respond(HttpMessage.response(404, ""));
        }
    }

    private void accept(HttpMessage request, Responder responder) {
        RpcRequest rpc;
        try {
            rpc = parseRpc(request);
        } catch (IllegalArgumentException e) {
            counters.add("unreadable_total", "status", "400");
            responder.respond(HttpMessage.response(400, e.getMessage() + '\n'));
            return;
        }
        if (!relay.knowsDestination(rpc.destination())) {
            counters.add("refused_total", "front", name(), "why", "destination");
            responder.respond(HttpMessage.response(503, "X-Envelope names no destination known here\n"));
            return;
        }
        relay.submit(rpc, new Channel() {
            @Override
            public boolean accepted() {
                return responder.respond(HttpMessage.response(202, ""));
            }

            @Override
            public void refused(UnavailableStatus status) {
                responder.respond(
                        status.retryAfterSeconds() > 0
                                ? HttpMessage.response(
                                        503, "", "Retry-After", Double.toString(status.retryAfterSeconds()))
                                : HttpMessage.response(503, ""));
            }
        });
    }

    private RpcRequest parseRpc(HttpMessage request) {
        String id = request.header("X-Call-Id");
        if (id == null || id.isEmpty() || id.length() > 200) {
            throw new IllegalArgumentException("X-Call-Id is missing or too long");
        }
        String messageClass = String.valueOf(request.header("X-Call-Class"));
        Config current = config.get();
        int classIndex = current.classNames().indexOf(messageClass);
        if (classIndex < 0) {
            throw new IllegalArgumentException("X-Call-Class is unknown");
        }
        Matcher path = FIRST_PATH_SEGMENT.matcher(request.path());
        if (!path.lookingAt() || !path.group(1).equals(messageClass)) {
            throw new IllegalArgumentException("the path does not begin with the class");
        }
        MessageClass limits = current.parsedSettings().settings().classes().get(classIndex);
        double maxMillis = limits.deadline() * 1000;
        long budgetMillis = Math.min(budgetMillis(request.header("X-Budget")), (long) maxMillis);
        // The budget counts from when the client sent the request, which may have waited here unread. Subtracting the
        // longest such wait, but at most a tenth of the budget, keeps the deadline from being too late.
        budgetMillis -= Math.min(MAX_UNREAD_MILLIS, budgetMillis / 10);
        return new RpcRequest(
                id,
                name(),
                classIndex,
                destination(request.header("X-Envelope")),
                SteadyClock.millis() + budgetMillis,
                "",
                limits.effect() != Effect.SAFE,
                request.body(),
                request.header("X-Again") != null,
                header(request, IDEMPOTENCY_KEY_HEADER),
                orderKey(request.path()),
                header(request, TENANT_HEADER));
    }

    private static String header(HttpMessage request, String field) {
        String value = request.header(field);
        return value == null ? "" : value;
    }

    /** The order key in the query of {@code path}, or an empty string if there is none. */
    private static String orderKey(String path) {
        int query = path.indexOf('?');
        if (query < 0) {
            return "";
        }
        MultiMap<String> parameters = new MultiMap<>();
        try {
            UrlEncoded.decodeUtf8To(path.substring(query + 1), parameters);
        } catch (RuntimeException e) {
            throw new IllegalArgumentException("the path's query cannot be read", e);
        }
        String key = parameters.getValue(ORDER_KEY_PARAMETER);
        return key == null ? "" : key;
    }

    private static int destination(String envelope) {
        for (String part : envelope == null ? new String[0] : ENVELOPE_SEPARATOR.split(envelope)) {
            if (part.strip().startsWith("dest=")) {
                String value = part.strip().substring("dest=".length());
                if (NUMBER.matcher(value).matches()) {
                    return Integer.parseInt(value);
                }
            }
        }
        throw new IllegalArgumentException("X-Envelope names no destination");
    }

    /** Parses a budget in milliseconds or microseconds, such as 480m or 480000u, into milliseconds. */
    static long budgetMillis(String text) {
        if (text == null || !BUDGET.matcher(text).matches()) {
            throw new IllegalArgumentException("X-Budget is missing or unreadable");
        }
        double number = Double.parseDouble(text.substring(0, text.length() - 1));
        return (long) (text.endsWith("m") ? number : number / 1000);
    }
}
