package juniperusher.lab.sockets;

import com.eclipsesource.json.Json;
import com.eclipsesource.json.JsonArray;
import com.eclipsesource.json.JsonObject;
import com.eclipsesource.json.ParseException;
import java.io.Closeable;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import juniperusher.Protocol.Outcome;
import juniperusher.lab.DestinationModel;
import juniperusher.lab.Plan;
import juniperusher.net.HttpMessage;
import juniperusher.net.Network;

/**
 * The endpoints and the discovery that one relay sees: each at an address of its own, so that it is known
 * who calls.
 * The models behind them are those of all relays. All that is decided is decided on the lab's thread.
 */
final class Emulation implements AutoCloseable {
    /** s after which an endpoint closes an idle connection. */
    static final double KEEP_ALIVE = 10;

    private static final long FOREVER = 3_600_000; // ms
    private static final long HEARTBEAT = 2; // s between two lines of a watch that has nothing to say

    private final Plan plan;
    private final int relay;
    private final Network network;
    private final ScheduledExecutorService lab;
    private final List<DestinationModel> models;
    private final Watcher watcher;
    private final int[] connections; // by destination, of all relays
    private final List<Closeable> open = new ArrayList<>();
    private final List<InetSocketAddress> endpoints = new ArrayList<>();
    private final InetSocketAddress discovery;

    /** What the engine is told; all on the lab's thread. */
    interface Watcher {
        /** s since the run's start. */
        double now();

        /** A relay calls, or probes where {@code id} is null; whether the model is to be asked. */
        boolean begun(int relay, int destination, String id);

        /** A call was refused by the destination. */
        void refused(int relay, int destination, String id, double told);

        /** A relay has given a call up, or has died: no answer was written. */
        void abandoned(String id, boolean mayHaveRun);

        /** A call is over: delivered, or not, and then it may have run or has not. */
        void ended(int destination, String id, boolean delivered, boolean mayHaveRun);

        /** A notice of the relay: the message has ended undelivered, and may come again or not. */
        void notice(int relay, String id, boolean handedBack, double after);

        /** The answer to a message's notice is written. */
        void acknowledged(String id);
    }

    Emulation(
            Plan plan,
            int relay,
            Network network,
            ScheduledExecutorService lab,
            List<DestinationModel> models,
            int[] connections,
            Watcher watcher)
            throws IOException {
        this.plan = plan;
        this.relay = relay;
        this.network = network;
        this.lab = lab;
        this.models = models;
        this.connections = connections;
        this.watcher = watcher;
        for (int i = 0; i < plan.destinations().size(); i++) {
            Endpoint endpoint = new Endpoint(i);
            endpoints.add(listen((long) (KEEP_ALIVE * 1000), endpoint));
        }
        discovery = listen(FOREVER, new Discovery());
    }

    private InetSocketAddress listen(long idle, PeerConnection.Handler handler) throws IOException {
        InetSocketAddress address = Ports.unused();
        open.add(network.listen(address, endPoint -> new PeerConnection(endPoint, network.threads(), idle, handler)));
        return address;
    }

    InetSocketAddress discovery() {
        return discovery;
    }

    /** The list of endpoints as this relay gets it. */
    JsonObject list() {
        JsonArray servers = new JsonArray();
        for (int i = 0; i < endpoints.size(); i++) {
            servers.add(new JsonObject()
                    .add("id", "s-" + i)
                    .add("addr", Ports.text(endpoints.get(i)))
                    .add("zone", "here")
                    .add("kind", "member")
                    .add("cell", i)
                    .add("state", "up")
                    .add("weight", plan.destinations().get(i).rate())
                    .add("started_ms", 0));
        }
        return new JsonObject().add("version", 1).add("full", true).add("servers", servers);
    }

    @Override
    public void close() throws IOException {
        for (Closeable one : open) {
            one.close();
        }
    }

    // ---- an endpoint ----

    private final class Endpoint implements PeerConnection.Handler {
        private final int destination;
        private final Map<PeerConnection, Out> out = new HashMap<>();
        /** A call that has no answer yet. */
        private final class Out {
            final String id;
            ScheduledFuture<?> answer;
            DestinationModel.Answer brings;

            Out(String id) {
                this.id = id;
            }
        }

        Endpoint(int destination) {
            this.destination = destination;
        }

        @Override
        public void opened(PeerConnection connection) {
            lab.execute(() -> {
                // A full table of connections, whichever relay this one is from.
                if (++connections[destination]
                        > plan.destinations().get(destination).connections()) {
                    connection.close();
                }
            });
        }

        @Override
        public void asked(PeerConnection connection, HttpMessage request) {
            lab.execute(() -> call(connection, request));
        }

        private void call(PeerConnection connection, HttpMessage request) {
            boolean probe = request.method().equals("GET");
            if (probe && !request.path().equals("/alive")
                    || !probe && !request.path().equals("/receive")) {
                connection.answer(HttpMessage.response(404, ""));
                return;
            }
            String id = probe ? null : String.valueOf(request.header("X-Call-Id"));
            if (!watcher.begun(relay, destination, id)) {
                connection.answer(HttpMessage.response(200, "")); // delivered before: said once more
                return;
            }
            Out call = new Out(id);
            call.brings = models.get(destination).call(watcher.now());
            out.put(connection, call);
            if (Double.isFinite(call.brings.delay())) {
                call.answer = lab.schedule(
                        () -> answer(connection, call), (long) (call.brings.delay() * 1e6), TimeUnit.MICROSECONDS);
            }
        }

        private void answer(PeerConnection connection, Out call) {
            if (!out.remove(connection, call)) {
                return; // given up
            }
            Outcome outcome = call.brings.outcome();
            double told = call.brings.retryAfter();
            if (outcome == Outcome.FULL) {
                watcher.refused(relay, destination, call.id, told);
            }
            if (call.id != null) {
                watcher.ended(destination, call.id, outcome == Outcome.DELIVERED, !outcome.neverRan());
            }
            connection.answer(
                    switch (outcome) {
                        case DELIVERED -> HttpMessage.response(200, "");
                        case FULL ->
                            told > 0
                                    ? HttpMessage.response(429, "", "Retry-After", Double.toString(told))
                                    : HttpMessage.response(503, "");
                        default -> HttpMessage.response(500, "");
                    });
        }

        @Override
        public void gone(PeerConnection connection) {
            lab.execute(() -> {
                connections[destination]--;
                Out call = out.remove(connection);
                if (call != null) {
                    if (call.answer != null) {
                        call.answer.cancel(false);
                    }
                    if (call.id != null) {
                        watcher.abandoned(call.id, !call.brings.outcome().neverRan());
                    }
                }
            });
        }
    }

    // ---- discovery's agent ----

    private final class Discovery implements PeerConnection.Handler {
        private final Map<PeerConnection, ScheduledFuture<?>> watches = new HashMap<>();

        @Override
        public void asked(PeerConnection connection, HttpMessage request) {
            lab.execute(() -> {
                if (request.path().startsWith("/status")) {
                    List<String> ended = notices(request.bodyText());
                    connection.answer(HttpMessage.response(204, ""));
                    ended.forEach(watcher::acknowledged);
                } else if (request.path().contains("stream=1")) {
                    connection.stream("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
                    watches.put(
                            connection,
                            lab.scheduleWithFixedDelay(
                                    () -> connection.stream("1\r\n\n\r\n"), HEARTBEAT, HEARTBEAT, TimeUnit.SECONDS));
                } else if (request.path().startsWith("/discovery/hosts")) {
                    connection.answer(HttpMessage.response(200, list().toString()));
                } else {
                    connection.answer(HttpMessage.response(404, ""));
                }
            });
        }

        private List<String> notices(String lines) {
            List<String> ended = new ArrayList<>();
            for (String line : lines.split("\n")) {
                try {
                    JsonObject notice = Json.parse(line).asObject();
                    String id = notice.getString("message", "");
                    ended.add(id);
                    watcher.notice(
                            relay,
                            id,
                            notice.getString("outcome", "").equals("handed_back"),
                            notice.getDouble("retry_in_ms", 0) / 1000);
                } catch (ParseException | UnsupportedOperationException e) {
                    throw new IllegalStateException("a relay's notice cannot be read: " + line, e);
                }
            }
            return ended;
        }

        @Override
        public void gone(PeerConnection connection) {
            lab.execute(() -> {
                ScheduledFuture<?> watch = watches.remove(connection);
                if (watch != null) {
                    watch.cancel(false);
                }
            });
        }
    }
}
