package juniperusher.http;

import java.io.Closeable;
import java.io.IOException;
import java.nio.channels.ServerSocketChannel;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
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
import org.eclipse.jetty.util.MultiMap;
import org.eclipse.jetty.util.UrlEncoded;

/**
 * The platform's front: channels hand RPCs in over HTTP/1.1, ends that are not deliveries go out as notices.
 */
final class PlatformFront implements Front, HttpServerConnection.Handler {
    /** By which an endpoint knows repeats, see draft-ietf-httpapi-idempotency-key. */
    static final String IDEMPOTENCY_KEY = "Idempotency-Key";
    /** The query parameter that holds the key of a message's order. */
    private static final String ORDER_KEY = "subject";

    private static final String TENANT = "X-Caller";
    private static final Pattern PATH = Pattern.compile("(?:https?://[^/]*)?/([^/?]*)");
    private static final Pattern PARTS = Pattern.compile("[,;]");
    private static final Pattern NUMBER = Pattern.compile("\\d{1,9}");
    private static final Pattern BUDGET = Pattern.compile("\\d{1,12}(\\.\\d{1,6})?[mu]");
    private static final long UNREAD = 100; // ms for which a request may have waited to be read
    private static final int MOST_BODY = 64 * 1024;

    private final Config first; // what may not change while the relay runs: the listening address
    private final java.util.function.Supplier<Config> config; // the classes in force
    private final StatusReporter notices;
    private final Counters counters;
    private final Relay relay;
    private volatile boolean closing;

    PlatformFront(java.util.function.Supplier<Config> config, StatusReporter notices, Counters counters, Relay relay) {
        this.config = config;
        first = config.get();
        this.notices = notices;
        this.counters = counters;
        this.relay = relay;
    }

    Closeable listen(Network network, ServerSocketChannel inherited) throws IOException {
        if (inherited != null) {
            return network.listen(inherited, endPoint -> new HttpServerConnection(endPoint, network, MOST_BODY, this));
        }
        return network.listen(first.listen(), endPoint -> new HttpServerConnection(endPoint, network, MOST_BODY, this));
    }

    void close() {
        closing = true;
    }

    @Override
    public String name() {
        return "http";
    }

    @Override
    public boolean tells(RpcEnd end) {
        return end.kind() != RpcEnd.Kind.DELIVERED;
    }

    @Override
    public void report(RpcEnd end, boolean again, Runnable acknowledged) {
        notices.add(end, acknowledged);
    }

    @Override
    public boolean closing() {
        return closing;
    }

    @Override
    public void refused(int status) {
        counters.add("unreadable_total", "status", Integer.toString(status));
    }

    @Override
    public void handle(HttpMessage request, Responder responder) {
        if (request.method().equals("GET") && request.path().equals("/up")) {
            responder.respond(HttpMessage.response(200, ""));
        } else if (request.method().equals("GET") && request.path().equals("/metrics")) {
            responder.respond(HttpMessage.response(200, counters.text(), "Content-Type", "text/plain; version=0.0.4"));
        } else if (request.method().equals("POST")) {
            take(request, responder);
        } else {
            responder.respond(HttpMessage.response(404, ""));
        }
    }

    private void take(HttpMessage request, Responder responder) {
        RpcRequest rpc;
        try {
            rpc = read(request);
        } catch (IllegalArgumentException e) {
            refused(400);
            responder.respond(HttpMessage.response(400, e.getMessage() + '\n'));
            return;
        }
        if (!relay.knows(rpc.destination())) {
            counters.add("refused_total", "front", name(), "why", "destination");
            responder.respond(HttpMessage.response(503, "X-Envelope names no destination known here\n"));
            return;
        }
        relay.offer(rpc, new Channel() {
            @Override
            public void takenOn() {
                responder.respond(HttpMessage.response(202, ""));
            }

            @Override
            public void refused(UnavailableStatus status) {
                responder.respond(
                        status.retryAfter() > 0
                                ? HttpMessage.response(503, "", "Retry-After", Double.toString(status.retryAfter()))
                                : HttpMessage.response(503, ""));
            }
        });
    }

    private RpcRequest read(HttpMessage request) {
        String id = request.get("X-Call-Id");
        if (id == null || id.isEmpty() || id.length() > 200) {
            throw new IllegalArgumentException("X-Call-Id is missing or too long");
        }
        String messageClass = String.valueOf(request.get("X-Call-Class"));
        Config now = config.get();
        int place = now.classes().indexOf(messageClass);
        if (place < 0) {
            throw new IllegalArgumentException("X-Call-Class is unknown");
        }
        Matcher path = PATH.matcher(request.path());
        if (!path.lookingAt() || !path.group(1).equals(messageClass)) {
            throw new IllegalArgumentException("the path does not begin with the class");
        }
        double most = now.settings().settings().classes().get(place).deadline() * 1000;
        long budget = Math.min(budget(request.get("X-Budget")), (long) most);
        // Guards the end of the RPC's time, which counts from the client's sending: it may have waited here.
        budget -= Math.min(UNREAD, budget / 10);
        return new RpcRequest(
                id,
                name(),
                place,
                destination(request.get("X-Envelope")),
                SteadyClock.millis() + budget,
                "",
                false,
                request.body(),
                request.get("X-Again") != null,
                text(request, IDEMPOTENCY_KEY),
                orderKey(request.path()),
                text(request, TENANT));
    }

    private static String text(HttpMessage request, String field) {
        String value = request.get(field);
        return value == null ? "" : value;
    }

    /** The key of the message's order, by the path's query; empty for none. */
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
        String key = parameters.getValue(ORDER_KEY);
        return key == null ? "" : key;
    }

    private static int destination(String envelope) {
        for (String part : envelope == null ? new String[0] : PARTS.split(envelope)) {
            if (part.strip().startsWith("dest=")) {
                String number = part.strip().substring("dest=".length());
                if (NUMBER.matcher(number).matches()) {
                    return Integer.parseInt(number);
                }
            }
        }
        throw new IllegalArgumentException("X-Envelope names no destination");
    }

    /** Milliseconds of a budget such as 480m or 480000u. */
    static long budget(String text) {
        if (text == null || !BUDGET.matcher(text).matches()) {
            throw new IllegalArgumentException("X-Budget is missing or unreadable");
        }
        double number = Double.parseDouble(text.substring(0, text.length() - 1));
        return (long) (text.endsWith("m") ? number : number / 1000);
    }
}
