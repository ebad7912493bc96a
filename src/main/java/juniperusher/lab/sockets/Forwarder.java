package juniperusher.lab.sockets;

import java.net.InetSocketAddress;
import juniperusher.core.CallEnd;
import juniperusher.net.HttpMessage;
import juniperusher.net.HttpPool;
import juniperusher.net.HttpServerConnection;
import juniperusher.net.Network;
import juniperusher.net.UnexpectedInputListener;

/**
 * A bare forwarder of the parts that a relay's HTTP/1.1 is made of, and of nothing else: no decisions, no
 * journal, no
 * second try. What a relay costs beyond it is the price of what a relay is for.
 */
public final class Forwarder implements HttpServerConnection.Handler {
    private static final int MOST_BODY = 64 * 1024;

    private final HttpPool pool;
    private final InetSocketAddress endpoint;

    private Forwarder(HttpPool pool, InetSocketAddress endpoint) {
        this.pool = pool;
        this.endpoint = endpoint;
    }

    /** Forwards from the first address to the second until the process is ended. */
    public static void main(String[] arguments) throws Exception {
        InetSocketAddress listen = Ports.address(arguments[0]);
        Network network = new Network(1);
        Forwarder forwarder = new Forwarder(
                new HttpPool(network, HttpPool.Reuse.TRUSTED_PEER, 5, 400, UnexpectedInputListener.NONE),
                Ports.address(arguments[1]));
        network.listen(listen, endPoint -> new HttpServerConnection(endPoint, network, MOST_BODY, forwarder));
        Thread.currentThread().join();
    }

    @Override
    public void handle(HttpMessage request, HttpServerConnection.Responder responder) {
        responder.respond(HttpMessage.response(request.method().equals("POST") ? 202 : 200, ""));
        if (request.method().equals("POST")) {
            pool.exchange(
                    endpoint,
                    HttpMessage.request(
                            "POST",
                            "/receive",
                            request.body(),
                            "Host",
                            "endpoint",
                            "X-Call-Id",
                            request.header("X-Call-Id"),
                            "X-Budget",
                            request.header("X-Budget")),
                    () -> true,
                    new HttpPool.Listener() {
                        @Override
                        public void answered(HttpMessage response) {
                            return; // nothing is owed here
                        }

                        @Override
                        public void ended(CallEnd end, int statusLineCode) {
                            return; // lost, as a bare forwarder loses it
                        }
                    });
        }
    }

    @Override
    public boolean closesConnections() {
        return false;
    }
}
