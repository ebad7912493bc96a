package juniperusher.net;

import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import juniperusher.core.CallEnd;
import org.eclipse.jetty.io.Connection;
import org.eclipse.jetty.io.EndPoint;

/**
 * HTTP/1.1 exchanges on connections that are kept and used again, the last used first. A connection is
 * closed before the other side's idle time is over, since a request written from then on would end as a
 * reset. Nothing is ever sent again here.
 */
public final class HttpPool {
    private final Network network;
    private final long idleNanos;
    private final Map<InetSocketAddress, Deque<HttpClientConnection>> idle = new HashMap<>();

    /** Keeps idle connections for {@code idleSeconds} at most. */
    public HttpPool(Network network, double idleSeconds) {
        this.network = network;
        idleNanos = (long) (idleSeconds * 1e9);
        sweep();
    }

    /** Hears how an exchange goes; exactly one of {@code answered} and {@code ended} comes. */
    public interface Listener {
        /** The whole answer is there. */
        void answered(HttpMessage response);

        /** The exchange ended without one. */
        void ended(CallEnd why);

        /** Content of an answer that is taken piece by piece; true if so. */
        default boolean streamed(int status, byte[] piece) {
            return false;
        }
    }

    /** Starts an exchange; {@code mayStart} is asked just before the first byte leaves. */
    public Exchange exchange(InetSocketAddress address, HttpMessage request, BooleanSupplier mayStart,
            Listener listener) {
        Exchange exchange = new Exchange(address, request.bytes(), mayStart, listener);
        HttpClientConnection kept = take(address);
        if (kept != null) {
            exchange.connected(kept);
        } else if (!mayStart.getAsBoolean()) {
            exchange.ended(CallEnd.HELD_BACK);
        } else {
            network.connect(address, exchange);
        }
        return exchange;
    }

    private HttpClientConnection take(InetSocketAddress address) {
        synchronized (idle) {
            Deque<HttpClientConnection> kept = idle.get(address);
            while (kept != null && !kept.isEmpty()) {
                HttpClientConnection connection = kept.pollFirst();
                if (connection.usable() && System.nanoTime() - connection.idleSince() < idleNanos) {
                    return connection;
                }
                connection.close();
            }
            return null;
        }
    }

    private void keep(InetSocketAddress address, HttpClientConnection connection) {
        connection.idleFrom(System.nanoTime());
        synchronized (idle) {
            if (connection.usable()) {
                idle.computeIfAbsent(address, key -> new ArrayDeque<>()).addFirst(connection);
            }
        }
    }

    void unused(Exchange exchange, HttpClientConnection connection) {
        keep(exchange.address, connection);
    }

    void gone(HttpClientConnection connection) {
        synchronized (idle) {
            idle.values().forEach(kept -> kept.remove(connection));
        }
    }

    /** Closes the idle connections to an address. */
    public void closeIdle(InetSocketAddress address) {
        Deque<HttpClientConnection> kept;
        synchronized (idle) {
            kept = idle.remove(address);
        }
        if (kept != null) {
            kept.forEach(HttpClientConnection::close);
        }
    }

    private void sweep() {
        Deque<HttpClientConnection> old = new ArrayDeque<>();
        synchronized (idle) {
            long now = System.nanoTime();
            idle.values().forEach(kept -> kept.removeIf(connection ->
                    now - connection.idleSince() >= idleNanos && old.add(connection)));
            idle.values().removeIf(Deque::isEmpty);
        }
        old.forEach(HttpClientConnection::close);
        network.scheduler().schedule(this::sweep, 200, TimeUnit.MILLISECONDS);
    }

    /** One exchange. */
    public final class Exchange implements Network.Dial {
        private final InetSocketAddress address;
        private final ByteBuffer request;
        private final BooleanSupplier mayStart;
        private final Listener listener;
        private HttpClientConnection connection;
        private boolean mayBeWhole;
        private boolean over;

        private Exchange(InetSocketAddress address, ByteBuffer request, BooleanSupplier mayStart,
                Listener listener) {
            this.address = address;
            this.request = request;
            this.mayStart = mayStart;
            this.listener = listener;
        }

        @Override
        public Connection connected(EndPoint endPoint) {
            return new HttpClientConnection(endPoint, network, HttpPool.this, this::connected);
        }

        private void connected(HttpClientConnection to) {
            if (!mayStart.getAsBoolean()) {
                keep(address, to);
                ended(CallEnd.HELD_BACK);
            } else {
                to.start(this, request);
            }
        }

        @Override
        public void failed(Throwable why) {
            ended(CallEnd.NOT_CONNECTED);
        }

        /** Guards against a call that leaves after it was reported as never sent: both are settled here. */
        synchronized boolean leaving(HttpClientConnection on) {
            connection = on;
            mayBeWhole = !over;
            return mayBeWhole;
        }

        synchronized void neverWhole() {
            mayBeWhole = false;
        }

        boolean streamed(int status, byte[] piece) {
            return listener.streamed(status, piece);
        }

        void answered(HttpMessage response, HttpClientConnection reusable) {
            if (reusable != null) {
                keep(address, reusable);
            }
            synchronized (this) {
                if (over) {
                    return;
                }
                over = true;
            }
            listener.answered(response);
        }

        void ended(CallEnd why) {
            boolean written;
            synchronized (this) {
                if (over) {
                    return;
                }
                over = true;
                written = mayBeWhole;
            }
            listener.ended(why.given(written));
        }

        /** Stops waiting: closes the connection if the request is on it, then reports the end. */
        public void abandon(CallEnd why) {
            HttpClientConnection out;
            synchronized (this) {
                out = over ? null : connection;
            }
            if (out != null) {
                out.close();
            }
            ended(why);
        }
    }
}
