package juniperusher.lab.sockets;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import juniperusher.core.CallEnd;
import juniperusher.net.HttpMessage;
import juniperusher.net.HttpPool;
import juniperusher.net.Network;
import juniperusher.net.UnexpectedInputListener;

/** Hands messages in to relays as their clients do: an answer within 400 ms, or the connection is closed. */
final class Client {
    private static final long PATIENCE = 400; // ms
    private static final double IDLE_TIMEOUT_SECONDS = 1.5; // below a relay's idle time of 2 s

    private final Network network;
    private final HttpPool pool;

    /** How a handing-in ended. */
    interface Answered {
        /** 202 or 200: taken on. */
        void taken();

        /** 429 or 503: refused, with s to wait, 0 if none is told. */
        void refused(double after);

        /** No answer, or one that means neither. */
        void failed(String why);
    }

    Client(Network network, int connections) {
        this.network = network;
        pool = new HttpPool(
                network, HttpPool.Reuse.TRUSTED_PEER, IDLE_TIMEOUT_SECONDS, connections, UnexpectedInputListener.NONE);
    }

    /**
     * A message as a client hands it in.
     *
     * @param subject the key of its order, or null
     * @param caller  the name of its tenant, or null
     * @param budget  s in which it may be delivered
     * @param again   whether it is marked as handed in again
     */
    record Message(
            String id,
            String messageClass,
            String subject,
            String caller,
            int destination,
            double budget,
            boolean again,
            byte[] body) {
        private String path() {
            return "/" + messageClass + (subject == null ? "" : "?subject=" + subject);
        }

        private String[] fields() {
            List<String> fields = new ArrayList<>(List.of(
                    "Host",
                    "relay",
                    "X-Call-Id",
                    id,
                    "X-Call-Class",
                    messageClass,
                    "X-Budget",
                    Math.max(1, Math.round(budget * 1000)) + "m",
                    "X-Envelope",
                    "dest=" + destination));
            if (caller != null) {
                fields.addAll(List.of("X-Caller", caller));
            }
            if (again) {
                fields.addAll(List.of("X-Again", "1"));
            }
            return fields.toArray(new String[0]);
        }
    }

    /** Hands a message in; the listener is called once, by any thread. */
    void handIn(InetSocketAddress relay, Message message, Answered listener) {
        HttpPool.Exchange exchange = pool.exchange(
                relay,
                HttpMessage.request("POST", message.path(), message.body(), message.fields()),
                () -> true,
                new HttpPool.Listener() {
                    @Override
                    public void answered(HttpMessage response) {
                        switch (response.status()) {
                            case 200, 202 -> listener.taken();
                            case 429, 503 ->
                                listener.refused(
                                        response.header("Retry-After") == null
                                                ? 0
                                                : Double.parseDouble(response.header("Retry-After")));
                            default -> listener.failed("answer " + response.status());
                        }
                    }

                    @Override
                    public void ended(CallEnd end, int statusLineCode) {
                        listener.failed(end.toString());
                    }
                });
        network.scheduler().schedule(() -> exchange.abandon(CallEnd.TIMED_OUT), PATIENCE, TimeUnit.MILLISECONDS);
    }

    /** Asks for a relay's counters. */
    void metrics(InetSocketAddress relay, java.util.function.Consumer<String> told) {
        HttpPool.Exchange exchange = pool.exchange(
                relay,
                HttpMessage.request("GET", "/metrics", new byte[0], "Host", "relay"),
                () -> true,
                new HttpPool.Listener() {
                    @Override
                    public void answered(HttpMessage response) {
                        told.accept(response.bodyText());
                    }

                    @Override
                    public void ended(CallEnd end, int statusLineCode) {
                        told.accept(""); // it is down
                    }
                });
        network.scheduler().schedule(() -> exchange.abandon(CallEnd.TIMED_OUT), PATIENCE, TimeUnit.MILLISECONDS);
    }
}
