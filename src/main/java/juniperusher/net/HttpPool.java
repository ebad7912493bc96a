package juniperusher.net;

import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import juniperusher.core.CallEnd;
import juniperusher.memory.HeapExhaustion;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Client for HTTP/1.1 exchanges with a pool of idle connections. {@link Reuse} decides whether a connection carries
 * more
 * than one exchange. The idle timeout has to be shorter than the server's, since a request written to a connection that
 * the server is closing ends with a reset. The pool never repeats a request. All methods are thread-safe.
 */
public final class HttpPool {
    private static final Logger LOG = LoggerFactory.getLogger(HttpPool.class);
    // Bodies of messages have at most 64 KiB; this allows longer responses.
    private static final long MAX_RESPONSE_BYTES = 256 * 1024;
    private static final long EXPIRY_INTERVAL_MILLIS = 200; // between two looks for idle connections that have expired

    private final Network network;
    private final Reuse reuse;
    private final UnexpectedInputListener unexpectedInput;
    private final ConnectQueue connectQueue;
    private final IdleConnections idleConnections;
    private final UsedConnections usedConnections = new UsedConnections();

    /** The peer of a connection. The owner is part of it, because another endpoint may take over an address. */
    record ConnectionKey(InetSocketAddress address, int owner) {}

    /** Whether a connection is used again after a response. */
    public enum Reuse {
        /** Each connection carries one exchange, so that nothing but its response can be taken for its response. */
        NEVER,
        /** The peer is trusted to send nothing but one response to each request. */
        TRUSTED_PEER
    }

    /** Creates a pool without reuse that keeps at most {@code maxIdle} unused connections. */
    public HttpPool(Network network, double idleTimeoutSeconds, int maxIdle) {
        this(network, Reuse.NEVER, idleTimeoutSeconds, maxIdle, UnexpectedInputListener.NONE);
    }

    /**
     * Creates a pool that keeps at most {@code maxIdle} idle connections, each for {@code idleTimeoutSeconds}, and
     * reports input that belongs to no exchange.
     */
    public HttpPool(
            Network network,
            Reuse reuse,
            double idleTimeoutSeconds,
            int maxIdle,
            UnexpectedInputListener unexpectedInput) {
        this.network = network;
        this.reuse = reuse;
        this.unexpectedInput = unexpectedInput;
        idleConnections = new IdleConnections((long) (idleTimeoutSeconds * 1e9), maxIdle);
        connectQueue = new ConnectQueue(network, this);
        closeExpired();
    }

    Reuse reuse() {
        return reuse;
    }

    /**
     * Receives the result of an exchange: exactly one call of {@link #answered} or {@link #ended}. If {@link
     * #answered} throws, {@link #ended} follows. Calls may come on any thread, including the one that starts the
     * exchange, and must not block.
     */
    public interface Listener {
        /** The whole response has been received. */
        void answered(HttpMessage response);

        /**
         * The whole response has been received, and further bytes behind it. One of the two may have come unasked, so
         * that the response does not prove what the peer did with the request.
         */
        default void answeredInDoubt(HttpMessage response) {
            answered(response);
        }

        /**
         * The exchange ended without a complete response. {@code statusLineCode} is the status code of the response's
         * status line, or 0 if that line did not arrive.
         */
        void ended(CallEnd end, int statusLineCode);

        /**
         * Whether the request may be sent on a connection that has carried others if none can be opened. Any response
         * may then belong to an earlier exchange, so it ends this one as {@link CallEnd#SPOILT}.
         */
        default boolean maySendUnproven() {
            return false;
        }

        /** Whether a further connection may be opened if the first one takes long to be established. */
        default boolean mayHedgeConnect() {
            return false;
        }

        /** The first line of the response has arrived with this status code. */
        default void statusReceived(int status) {}

        /**
         * The maximum size of a response's content in bytes; a longer response ends as {@link CallEnd#SPOILT}. With
         * {@link Long#MAX_VALUE} the response may also take any time.
         */
        default long maxResponseBytes() {
            return MAX_RESPONSE_BYTES;
        }

        /**
         * Offers a piece of the response's content on arrival. If this returns true, the listener has consumed the
         * piece and it is not part of the response passed to {@link #answered}.
         */
        default boolean consume(int status, byte[] piece) {
            return false;
        }
    }

    /** Starts an exchange with a server that its address alone identifies. */
    public Exchange exchange(
            InetSocketAddress address, HttpMessage request, BooleanSupplier mayStart, Listener listener) {
        return exchange(address, 0, request, mayStart, listener);
    }

    /**
     * Starts an exchange. {@code mayStart} is called right before a connection is opened and again right before the
     * request is written; if it returns false, the exchange ends as {@link CallEnd#HELD_BACK}. Only connections
     * opened for the same {@code owner} of the address are reused.
     */
    public Exchange exchange(
            InetSocketAddress address, int owner, HttpMessage request, BooleanSupplier mayStart, Listener listener) {
        Exchange exchange = new Exchange(new ConnectionKey(address, owner), request.encode(), mayStart, listener);
        HttpClientConnection idleConnection = idleConnections.take(exchange.key);
        if (idleConnection != null) {
            exchange.connected(idleConnection);
        } else if (!mayStart.getAsBoolean()) {
            exchange.ended(CallEnd.HELD_BACK);
        } else {
            connectQueue.connect(exchange);
        }
        return exchange;
    }

    UnexpectedInputListener unexpectedInput() {
        return unexpectedInput;
    }

    /** Takes back a connection on which the exchange was not sent, or whose reuse {@link Reuse} allows. */
    void release(Exchange exchange, HttpClientConnection connection) {
        if (reuse == Reuse.NEVER && connection.isUsed()) {
            usedConnections.add(exchange.key, connection);
        } else {
            idleConnections.add(exchange.key, connection);
        }
    }

    /** Keeps a connection that no exchange waits for any more. */
    void keepUnused(ConnectionKey key, HttpClientConnection connection) {
        idleConnections.add(key, connection);
    }

    /** Forgets a connection that is closed. */
    void remove(HttpClientConnection connection) {
        idleConnections.remove(connection);
        usedConnections.remove(connection);
    }

    /** Closes the idle connections opened for this owner of the address. */
    public void closeIdle(InetSocketAddress address, int owner) {
        idleConnections.closeAll(new ConnectionKey(address, owner));
    }

    private void closeExpired() {
        idleConnections.closeExpired();
        network.scheduler().schedule(this::closeExpired, EXPIRY_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
    }

    /** One request and its response; ends exactly once. */
    public final class Exchange {
        private final ConnectionKey key;
        private final ByteBuffer request;
        private final BooleanSupplier mayStart;
        private final Listener listener;
        private HttpClientConnection connection;
        private boolean requestMayBeComplete; // the last byte of the request may have been sent
        private boolean finished;
        private volatile int statusLineCode;

        private Exchange(ConnectionKey key, ByteBuffer request, BooleanSupplier mayStart, Listener listener) {
            this.key = key;
            this.request = request;
            this.mayStart = mayStart;
            this.listener = listener;
        }

        ConnectionKey key() {
            return key;
        }

        boolean mayHedgeConnect() {
            return listener.mayHedgeConnect();
        }

        synchronized boolean isFinished() {
            return finished;
        }

        void connected(HttpClientConnection established) {
            if (!mayStart.getAsBoolean()) {
                release(this, established);
                ended(CallEnd.HELD_BACK);
            } else {
                established.send(this, request);
            }
        }

        void connectFailed() {
            HttpClientConnection used = listener.maySendUnproven() ? usedConnections.take(key) : null;
            if (used != null) {
                connected(used);
            } else {
                ended(CallEnd.NOT_CONNECTED);
            }
        }

        boolean maySendUnproven() {
            return listener.maySendUnproven();
        }

        /**
         * Assigns the connection to this exchange. Returns false if the exchange has already ended; the request must
         * then not be written, as it may have been reported as never sent.
         */
        synchronized boolean claimConnection(HttpClientConnection claimed) {
            connection = claimed;
            requestMayBeComplete = !finished;
            return requestMayBeComplete;
        }

        /** Records that the request was not written completely, so that the call cannot have run. */
        synchronized void requestNotFullyWritten() {
            requestMayBeComplete = false;
        }

        void statusLineReceived(int status) {
            statusLineCode = status;
            listener.statusReceived(status);
        }

        /** Reads a response that has arrived but that the selector has not processed yet. */
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
            return listener.maxResponseBytes();
        }

        /** Whether the response counts in the budget; one whose listener raises the limit is read alone. */
        boolean countsInBudget() {
            return listener.maxResponseBytes() <= MAX_RESPONSE_BYTES;
        }

        boolean hasUnboundedResponse() {
            return listener.maxResponseBytes() == Long.MAX_VALUE;
        }

        boolean consume(int status, byte[] piece) {
            return listener.consume(status, piece);
        }

        void answered(HttpMessage response, boolean strayInput, HttpClientConnection reusable) {
            synchronized (this) {
                if (finished) {
                    return; // abandoned meanwhile, which also closed the connection
                }
                finished = true;
            }
            if (reusable != null) {
                release(this, reusable);
            }
            try {
                if (strayInput) {
                    listener.answeredInDoubt(response);
                } else {
                    listener.answered(response);
                }
            } catch (RuntimeException | Error e) {
                endAfterFailure(e);
            }
        }

        /** Nobody else ends an exchange that is finished, so a listener that could not handle the response is told. */
        private void endAfterFailure(Throwable failure) {
            HeapExhaustion.endProcessIfCausedBy(failure);
            LOG.atError().addKeyValue("peer", key.address()).log("a response cannot be handled", failure);
            listener.ended(CallEnd.SPOILT, statusLineCode);
        }

        /** Something came on a connection that had carried other exchanges. */
        void answeredUnproven(HttpClientConnection reusable) {
            synchronized (this) {
                if (finished) {
                    return; // abandoned meanwhile, which also closed the connection
                }
                finished = true;
            }
            if (reusable != null) {
                release(this, reusable);
            }
            listener.ended(CallEnd.SPOILT, 0);
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
            listener.ended(why.adjustedForLastByte(mayBeComplete), statusLineCode);
        }

        /**
         * Stops waiting for the response: closes the connection that the request uses, if any, then reports the end.
         * A connection that is established at the same time does not send the request afterwards. Has no effect on
         * an exchange that has ended. A response that has arrived in time counts, though it is not read yet.
         */
        public void abandon(CallEnd why) {
            if (why == CallEnd.TIMED_OUT) {
                poll();
            }
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
            listener.ended(why.adjustedForLastByte(mayBeComplete), statusLineCode);
        }
    }
}
