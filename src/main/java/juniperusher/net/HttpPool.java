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
    private static final long MOST_ANSWER = 256 * 1024; // bytes; bodies hold 64 KiB at most, this allows more

    private final Network network;
    private final long idleNanos;
    private final int mostIdle;
    private final Map<Peer, Deque<HttpClientConnection>> idle = new HashMap<>();
    private int idleCount;

    /** Who a connection leads to: an address alone may pass from one endpoint to the next. */
    private record Peer(InetSocketAddress address, int owner) {}

    /** Keeps idle connections for {@code idleSeconds}, and {@code mostIdle} of them, at most. */
    public HttpPool(Network network, double idleSeconds, int mostIdle) {
        this.network = network;
        this.mostIdle = mostIdle;
        idleNanos = (long) (idleSeconds * 1e9);
        sweep();
    }

    /** Hears how an exchange goes; exactly one of {@code answered} and {@code ended} comes. */
    public interface Listener {
        /** The whole answer is there. */
        void answered(HttpMessage response);

        /**
         * The exchange ended without one; {@code firstLine} is the status that its first line still said, or
         * 0 if none came.
         */
        void ended(CallEnd why, int firstLine);

        /** The answer has begun; its first line has this status. */
        default void begun(int status) {}

        /** Bytes that an answer's content may have; a longer one is spoilt. */
        default long most() {
            return MOST_ANSWER;
        }

        /** Content of an answer that is taken piece by piece; true if so. */
        default boolean streamed(int status, byte[] piece) {
            return false;
        }
    }

    /** The same as below, where the address says who is there. */
    public Exchange exchange(
            InetSocketAddress address, HttpMessage request, BooleanSupplier mayStart, Listener listener) {
        return exchange(address, 0, request, mayStart, listener);
    }

    /**
     * Starts an exchange; {@code mayStart} is asked just before the first byte leaves. Only connections made
     * for the same {@code owner} of the address are used again.
     */
    public Exchange exchange(
            InetSocketAddress address, int owner, HttpMessage request, BooleanSupplier mayStart, Listener listener) {
        Exchange exchange = new Exchange(new Peer(address, owner), request.bytes(), mayStart, listener);
        HttpClientConnection kept = take(exchange.peer);
        while (kept != null && !kept.quiet()) {
            kept.retire();
            kept = take(exchange.peer);
        }
        if (kept != null) {
            exchange.connected(kept);
        } else if (!mayStart.getAsBoolean()) {
            exchange.ended(CallEnd.HELD_BACK);
        } else {
            network.connect(address, exchange);
        }
        return exchange;
    }

    private HttpClientConnection take(Peer peer) {
        synchronized (idle) {
            Deque<HttpClientConnection> kept = idle.get(peer);
            while (kept != null && !kept.isEmpty()) {
                HttpClientConnection connection = kept.pollFirst();
                idleCount--;
                if (connection.usable() && System.nanoTime() - connection.idleSince() < idleNanos) {
                    return connection;
                }
                connection.retire();
            }
            return null;
        }
    }

    private void keep(Peer peer, HttpClientConnection connection) {
        connection.idleFrom(System.nanoTime());
        HttpClientConnection out = null;
        synchronized (idle) {
            if (connection.usable()) {
                idle.computeIfAbsent(peer, key -> new ArrayDeque<>()).addFirst(connection);
                out = ++idleCount > mostIdle ? oldest() : null;
            }
        }
        if (out != null) {
            out.retire();
        }
    }

    /** Guards descriptors: takes out the connection that has been idle longest. */
    private HttpClientConnection oldest() {
        Deque<HttpClientConnection> in = null;
        for (Deque<HttpClientConnection> kept : idle.values()) {
            if (!kept.isEmpty()
                    && (in == null
                            || kept.peekLast().idleSince() - in.peekLast().idleSince() < 0)) {
                in = kept;
            }
        }
        idleCount--;
        return in.pollLast();
    }

    void unused(Exchange exchange, HttpClientConnection connection) {
        keep(exchange.peer, connection);
    }

    void gone(HttpClientConnection connection) {
        synchronized (idle) {
            idle.values().forEach(kept -> idleCount -= kept.remove(connection) ? 1 : 0);
        }
    }

    /** Closes the idle connections to the owner of an address. */
    public void closeIdle(InetSocketAddress address, int owner) {
        Deque<HttpClientConnection> kept;
        synchronized (idle) {
            kept = idle.remove(new Peer(address, owner));
            idleCount -= kept == null ? 0 : kept.size();
        }
        if (kept != null) {
            kept.forEach(HttpClientConnection::retire);
        }
    }

    private void sweep() {
        Deque<HttpClientConnection> old = new ArrayDeque<>();
        synchronized (idle) {
            long now = System.nanoTime();
            idle.values()
                    .forEach(kept -> kept.removeIf(
                            connection -> now - connection.idleSince() >= idleNanos && old.add(connection)));
            idleCount -= old.size();
            idle.values().removeIf(Deque::isEmpty);
        }
        old.forEach(HttpClientConnection::retire);
        network.scheduler().schedule(this::sweep, 200, TimeUnit.MILLISECONDS);
    }

    /** One exchange. */
    public final class Exchange implements Network.Dial {
        private final Peer peer;
        private final ByteBuffer request;
        private final BooleanSupplier mayStart;
        private final Listener listener;
        private HttpClientConnection connection;
        private boolean mayBeWhole;
        private boolean over;
        private volatile int firstLine;

        private Exchange(Peer peer, ByteBuffer request, BooleanSupplier mayStart, Listener listener) {
            this.peer = peer;
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
                keep(peer, to);
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

        void firstLine(int status) {
            firstLine = status;
            listener.begun(status);
        }

        /** Reads an answer that has come, should the selector not have got to it yet. */
        public void poll() {
            HttpClientConnection out;
            synchronized (this) {
                out = over ? null : connection;
            }
            if (out != null) {
                out.poll();
            }
        }

        long most() {
            return listener.most();
        }

        boolean endless() {
            return listener.most() == Long.MAX_VALUE;
        }

        boolean streamed(int status, byte[] piece) {
            return listener.streamed(status, piece);
        }

        void answered(HttpMessage response, HttpClientConnection reusable) {
            synchronized (this) {
                if (over) {
                    return; // given up in this very moment, and its connection closed with it
                }
                over = true;
            }
            if (reusable != null) {
                keep(peer, reusable);
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
            listener.ended(why.given(written), firstLine);
        }

        /**
         * Stops waiting: closes the connection if the request is on it, then reports the end. Guards against
         * a request that leaves on a connection that comes up in this very instant, and stays out there.
         */
        public void abandon(CallEnd why) {
            HttpClientConnection out;
            boolean written;
            synchronized (this) {
                if (over) {
                    return;
                }
                over = true;
                written = mayBeWhole;
                out = connection;
            }
            if (out != null) {
                out.close();
            }
            listener.ended(why.given(written), firstLine);
        }
    }
}
