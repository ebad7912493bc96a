package juniperusher.net;

import java.io.IOException;
import java.net.SocketAddress;
import java.nio.ByteBuffer;
import java.util.concurrent.atomic.AtomicBoolean;
import juniperusher.memory.HeapExhaustion;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpHeaderValue;
import org.eclipse.jetty.io.AbstractConnection;
import org.eclipse.jetty.io.AbstractEndPoint;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.util.BufferUtil;
import org.eclipse.jetty.util.Callback;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The server side of an HTTP/1.1 connection: one request at a time, answered before the next one is read. Size and
 * duration of requests are bounded, so that clients which send invalid data, too much, too slowly or nothing at all
 * hold no resources for long. An error response may be written before the request has arrived completely; the rest
 * of the request is then read and discarded, since closing a socket with unread input resets the connection and the
 * client may lose the response.
 *
 * <p>Before the connection ends, it reads input once more and answers a request that has just arrived. Then it shuts
 * down the output and discards further input until the client closes or a limit is reached. A request that arrives
 * after the output is shut down is discarded unread; its client sends it again on another connection.
 */
public final class HttpServerConnection extends AbstractConnection
        implements InboundConnections.InboundConnection, RequestMemory.Owner {
    private static final Logger LOG = LoggerFactory.getLogger(HttpServerConnection.class);
    // Applies in every state. Without it, clients that send one request and keep the connection would use up
    // the bounded number of connections, and other clients could not connect.
    private static final long IDLE_TIMEOUT_MILLIS = 2_000;
    private static final long REQUEST_TIMEOUT_NANOS = 2_500_000_000L; // from a request's first byte to its last
    private static final long LINGER_TIMEOUT_NANOS = 3_000_000_000L; // from the end of the output to the close
    // Idle time after which a shed connection whose output is shut down is closed.
    private static final long SHED_IDLE_TIMEOUT_MILLIS = 250;
    private static final Throwable SHED_CAUSE =
            new IOException("connection ended: connection limit reached or process shutting down");
    private static final Throwable EVICTED_CAUSE = new IOException("request refused: no memory left for it");
    private static final int REQUESTS_PER_TURN = 1;
    private static final long MAX_DISCARDED_BYTES = 256L << 20; // read and discarded after the output is shut down
    // Shared by all connections, because its content is never read.
    private static final ByteBuffer DISCARD_BUFFER = ByteBuffer.allocateDirect(64 * 1024);

    private final Handler handler;
    private final Network network;
    private final ReadTurn turn = new ReadTurn(REQUESTS_PER_TURN);
    private final InboundConnections inboundConnections;
    private final RequestMemory.Reservation memory;
    private final HttpRequestReader reader;
    private ByteBuffer input; // null while there is no unprocessed input
    private boolean closeAfterResponse;
    private long phaseStartNanos; // first byte of the current request, or end of the output
    private long lingerBytes; // bytes discarded plus one; 0 until the output is shut down
    private volatile boolean shedRequested; // ends after the next response, or at once if no request is in progress
    private volatile InboundConnections.ConnectionState state = InboundConnections.ConnectionState.NO_DATA;
    private volatile long stateSinceNanos = System.nanoTime();

    /** Answers requests. */
    public interface Handler {
        /**
         * Handles a request and calls {@code responder} exactly once, now or later, on any thread. Runs on the
         * selector thread, so it must not block.
         */
        void handle(HttpMessage request, Responder responder);

        /** Whether connections should close after their next response. */
        boolean closesConnections();

        /** A request was refused before {@link #handle} saw it. */
        default void requestRefused(Refusal refusal) {}
    }

    /** Sends the response to one request. */
    public interface Responder {
        /** Sends the response. Returns false if the connection has ended, so that the client cannot get it. */
        boolean respond(HttpMessage response);
    }

    /** Creates a connection within the network's bound; longer request bodies than {@code maxBodyBytes} get 413. */
    public HttpServerConnection(EndPoint endPoint, Network network, int maxBodyBytes, Handler handler) {
        this(endPoint, network, network.inboundConnections(), maxBodyBytes, handler);
    }

    /** Creates a connection within a separate bound; longer request bodies than {@code maxBodyBytes} get 413. */
    public HttpServerConnection(
            EndPoint endPoint,
            Network network,
            InboundConnections inboundConnections,
            int maxBodyBytes,
            Handler handler) {
        super(endPoint, network.threads());
        this.handler = handler;
        this.network = network;
        this.inboundConnections = inboundConnections;
        memory = network.requestMemory().reservationFor(this);
        reader = new HttpRequestReader(maxBodyBytes, memory);
    }

    @Override
    public void onOpen() {
        super.onOpen();
        getEndPoint().setIdleTimeout(IDLE_TIMEOUT_MILLIS);
        inboundConnections.add(this);
        if (shedRequested) {
            endWithoutInput(503); // shed on arrival; its request may have arrived already
        } else if (getEndPoint().isOpen()) {
            awaitInput();
        }
    }

    /** Registers for input. Repeats what was requested just before, as it found no interest to cancel. */
    private void awaitInput() {
        fillInterested();
        if (shedRequested && lingerBytes == 0) {
            closeGracefully();
        } else if (memory.isEvicted()) {
            evict();
        }
    }

    @Override
    public void onClose(Throwable cause) {
        super.onClose(cause);
        inboundConnections.remove(this);
        memory.close();
    }

    /** Reading never blocks, so the selector thread reads each request without a hand-over to another thread. */
    @Override
    public InvocationType getInvocationType() {
        return InvocationType.NON_BLOCKING;
    }

    @Override
    public InboundConnections.ConnectionState state() {
        return state;
    }

    @Override
    public long stateSinceNanos() {
        return stateSinceNanos;
    }

    /**
     * Ends the connection once no request is in progress. May be called on any thread. Only the thread that cancels
     * the read interest may go on reading: either this call, which then reads once more, or a read in progress,
     * which ends the connection with its response.
     */
    @Override
    public void closeGracefully() {
        shedRequested = true;
        cancelReadInterest(SHED_CAUSE);
    }

    @Override
    public void evict() {
        cancelReadInterest(EVICTED_CAUSE);
    }

    private void cancelReadInterest(Throwable cause) {
        if (getEndPoint() instanceof AbstractEndPoint selectorEndPoint) {
            selectorEndPoint.getFillInterest().onFail(cause);
        }
    }

    @Override
    public void closeNow() {
        LOG.atDebug()
                .addKeyValue("client", getEndPoint().getRemoteSocketAddress())
                .addKeyValue("state", state)
                .log("connection closed: its descriptor is needed");
        close();
    }

    private void setState(InboundConnections.ConnectionState next) {
        state = next;
        stateSinceNanos = System.nanoTime();
    }

    @Override
    protected void onFillInterestedFailed(Throwable cause) {
        if (!getEndPoint().isOpen()) {
            return;
        }
        if (cause != EVICTED_CAUSE) {
            read(cause == SHED_CAUSE ? 503 : 408);
        } else if (!memory.isEvicted() || refuse(new Refusal(503, Refusal.Reason.MEMORY))) {
            awaitInput();
        }
    }

    /**
     * Ends the connection after no input was found: shuts down the output and discards further input. A client whose
     * request is incomplete first gets {@code status}, and so does, with 503, a client that has sent nothing.
     */
    private void endWithoutInput(int status) {
        if (lingerBytes > 0) {
            close(); // the linger time is over
        } else if (status == 503 && state == InboundConnections.ConnectionState.NO_DATA
                || state == InboundConnections.ConnectionState.RECEIVING) {
            if (refuse(refusalWithoutInput(status))) {
                onFillable();
            }
        } else {
            startLingering(shedRequested ? SHED_IDLE_TIMEOUT_MILLIS : IDLE_TIMEOUT_MILLIS);
            awaitInput();
        }
    }

    private static Refusal refusalWithoutInput(int status) {
        return new Refusal(status, status == 503 ? Refusal.Reason.SHED : Refusal.Reason.TIMED_OUT);
    }

    private void startLingering(long idleTimeoutMillis) {
        getEndPoint().shutdownOutput();
        lingerBytes = 1;
        phaseStartNanos = System.nanoTime();
        setState(InboundConnections.ConnectionState.NO_DATA);
        getEndPoint().setIdleTimeout(idleTimeoutMillis);
    }

    @Override
    public void onFillable() {
        SocketAddress client = getEndPoint().getRemoteSocketAddress(); // unknown once the connection is closed
        long startedNanos = System.nanoTime();
        read(0);
        network.turnMonitor().turnEnded(client, startedNanos, turn.messages(), turn.bytes());
    }

    /**
     * Reads and handles the available input for one turn. If there is none and {@code statusIfNoInput} is not 0, ends
     * the connection with that status.
     */
    private void read(int statusIfNoInput) {
        turn.begin();
        try {
            while (!turn.isOver()) {
                if (lingerBytes > 0) {
                    if (!discardInput(statusIfNoInput)) {
                        return;
                    }
                    continue;
                }
                if (input == null && !fillInput(statusIfNoInput)) {
                    return;
                }
                statusIfNoInput = shedRequested ? statusIfNoInput : 0; // input arrived, so it has not timed out
                if (state != InboundConnections.ConnectionState.RECEIVING) {
                    phaseStartNanos = System.nanoTime();
                    setState(InboundConnections.ConnectionState.RECEIVING);
                    getEndPoint().setIdleTimeout(IDLE_TIMEOUT_MILLIS);
                }
                if (!processInput()) {
                    return;
                }
            }
            awaitNextTurn();
        } catch (IOException | RuntimeException e) {
            close();
        } catch (OutOfMemoryError e) {
            HeapExhaustion.endProcessIfCausedBy(e);
        }
    }

    /** Reads into {@link #input}. Returns false if there is nothing to read now, or never again. */
    private boolean fillInput(int statusIfNoInput) throws IOException {
        input = network.inputBuffers().acquire();
        int n = getEndPoint().fill(input);
        if (n > 0) {
            turn.bytesRead(n);
            return true;
        }
        releaseInput();
        onNoInput(n, statusIfNoInput);
        return false;
    }

    private void onNoInput(int fillResult, int statusIfNoInput) {
        if (fillResult < 0) {
            close();
        } else if (statusIfNoInput > 0) {
            endWithoutInput(statusIfNoInput);
        } else {
            awaitInput();
        }
    }

    /** Reads and discards input after the output is shut down. Returns false if there is none now, or never again. */
    private boolean discardInput(int statusIfNoInput) throws IOException {
        ByteBuffer buffer = DISCARD_BUFFER.duplicate();
        BufferUtil.clear(buffer);
        int n = getEndPoint().fill(buffer);
        if (n <= 0) {
            onNoInput(n, statusIfNoInput);
            return false;
        }
        turn.bytesRead(n);
        lingerBytes += n;
        if (lingerBytes > MAX_DISCARDED_BYTES || System.nanoTime() - phaseStartNanos > LINGER_TIMEOUT_NANOS) {
            close();
            return false;
        }
        return true;
    }

    /** Parses the input, and handles or refuses its request. Returns whether this thread goes on reading. */
    private boolean processInput() {
        HttpRequestReader.State result = reader.read(input);
        if (!input.hasRemaining()) {
            releaseInput();
        }
        if (result == HttpRequestReader.State.COMPLETE) {
            return handleRequest();
        }
        if (result == HttpRequestReader.State.REFUSED) {
            return refuse(reader.refusal());
        }
        if (System.nanoTime() - phaseStartNanos > REQUEST_TIMEOUT_NANOS) {
            return refuse(new Refusal(408, Refusal.Reason.TIMED_OUT));
        }
        return true;
    }

    private void releaseInput() {
        if (input != null) {
            network.inputBuffers().release(input);
            input = null;
        }
    }

    /** Lets the other connections read before this one goes on. */
    private void awaitNextTurn() {
        if (lingerBytes > 0 || input == null) {
            awaitInput();
        } else if (memory.ensure(InputBuffers.BUFFER_BYTES)) {
            network.runNextTurn(this::onFillable);
        } else if (refuse(new Refusal(503, Refusal.Reason.MEMORY))) {
            awaitInput();
        }
    }

    /**
     * Passes the request to the handler. Returns true if the response is already written, so that the caller goes on
     * reading. The flag passed to {@link #respond} is set by the first of the two that finish, this thread and the
     * callback of the write; the second one goes on reading.
     */
    private boolean handleRequest() {
        memory.complete();
        HttpMessage request = reader.takeRequest();
        closeAfterResponse |= reader.isLastOnConnection();
        turn.messageHandled();
        setState(InboundConnections.ConnectionState.HANDLING);
        AtomicBoolean oneFinished = new AtomicBoolean();
        handler.handle(request, response -> respond(response, oneFinished));
        return !oneFinished.compareAndSet(false, true);
    }

    /** Writes an error response, after which the connection ends. Returns true like {@link #handleRequest}. */
    private boolean refuse(Refusal refusal) {
        handler.requestRefused(refusal);
        LOG.atDebug()
                .addKeyValue("client", getEndPoint().getRemoteSocketAddress())
                .addKeyValue("status", refusal.status())
                .addKeyValue("reason", refusal.reason())
                .addKeyValue("content_bytes", reader.contentBytes())
                .addKeyValue("fields", reader.fieldCount())
                .log("request refused unread");
        reader.forget();
        releaseInput();
        closeAfterResponse = true;
        AtomicBoolean oneFinished = new AtomicBoolean();
        respond(refusal.response(), oneFinished);
        return !oneFinished.compareAndSet(false, true);
    }

    private boolean respond(HttpMessage response, AtomicBoolean oneFinished) {
        memory.release(); // what the handler keeps of the request is its own
        // A response is kept until the client reads it, and is not evicted.
        RequestMemory.Reservation responseMemory = network.requestMemory().reservationFor(() -> {});
        boolean hasMemory = responseMemory.ensure(response.body().length);
        responseMemory.complete();
        HttpMessage affordable = hasMemory ? response : new Refusal(503, Refusal.Reason.MEMORY).response();
        boolean last =
                closeAfterResponse || shedRequested || handler.closesConnections() || inboundConnections.isCrowded();
        HttpMessage sent = last ? withConnectionClose(affordable) : affordable;
        AtomicBoolean failed = new AtomicBoolean();
        getEndPoint()
                .write(
                        Callback.from(
                                () -> {
                                    responseMemory.release();
                                    responseWritten(last);
                                    if (!oneFinished.compareAndSet(false, true)) {
                                        getExecutor().execute(this::onFillable);
                                    }
                                },
                                failure -> {
                                    failed.set(true);
                                    responseMemory.release();
                                    close();
                                }),
                        sent.encode());
        return !failed.get();
    }

    private static HttpMessage withConnectionClose(HttpMessage response) {
        HttpFields fields =
                HttpFields.build(response.fields()).put(HttpHeader.CONNECTION, HttpHeaderValue.CLOSE.asString());
        return new HttpMessage(response.startLine(), fields, response.body());
    }

    private void responseWritten(boolean last) {
        if (last) {
            startLingering(IDLE_TIMEOUT_MILLIS);
        } else {
            reader.reset();
            setState(InboundConnections.ConnectionState.IDLE);
            getEndPoint().setIdleTimeout(IDLE_TIMEOUT_MILLIS);
        }
    }
}
