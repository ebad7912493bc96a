package juniperusher.http;

import com.eclipsesource.json.JsonArray;
import com.eclipsesource.json.JsonObject;
import com.eclipsesource.json.JsonValue;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicReference;
import juniperusher.Protocol.LoadReport;
import juniperusher.Protocol.Target;
import juniperusher.core.CallEnd;
import juniperusher.core.CallResult;
import juniperusher.core.RpcRequest;
import juniperusher.core.Subchannels;
import juniperusher.net.HttpMessage;
import juniperusher.net.HttpPool;
import juniperusher.net.Network;
import juniperusher.net.PeerJson;

/**
 * Calls endpoints over HTTP/1.1: POST /receive for one message, POST /receive-many for several, GET /alive for a probe.
 * Thread-safe.
 */
final class HttpSubchannels implements Subchannels {
    private static final int MAX_BODY_BYTES = 64 * 1024; // of any request, in the protocol
    private static final int MAX_ENCODED_CHAR_BYTES = 6; // of a character that JSON escapes
    private static final int ENTRY_OVERHEAD_BYTES = 40; // of an entry's field names and punctuation
    private static final long PROBE_TIMEOUT_MILLIS = 1_500; // without an answer by then the endpoint is down

    private final HttpPool pool;
    private final Network network;
    private final Resolver resolver;
    private final Config config;
    private final Map<Integer, Set<HttpPool.Exchange>> exchangesInFlight = new ConcurrentHashMap<>(); // by destination

    HttpSubchannels(Config config, HttpPool pool, Network network, Resolver resolver) {
        this.config = config;
        this.pool = pool;
        this.network = network;
        this.resolver = resolver;
    }

    @Override
    public Call call(
            Target subchannel,
            List<RpcRequest> rpcs,
            double timeout,
            StartPermission permission,
            ResultListener resultListener) {
        HttpMessage request = rpcs.size() == 1 ? singleRequest(rpcs.get(0), timeout) : batchRequest(rpcs, timeout);
        Set<HttpPool.Exchange> sameDestination =
                exchangesInFlight.computeIfAbsent(subchannel.destination(), key -> ConcurrentHashMap.newKeySet());
        AtomicBoolean finished = new AtomicBoolean();
        AtomicReference<HttpPool.Exchange> self = new AtomicReference<>();
        InetSocketAddress address = resolver.address(subchannel.id());
        HttpPool.Exchange exchange = pool.exchange(
                address,
                subchannel.id(),
                request,
                () -> {
                    // On a busy CPU a refusal by this destination may have arrived that is not read yet. Its
                    // retry-after delay has to count before another call starts.
                    sameDestination.forEach(HttpPool.Exchange::poll);
                    return permission.mayStart();
                },
                new HttpPool.Listener() {
                    private void removeFromInFlight() {
                        finished.set(true);
                        if (self.get() != null) {
                            sameDestination.remove(self.get());
                        }
                    }

                    @Override
                    public boolean mayHedgeConnect() {
                        return true;
                    }

                    @Override
                    public void answered(HttpMessage response) {
                        reportResults(response, callEnds(response, rpcs));
                    }

                    @Override
                    public void answeredInDoubt(HttpMessage response) {
                        reportResults(
                                response,
                                callEnds(response, rpcs).stream()
                                        .map(CallEnd::withoutProof)
                                        .toList());
                    }

                    private void reportResults(HttpMessage response, List<CallEnd> ends) {
                        removeFromInFlight();
                        double retryAfterSeconds = response.retryAfterSeconds();
                        LoadReport report = loadReport(response);
                        for (int i = 0; i < rpcs.size(); i++) {
                            resultListener.ended(i, new CallResult(ends.get(i), retryAfterSeconds, report));
                        }
                    }

                    @Override
                    public void ended(CallEnd reason, int statusLineCode) {
                        removeFromInFlight();
                        CallEnd end = reason.adjustedForStatusLine(statusLineCode, rpcs.size());
                        for (int i = 0; i < rpcs.size(); i++) {
                            resultListener.ended(i, CallResult.of(end));
                        }
                    }
                });
        self.set(exchange);
        sameDestination.add(exchange);
        if (finished.get()) {
            sameDestination.remove(exchange);
        }
        return exchange::abandon;
    }

    private static HttpMessage singleRequest(RpcRequest rpc, double timeout) {
        String budget = Math.max(1, Math.round(timeout * 1000)) + "m";
        return rpc.idempotencyKey().isEmpty()
                ? HttpMessage.request(
                        "POST", "/receive", rpc.body(), "Host", "endpoint", "X-Call-Id", rpc.id(), "X-Budget", budget)
                : HttpMessage.request(
                        "POST",
                        "/receive",
                        rpc.body(),
                        "Host",
                        "endpoint",
                        "X-Call-Id",
                        rpc.id(),
                        "X-Budget",
                        budget,
                        PlatformFront.IDEMPOTENCY_KEY_HEADER,
                        rpc.idempotencyKey());
    }

    /** A single message travels as it is; several have to fit, encoded, into the longest body of the protocol. */
    @Override
    public boolean mayShareCall(Target subchannel, List<RpcRequest> rpcs) {
        return rpcs.size() == 1
                || rpcs.stream().mapToLong(HttpSubchannels::maxEntryBytes).sum() <= MAX_BODY_BYTES;
    }

    /** Upper bound of the bytes that the message takes in a call that it shares. */
    private static long maxEntryBytes(RpcRequest rpc) {
        long base64Bytes = (rpc.body().length + 2) / 3 * 4L;
        int textChars = rpc.id().length() + rpc.idempotencyKey().length();
        return base64Bytes + (long) MAX_ENCODED_CHAR_BYTES * textChars + ENTRY_OVERHEAD_BYTES;
    }

    private static HttpMessage batchRequest(List<RpcRequest> rpcs, double timeout) {
        JsonArray array = new JsonArray();
        for (RpcRequest rpc : rpcs) {
            JsonObject entry = new JsonObject().add("id", rpc.id());
            if (!rpc.idempotencyKey().isEmpty()) {
                entry.add("key", rpc.idempotencyKey());
            }
            array.add(entry.add("body", Base64.getEncoder().encodeToString(rpc.body())));
        }
        return HttpMessage.request(
                "POST",
                "/receive-many",
                array.toString().getBytes(StandardCharsets.UTF_8),
                "Host",
                "endpoint",
                "Content-Type",
                "application/json",
                "X-Budget",
                Math.max(1, Math.round(timeout * 1000)) + "m");
    }

    // ---- responses ----

    /**
     * Maps a response to the result of each RPC, in order. A response to several lists results by id; an RPC without a
     * readable result counts as failed, so it may have run.
     */
    private static List<CallEnd> callEnds(HttpMessage response, List<RpcRequest> rpcs) {
        if (response.status() != 200 || rpcs.size() == 1) {
            CallEnd end =
                    switch (response.status()) {
                        case 200 -> CallEnd.DELIVERED;
                        case 429 -> CallEnd.TURNED_AWAY;
                        case 503 -> response.header("X-No-Slot") != null ? CallEnd.NO_SLOT : CallEnd.TURNED_AWAY;
                        case 504 -> CallEnd.SPENT;
                        case 410 -> CallEnd.OVER;
                        default -> CallEnd.FAILED;
                    };
            return rpcs.stream().map(rpc -> end).toList();
        }
        Map<String, CallEnd> byId = new HashMap<>();
        try {
            for (JsonValue value : PeerJson.parse(response.bodyText()).asArray()) {
                JsonObject entry = value.asObject();
                byId.put(
                        entry.getString("id", ""),
                        switch (entry.getString("state", "")) {
                            case "delivered" -> CallEnd.DELIVERED;
                            case "refused" -> CallEnd.TURNED_AWAY;
                            case "over" -> CallEnd.OVER;
                            case "spent" -> CallEnd.SPENT;
                            default -> CallEnd.FAILED;
                        });
            }
        } catch (IllegalArgumentException | UnsupportedOperationException e) {
            byId.clear(); // none of the results can be trusted, so each message may have run
        }
        return rpcs.stream()
                .map(rpc -> byId.getOrDefault(rpc.id(), CallEnd.FAILED))
                .toList();
    }

    /**
     * Parses the header X-Load-Report, such as x0=0.5,x1=100: x1 is the limit in calls per second, and x0 the share of
     * it that is free. Null if it is missing or malformed, or if the settings define no limit.
     */
    private LoadReport loadReport(HttpMessage response) {
        String text = response.header("X-Load-Report");
        if (text == null || config.parsedSettings().limitField() < 0) {
            return null;
        }
        double limit = 0;
        double remaining = 0;
        for (String part : text.split(",")) {
            int equalsSign = part.indexOf('=');
            double value = equalsSign < 0 ? Double.NaN : HttpMessage.parseNumber(part.substring(equalsSign + 1));
            if (!(value >= 0)) {
                return null; // a malformed report is ignored; the response itself counts
            }
            limit = part.substring(0, equalsSign).strip().equals("x1") ? value : limit;
            remaining = part.substring(0, equalsSign).strip().equals("x0") ? value : remaining;
        }
        return new LoadReport(limit, remaining);
    }

    // ---- probes and idle connections ----

    @Override
    public void probe(Target subchannel, ProbeListener probeListener) {
        long startNanos = System.nanoTime();
        InetSocketAddress address = resolver.address(subchannel.id());
        HttpMessage request = HttpMessage.request("GET", "/alive", new byte[0], "Host", "endpoint");
        HttpPool.Exchange exchange =
                pool.exchange(address, subchannel.id(), request, () -> true, new HttpPool.Listener() {
                    @Override
                    public void answered(HttpMessage response) {
                        probeListener.probed(
                                response.status() == 200,
                                response.status() == 503,
                                (System.nanoTime() - startNanos) / 1e9);
                    }

                    @Override
                    public void ended(CallEnd reason, int statusLineCode) {
                        probeListener.probed(
                                statusLineCode == 200, statusLineCode == 503, (System.nanoTime() - startNanos) / 1e9);
                    }
                });
        network.scheduler()
                .schedule(() -> exchange.abandon(CallEnd.TIMED_OUT), PROBE_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    }

    @Override
    public void closeIdle(Target subchannel) {
        pool.closeIdle(resolver.address(subchannel.id()), subchannel.id());
    }
}
