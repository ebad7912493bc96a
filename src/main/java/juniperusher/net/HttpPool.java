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
    private static final long MAX_RESPONSE_BYTES = 256 * 1024; // bytes; bodies hold 64 KiB at most, this allows more

    private final Network network;
    private final long idleTimeoutNanos;
    private final int maxIdle;
    private final Map<ConnectionKey, Deque<HttpClientConnection>> idleByKey = new HashMap<>();
    private int idleCount;

    /** Who a connection leads to: an address alone may pass from one endpoint to the next. */
    private record ConnectionKey(InetSocketAddress address, int owner) {}

    /** Keeps idle connections for {@code idleSeconds}, and {@code mostIdle} of them, at most. */
    public HttpPool(Network network, double idleTimeoutSeconds, int maxIdle) {
        this.network = network;
        this.maxIdle = maxIdle;
        idleTimeoutNanos = (long) (idleTimeoutSeconds * 1e9);
        closeExpired();
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
            return MAX_RESPONSE_BYTES;
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
        Exchange exchange = new Exchange(new ConnectionKey(address, owner), request.bytes(), mayStart, listener);
        HttpClientConnection idleConnection = takeIdle(exchange.key);
        while (idleConnection != null && !idleConnection.hasNoInput()) {
            idleConnection.closeGracefully();
            idleConnection = takeIdle(exchange.key);
        }
        if (idleConnection != null) {
            exchange.connected(idleConnection);
        } else if (!mayStart.getAsBoolean()) {
            exchange.ended(CallEnd.HELD_BACK);
        } else {
            network.connect(address, exchange);
        }
        return exchange;
    }

    private HttpClientConnection takeIdle(ConnectionKey key) {
        synchronized (idleByKey) {
            Deque<HttpClientConnection> idleForKey = idleByKey.get(key);
            while (idleForKey != null && !idleForKey.isEmpty()) {
                HttpClientConnection connection = idleForKey.pollFirst();
                idleCount--;
                if (connection.isUsable() && System.nanoTime() - connection.idleSinceNanos() < idleTimeoutNanos) {
                    return connection;
                }
                connection.closeGracefully();
            }
            return null;
        }
    }

    private void addIdle(ConnectionKey key, HttpClientConnection connection) {
        connection.setIdleSinceNanos(System.nanoTime());
        HttpClientConnection evicted = null;
        synchronized (idleByKey) {
            if (connection.isUsable()) {
                idleByKey.computeIfAbsent(key, absent -> new ArrayDeque<>()).addFirst(connection);
                evicted = ++idleCount > maxIdle ? removeLongestIdle() : null;
            }
        }
        if (evicted != null) {
            evicted.closeGracefully();
        }
    }

    /** Guards descriptors: takes out the connection that has been idle longest. */
    private HttpClientConnection removeLongestIdle() {
        Deque<HttpClientConnection> oldest = null;
        for (Deque<HttpClientConnection> candidates : idleByKey.values()) {
            if (!candidates.isEmpty()
                    && (oldest == null
                            || candidates.peekLast().idleSinceNanos()
                                            - oldest.peekLast().idleSinceNanos()
                                    < 0)) {
                oldest = candidates;
            }
        }
        idleCount--;
        return oldest.pollLast();
    }

    void release(Exchange exchange, HttpClientConnection connection) {
        addIdle(exchange.key, connection);
    }

    void remove(HttpClientConnection connection) {
        synchronized (idleByKey) {
            idleByKey.values().forEach(connections -> idleCount -= connections.remove(connection) ? 1 : 0);
        }
    }

    /** Closes the idle connections to the owner of an address. */
    public void closeIdle(InetSocketAddress address, int owner) {
        Deque<HttpClientConnection> removed;
        synchronized (idleByKey) {
            removed = idleByKey.remove(new ConnectionKey(address, owner));
            idleCount -= removed == null ? 0 : removed.size();
        }
        if (removed != null) {
            removed.forEach(HttpClientConnection::closeGracefully);
        }
    }

    private void closeExpired() {
        Deque<HttpClientConnection> expired = new ArrayDeque<>();
        synchronized (idleByKey) {
            long now = System.nanoTime();
            idleByKey
                    .values()
                    .forEach(connections -> connections.removeIf(connection ->
                            now - connection.idleSinceNanos() >= idleTimeoutNanos && expired.add(connection)));
            idleCount -= expired.size();
            idleByKey.values().removeIf(Deque::isEmpty);
        }
        expired.forEach(HttpClientConnection::closeGracefully);
        network.scheduler().schedule(this::closeExpired, 200, TimeUnit.MILLISECONDS);
    }

    /** One exchange. */
    public final class Exchange implements Network.Dial {
        private final ConnectionKey key;
        private final ByteBuffer request;
        private final BooleanSupplier mayStart;
        private final Listener listener;
        private HttpClientConnection connection;
        private boolean requestMayBeComplete;
        private boolean finished;
        private volatile int statusLineCode;

        private Exchange(ConnectionKey key, ByteBuffer request, BooleanSupplier mayStart, Listener listener) {
            this.key = key;
            this.request = request;
            this.mayStart = mayStart;
            this.listener = listener;
        }

        @Override
        public Connection connected(EndPoint endPoint) {
            return new HttpClientConnection(endPoint, network, HttpPool.this, this::connected);
        }

        private void connected(HttpClientConnection established) {
            if (!mayStart.getAsBoolean()) {
                addIdle(key, established);
                ended(CallEnd.HELD_BACK);
            } else {
                established.send(this, request);
            }
        }

        @Override
        public void failed(Throwable why) {
            ended(CallEnd.NOT_CONNECTED);
        }

        /** Guards against a call that leaves after it was reported as never sent: both are settled here. */
        synchronized boolean claimConnection(HttpClientConnection claimed) {
            connection = claimed;
            requestMayBeComplete = !finished;
            return requestMayBeComplete;
        }

        synchronized void requestNotFullyWritten() {
            requestMayBeComplete = false;
        }

        void statusLineReceived(int status) {
            statusLineCode = status;
            listener.begun(status);
        }

        /** Reads an answer that has come, should the selector not have got to it yet. */
        public void poll() {
            HttpClientConnection current;
            synchronized (this) {
                current = finished ? null : connection;
            }
            if (current != null) {
                current.poll();
            }
        }

        long maxResponseBytes() {
            return listener.most();
        }

        boolean hasUnboundedResponse() {
            return listener.most() == Long.MAX_VALUE;
        }

        boolean streamed(int status, byte[] piece) {
            return listener.streamed(status, piece);
        }

        void answered(HttpMessage response, HttpClientConnection reusable) {
            synchronized (this) {
                if (finished) {
                    return; // given up in this very moment, and its connection closed with it
                }
                finished = true;
            }
            if (reusable != null) {
                addIdle(key, reusable);
            }
            listener.answered(response);
        }

        void ended(CallEnd why) {
            boolean mayBeComplete;
            synchronized (this) {
                if (finished) {
                    return;
                }
                finished = true;
                mayBeComplete = requestMayBeComplete;
            }
            listener.ended(why.given(mayBeComplete), statusLineCode);
        }

        /**
         * Stops waiting: closes the connection if the request is on it, then reports the end. Guards against
         * a request that leaves on a connection that comes up in this very instant, and stays out there.
         */
        public void abandon(CallEnd why) {
            HttpClientConnection current;
            boolean mayBeComplete;
            synchronized (this) {
                if (finished) {
                    return;
                }
                finished = true;
                mayBeComplete = requestMayBeComplete;
                current = connection;
            }
            if (current != null) {
                current.close();
            }
            listener.ended(why.given(mayBeComplete), statusLineCode);
        }
    }
}
