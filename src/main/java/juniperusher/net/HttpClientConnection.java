package juniperusher.net;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.WritePendingException;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import juniperusher.core.CallEnd;
import juniperusher.memory.HeapExhaustion;
import org.eclipse.jetty.io.AbstractConnection;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.util.BufferUtil;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.thread.Scheduler;

/**
 * The client side of an HTTP/1.1 connection, with one exchange at a time. A response that cannot be parsed, does
 * not end or is too long ends its exchange as {@link CallEnd#SPOILT}, and the connection is closed at once.
 *
 * <p>Nothing in a response of HTTP/1.1 names its request. On a connection's first exchange the response can only belong
 * to that one; on a later one it may as well be stray input from before, such as a second copy of an earlier response.
 * {@link HttpPool.Reuse} decides whether there are later ones. A response that starts before its request is written
 * completely is not taken for a response.
 *
 * <p>Input is processed under the connection's lock. Exchanges are completed outside of it, since their listeners
 * may use other connections.
 */
final class HttpClientConnection extends AbstractConnection {
    private static final int INPUT_BUFFER_BYTES = 4 * 1024;
    private static final long RESPONSE_TIMEOUT_MILLIS = 500; // from the first byte of a response to its last

    private final Network network;
    private final HttpPool pool;
    private final ReadTurn turn = new ReadTurn(Integer.MAX_VALUE);
    private final HttpResponseReader reader;
    private final ByteBuffer input = BufferUtil.allocate(INPUT_BUFFER_BYTES);
    private final Consumer<HttpClientConnection> onOpened;
    private volatile HttpPool.Exchange currentExchange;
    private volatile boolean closed;
    private volatile boolean lingering; // the output is shut down, further input is discarded
    private final LingeringClose lingeringClose;
    private volatile long idleSinceNanos;
    private Scheduler.Task responseTimeout;
    private boolean requestWriteInProgress; // neither callback of the request's write has run yet
    private boolean writeReturned; // the write of the request has returned to its caller
    private boolean writeFailed; // before the write returned
    private boolean used; // has carried an exchange before the present one
    private HttpPool.Exchange answeredBeforeWriteEnd; // exchange whose response came while the write was in progress

    /** What a look for input without an exchange has found. */
    private enum InputState {
        NONE,
        BYTES,
        ENDED
    }

    HttpClientConnection(EndPoint endPoint, Network network, HttpPool pool, Consumer<HttpClientConnection> onOpened) {
        super(endPoint, network.threads());
        this.network = network;
        this.pool = pool;
        reader = new HttpResponseReader(network.responseMemory());
        this.onOpened = onOpened;
        lingeringClose = new LingeringClose(
                endPoint, input, () -> reportUnexpected(UnexpectedInputListener.Reason.AFTER_SHUTDOWN));
    }

    /** Reading never blocks, so the selector thread reads each response without a hand-over to another thread. */
    @Override
    public InvocationType getInvocationType() {
        return InvocationType.NON_BLOCKING;
    }

    @Override
    public void onOpen() {
        super.onOpen();
        fillInterested();
        onOpened.accept(this);
    }

    /** Whether the connection is usable and no input has arrived since it was last used. Checked before reuse. */
    synchronized boolean hasNoInput() {
        return lookForInput(UnexpectedInputListener.Reason.WHILE_IDLE) == InputState.NONE;
    }

    /** Whether a connection on which no response is believed can still be written to. Discards what has arrived. */
    synchronized boolean isOpenForUnproven() {
        boolean open = lookForInput(UnexpectedInputListener.Reason.WHILE_IDLE) != InputState.ENDED;
        BufferUtil.clear(input);
        return open;
    }

    /** Looks for input that belongs to no exchange, and reports it. Needs the lock. */
    private InputState lookForInput(UnexpectedInputListener.Reason reason) {
        try {
            if (!input.hasRemaining() && isUsable() && getEndPoint().fill(input) < 0) {
                return InputState.ENDED;
            }
        } catch (IOException e) {
            return InputState.ENDED;
        }
        if (input.hasRemaining()) {
            reportUnexpected(reason);
            return InputState.BYTES;
        }
        return isUsable() ? InputState.NONE : InputState.ENDED;
    }

    private void reportUnexpected(UnexpectedInputListener.Reason reason) {
        if (input.hasRemaining()) {
            pool.unexpectedInput().unexpectedInput(getEndPoint().getRemoteSocketAddress(), reason, input);
        }
    }

    // ---- writing ----

    /**
     * Writes the exchange's request. From here on its last byte may have been sent, unless the failed write reports
     * that bytes remain. Returns the connection to the pool if the exchange has ended meanwhile.
     */
    void send(HttpPool.Exchange next, ByteBuffer request) {
        if (!next.claimConnection(this)) {
            pool.release(next, this);
        } else if (!write(next, request)) {
            fail(CallEnd.BROKEN);
        }
    }

    /**
     * Starts to write the request, after a last look for input: what has arrived until then is no response. Returns
     * false if the connection cannot be used any more.
     */
    private synchronized boolean write(HttpPool.Exchange next, ByteBuffer request) {
        boolean writable = believesNothing()
                ? isOpenForUnproven()
                : lookForInput(UnexpectedInputListener.Reason.BEFORE_REQUEST) == InputState.NONE;
        currentExchange = next;
        if (!writable) {
            next.requestNotFullyWritten();
            return false;
        }
        reader.begin(next);
        requestWriteInProgress = true;
        writeReturned = false;
        try {
            getEndPoint().write(Callback.from(this::requestWritten, failure -> writeFailed(next, request)), request);
        } catch (WritePendingException e) {
            next.requestNotFullyWritten(); // no byte was written
            return false;
        }
        writeReturned = true;
        return !writeFailed;
    }

    private void writeFailed(HttpPool.Exchange failed, ByteBuffer request) {
        if (request.hasRemaining()) {
            failed.requestNotFullyWritten();
        }
        synchronized (this) {
            if (!writeReturned) {
                writeFailed = true; // write() reports it, outside of the lock
                return;
            }
        }
        fail(CallEnd.BROKEN);
    }

    /**
     * Called when the request is written. A response can arrive, and its connection be reused for the next call,
     * before the writing thread gets here; the next write would then fail with a {@link WritePendingException}.
     * Therefore a connection returns to the pool only after both the response and this callback.
     */
    private void requestWritten() {
        HttpPool.Exchange completed;
        synchronized (this) {
            requestWriteInProgress = false;
            completed = answeredBeforeWriteEnd;
            answeredBeforeWriteEnd = null;
        }
        if (completed != null) {
            pool.release(completed, this);
        }
    }

    /** Whether a part of the request still waits for room in the socket's buffer, so that nothing can answer it. */
    private boolean isRequestPartlyWritten() {
        return requestWriteInProgress && writeReturned;
    }

    // ---- idle connections ----

    void setIdleSinceNanos(long nanoTime) {
        idleSinceNanos = nanoTime;
    }

    long idleSinceNanos() {
        return idleSinceNanos;
    }

    /** Whether the connection has carried an exchange that is over. */
    synchronized boolean isUsed() {
        return used;
    }

    boolean isUsable() {
        return !closed && getEndPoint().isOpen();
    }

    /**
     * Closes an idle connection: shuts down the output, and closes the connection once the peer has closed its side
     * or a limit of time or bytes is reached. Closing a socket with unread input, such as half a line that arrives
     * at this moment, would reset the connection, and the peer could not tell how much of its last response was
     * read.
     */
    void closeGracefully() {
        synchronized (this) {
            if (closed) {
                return;
            }
            closed = true;
            lingering = true;
        }
        pool.remove(this);
        lingeringClose.start();
    }

    // ---- reading ----

    private void discardInput() {
        if (lingeringClose.discardInput()) {
            fillInterested();
        } else {
            close();
        }
    }

    @Override
    public void onFillable() {
        if (lingering) {
            discardInput();
        } else {
            read(true);
        }
    }

    /** Reads input that the selector has not processed yet. The registered read interest does not change. */
    void poll() {
        read(false);
    }

    private void read(boolean fromSelector) {
        Runnable completion;
        synchronized (this) {
            completion = fromSelector || currentExchange != null ? processInput(fromSelector) : null;
        }
        if (completion != null) {
            completion.run(); // outside of the lock, since listeners may use other connections
        }
    }

    /**
     * Reads and parses the available input. Returns the action that completes the exchange or closes the connection,
     * to be run outside of the lock, or null if there is none.
     */
    private Runnable processInput(boolean fromSelector) {
        turn.begin();
        try {
            while (!closed && !turn.isOver()) {
                if (!input.hasRemaining()) {
                    int n = getEndPoint().fill(input);
                    if (n < 0) {
                        return processEndOfInput(fromSelector);
                    }
                    if (n == 0) {
                        scheduleResponseTimeout();
                        if (fromSelector) {
                            fillInterested();
                        }
                        return null;
                    }
                    turn.bytesRead(n);
                }
                if (believesNothing()) {
                    return processUnprovenInput(fromSelector);
                }
                if (currentExchange == null) {
                    return processUnexpectedInput(fromSelector);
                }
                if (isRequestPartlyWritten()) {
                    reportUnexpected(UnexpectedInputListener.Reason.BEFORE_REQUEST_END);
                    return this::closeBeforeRequestEnd;
                }
                switch (reader.read(input)) {
                    case COMPLETE -> {
                        return completeExchange(fromSelector);
                    }
                    case INVALID -> {
                        return () -> fail(CallEnd.SPOILT);
                    }
                    default -> {}
                }
            }
            if (!closed) {
                scheduleResponseTimeout();
                if (fromSelector) {
                    fillInterested(); // the input is processed; what else has arrived is read in the next turn
                }
                return null;
            }
            return lingering && fromSelector ? this::discardInput : null;
        } catch (IOException | RuntimeException e) {
            return () -> fail(CallEnd.BROKEN);
        } catch (OutOfMemoryError e) {
            HeapExhaustion.endProcessIfCausedBy(e);
            throw e;
        }
    }

    private Runnable processEndOfInput(boolean fromSelector) {
        boolean complete = currentExchange != null && !isRequestPartlyWritten() && reader.endOfInput();
        return complete ? completeExchange(fromSelector) : () -> fail(CallEnd.BROKEN);
    }

    /** Whether input may belong to an exchange before the present one. */
    private boolean believesNothing() {
        return used && pool.reuse() == HttpPool.Reuse.NEVER;
    }

    /** Discards the input. If an exchange is in flight, that something came ends it. */
    private Runnable processUnprovenInput(boolean fromSelector) {
        HttpPool.Exchange completed = currentExchange;
        if (completed == null) {
            reportUnexpected(UnexpectedInputListener.Reason.WHILE_IDLE);
        }
        BufferUtil.clear(input);
        currentExchange = null;
        if (fromSelector) {
            fillInterested();
        }
        if (completed == null) {
            return null;
        }
        HttpClientConnection reusable = releasableNow(completed);
        return () -> completed.answeredUnproven(reusable);
    }

    /** This connection, or null if it is released only once the write of the request has returned. */
    private HttpClientConnection releasableNow(HttpPool.Exchange completed) {
        if (requestWriteInProgress) {
            answeredBeforeWriteEnd = completed;
            return null;
        }
        return this;
    }

    private Runnable processUnexpectedInput(boolean fromSelector) {
        reportUnexpected(UnexpectedInputListener.Reason.WHILE_IDLE);
        closed = true;
        lingering = true;
        return () -> {
            pool.remove(this);
            lingeringClose.start();
            if (fromSelector) {
                discardInput(); // after a poll the read interest is still registered
            }
        };
    }

    /** The endpoint runs a call only after its last byte, which the close keeps back. */
    private void closeBeforeRequestEnd() {
        getEndPoint().close(); // fails the pending write, which tells that bytes remain
        fail(CallEnd.BROKEN);
    }

    private void scheduleResponseTimeout() {
        HttpPool.Exchange current = currentExchange;
        if (current != null && responseTimeout == null && reader.hasStarted() && !current.hasUnboundedResponse()) {
            responseTimeout = network.scheduler()
                    .schedule(
                            () -> {
                                if (currentExchange == current) {
                                    fail(CallEnd.SPOILT);
                                }
                            },
                            RESPONSE_TIMEOUT_MILLIS,
                            TimeUnit.MILLISECONDS);
        }
    }

    private Runnable completeExchange(boolean fromSelector) {
        HttpPool.Exchange completed = currentExchange;
        HttpMessage response = reader.response();
        if (responseTimeout != null) {
            responseTimeout.cancel();
            responseTimeout = null;
        }
        currentExchange = null;
        used = true;
        InputState behind = lookForInput(UnexpectedInputListener.Reason.BEHIND_RESPONSE);
        boolean keep = (pool.reuse() == HttpPool.Reuse.TRUSTED_PEER || completed.maySendUnproven())
                && reader.keepsConnection()
                && behind == InputState.NONE;
        if (!keep) {
            closed = true;
            lingering = true;
            lingeringClose.start();
        }
        if (fromSelector) {
            fillInterested();
        }
        HttpClientConnection reusable = keep ? releasableNow(completed) : null;
        return () -> completed.answered(response, behind == InputState.BYTES, reusable);
    }

    /** Closes the connection and ends the exchange on it, if there is one, with {@code end}. */
    void fail(CallEnd end) {
        closed = true;
        close();
        pool.remove(this);
        HttpPool.Exchange interrupted = currentExchange;
        currentExchange = null;
        if (interrupted != null) {
            interrupted.ended(end);
        }
    }

    @Override
    public void onClose(Throwable cause) {
        super.onClose(cause);
        closed = true;
        reader.close();
        pool.remove(this);
    }
}
