package juniperusher.net;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.WritePendingException;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import juniperusher.core.CallEnd;
import org.eclipse.jetty.http.HttpException;
import org.eclipse.jetty.http.HttpField;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpParser;
import org.eclipse.jetty.http.HttpVersion;
import org.eclipse.jetty.io.AbstractConnection;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.util.BufferUtil;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.thread.Scheduler;

/**
 * The client side of an HTTP/1.1 connection, with one exchange at a time. A response that cannot be parsed, does
 * not end or is too long ends its exchange as {@link CallEnd#SPOILT}, and the connection is closed at once. Bytes
 * that follow a valid response do not affect that response; the connection is then closed, so that they are never
 * parsed as the response to the next call.
 *
 * <p>Input is processed under the connection's lock. Exchanges are completed outside of it, since their listeners
 * may use other connections.
 */
final class HttpClientConnection extends AbstractConnection implements HttpParser.ResponseHandler {
    private static final int INPUT_BUFFER_BYTES = 4 * 1024;
    private static final int MAX_HEAD_BYTES = 16 * 1024;
    private static final int MAX_INTERIM_RESPONSES = 16; // 1xx responses before the final one
    private static final long RESPONSE_TIMEOUT_MILLIS = 500; // from the first byte of a response to its last
    // Idle time after which a connection whose output is shut down is closed.
    private static final long LINGER_IDLE_TIMEOUT_MILLIS = 1_000;
    private static final int MAX_DISCARDED_BYTES = 1 << 20; // read and discarded after the output is shut down
    private static final int REPORTED_HEAD_BYTES = 40; // of input that belongs to no exchange

    private final Network network;
    private final HttpPool pool;
    private final HttpParser parser = new HttpParser(this, MAX_HEAD_BYTES);
    private final ByteBuffer input = BufferUtil.allocate(INPUT_BUFFER_BYTES);
    private final Consumer<HttpClientConnection> onOpened;
    private HttpFields.Mutable fields = HttpFields.build();
    private ByteArrayOutputStream body = new ByteArrayOutputStream();
    private int status;
    private int interimResponses;
    private boolean responseComplete;
    private boolean responseInvalid;
    private boolean keepAlive = true;
    private volatile HttpPool.Exchange currentExchange;
    private volatile boolean closed;
    private volatile boolean lingering; // the output is shut down, further input is discarded
    private int discardedBytes;
    private volatile long idleSinceNanos;
    private Scheduler.Task responseTimeout;
    private boolean requestWriteInProgress; // neither callback of the request's write has run yet
    private HttpPool.Exchange answeredBeforeWriteEnd; // exchange whose response came while the write was in progress

    HttpClientConnection(EndPoint endPoint, Network network, HttpPool pool, Consumer<HttpClientConnection> onOpened) {
        super(endPoint, network.threads());
        this.network = network;
        this.pool = pool;
        this.onOpened = onOpened;
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

    /** Whether the connection is usable and no input has arrived since the last response. Checked before reuse. */
    synchronized boolean hasNoInput() {
        return hasNoInput(UnexpectedInputListener.Reason.WHILE_IDLE);
    }

    private boolean hasNoInput(UnexpectedInputListener.Reason reasonOfInput) {
        try {
            boolean noInput =
                    isUsable() && !input.hasRemaining() && getEndPoint().fill(input) == 0;
            reportUnexpected(input, reasonOfInput);
            return noInput;
        } catch (IOException e) {
            return false;
        }
    }

    /** Reports the remaining bytes of the buffer, if there are any, as input that belongs to no exchange. */
    private void reportUnexpected(ByteBuffer bytes, UnexpectedInputListener.Reason reason) {
        if (bytes.hasRemaining()) {
            pool.unexpectedInput()
                    .unexpectedInput(
                            getEndPoint().getRemoteSocketAddress(), reason, bytes.remaining(), printableHead(bytes));
        }
    }

    private static String printableHead(ByteBuffer bytes) {
        StringBuilder head = new StringBuilder();
        for (int i = 0; i < Math.min(REPORTED_HEAD_BYTES, bytes.remaining()); i++) {
            char character = (char) bytes.get(bytes.position() + i);
            head.append(character > ' ' && character < 127 ? character : '_');
        }
        return head.toString();
    }

    /**
     * Writes the exchange's request. From here on its last byte may have been sent, unless the failed write reports
     * that bytes remain. Returns the connection to the pool if the exchange has ended meanwhile.
     */
    void send(HttpPool.Exchange next, ByteBuffer request) {
        currentExchange = next;
        if (!next.claimConnection(this)) {
            currentExchange = null;
            pool.release(next, this);
            return;
        }
        synchronized (this) {
            requestWriteInProgress = true;
        }
        try {
            getEndPoint()
                    .write(
                            Callback.from(this::requestWritten, failure -> {
                                if (request.hasRemaining()) {
                                    next.requestNotFullyWritten();
                                }
                                fail(CallEnd.BROKEN);
                            }),
                            request);
        } catch (WritePendingException e) {
            next.requestNotFullyWritten(); // no byte was written
            fail(CallEnd.BROKEN);
        }
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

    void setIdleSinceNanos(long nanoTime) {
        idleSinceNanos = nanoTime;
    }

    long idleSinceNanos() {
        return idleSinceNanos;
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
        startLingering();
    }

    private void startLingering() {
        getEndPoint().setIdleTimeout(LINGER_IDLE_TIMEOUT_MILLIS);
        getEndPoint().shutdownOutput();
    }

    @Override
    public void onFillable() {
        if (lingering) {
            discardInput();
        } else {
            read(true);
        }
    }

    private void discardInput() {
        try {
            while (true) {
                BufferUtil.clear(input);
                int n = getEndPoint().fill(input);
                discardedBytes += Math.max(0, n);
                reportUnexpected(input, UnexpectedInputListener.Reason.AFTER_SHUTDOWN);
                if (n < 0 || discardedBytes > MAX_DISCARDED_BYTES) {
                    close();
                    return;
                }
                if (n == 0) {
                    fillInterested();
                    return;
                }
            }
        } catch (IOException | RuntimeException e) {
            close();
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
        try {
            while (!closed) {
                if (!input.hasRemaining()) {
                    int n = getEndPoint().fill(input);
                    if (n < 0) {
                        parser.atEOF();
                        parser.parseNext(BufferUtil.EMPTY_BUFFER);
                        keepAlive = false;
                        return responseComplete ? completeExchange(fromSelector) : () -> fail(CallEnd.BROKEN);
                    }
                    if (n == 0) {
                        scheduleResponseTimeout();
                        if (fromSelector) {
                            fillInterested();
                        }
                        return null;
                    }
                }
                if (currentExchange == null) {
                    reportUnexpected(input, UnexpectedInputListener.Reason.WHILE_IDLE);
                    closed = true; // input without a request in flight
                    lingering = true;
                    return () -> {
                        pool.remove(this);
                        startLingering();
                        if (fromSelector) {
                            discardInput(); // after a poll the read interest is still registered
                        }
                    };
                }
                int before = input.remaining();
                boolean parserStopped = parser.parseNext(input) || input.remaining() == before;
                if (responseComplete
                        && !responseInvalid
                        && status < 200
                        && status != 101
                        && ++interimResponses <= MAX_INTERIM_RESPONSES) {
                    resetParser(); // an interim response; the final one follows
                } else if (responseComplete && !responseInvalid && status >= 200) {
                    return completeExchange(fromSelector);
                } else if (responseInvalid || parserStopped) {
                    return () -> fail(CallEnd.SPOILT);
                }
            }
            return lingering && fromSelector ? this::discardInput : null;
        } catch (IOException | RuntimeException e) {
            return () -> fail(CallEnd.BROKEN);
        }
    }

    private void scheduleResponseTimeout() {
        HttpPool.Exchange current = currentExchange;
        if (current != null && responseTimeout == null && !parser.isStart() && !current.hasUnboundedResponse()) {
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

    private void resetParser() {
        responseComplete = false;
        fields = HttpFields.build();
        body = new ByteArrayOutputStream();
        parser.reset();
    }

    private Runnable completeExchange(boolean fromSelector) {
        HttpPool.Exchange completed = currentExchange;
        HttpMessage response = new HttpMessage(Integer.toString(status), fields.asImmutable(), body.toByteArray());
        if (responseTimeout != null) {
            responseTimeout.cancel();
            responseTimeout = null;
        }
        currentExchange = null;
        interimResponses = 0;
        resetParser();
        boolean reuse = hasNoInput(UnexpectedInputListener.Reason.BEHIND_RESPONSE) && keepAlive;
        if (reuse && fromSelector) {
            fillInterested();
        }
        if (!reuse) {
            closed = true;
            lingering = true;
            startLingering();
            if (fromSelector) {
                fillInterested();
            }
        }
        boolean releaseAfterWrite = reuse && requestWriteInProgress;
        if (releaseAfterWrite) {
            answeredBeforeWriteEnd = completed;
        }
        return completed == null ? null : () -> completed.answered(response, reuse && !releaseAfterWrite ? this : null);
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
        pool.remove(this);
    }

    // ---- callbacks of the parser ----

    @Override
    public void startResponse(HttpVersion version, int code, String reason) {
        status = code;
        keepAlive = version == HttpVersion.HTTP_1_1;
        HttpPool.Exchange current = currentExchange;
        if (current != null && code >= 200) {
            current.statusLineReceived(code);
        }
    }

    @Override
    public void parsedHeader(HttpField field) {
        fields.add(field);
        keepAlive &= field.getHeader() != HttpHeader.CONNECTION || !field.contains("close");
    }

    @Override
    public boolean headerComplete() {
        HttpPool.Exchange current = currentExchange;
        responseInvalid |= current != null && parser.getContentLength() > current.maxResponseBytes();
        return responseInvalid;
    }

    @Override
    public boolean content(ByteBuffer content) {
        byte[] bytes = new byte[content.remaining()];
        content.get(bytes);
        HttpPool.Exchange current = currentExchange;
        if (current != null && !current.consume(status, bytes)) {
            body.writeBytes(bytes);
            responseInvalid |= body.size() > current.maxResponseBytes();
        }
        return responseInvalid;
    }

    @Override
    public boolean contentComplete() {
        return false;
    }

    @Override
    public boolean messageComplete() {
        responseComplete = true;
        return true;
    }

    @Override
    public void earlyEOF() {
        keepAlive = false; // processInput() handles the end of the input itself
    }

    @Override
    public void badMessage(HttpException failure) {
        responseInvalid = true;
    }
}
