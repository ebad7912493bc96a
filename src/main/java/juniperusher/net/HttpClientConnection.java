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
 * The client's side of an HTTP/1.1 connection: one exchange at a time. Guards against answers that cannot be
 * read, do not end or are too long: such an answer is spoilt, and its connection is closed at once. What
 * comes behind a good answer spoils the connection alone and is never read as the next call's answer.
 */
final class HttpClientConnection extends AbstractConnection implements HttpParser.ResponseHandler {
    private static final int INPUT_BUFFER_BYTES = 4 * 1024;
    private static final int MAX_HEAD_BYTES = 16 * 1024; // bytes
    private static final int MAX_INTERIM_RESPONSES = 16; // 1xx answers in front of the final one
    private static final long RESPONSE_TIMEOUT_MILLIS = 500; // ms from an answer's first byte to its last
    private static final long LINGER_IDLE_TIMEOUT_MILLIS =
            1_000; // ms without a byte for which one that has ended is read on
    private static final int MAX_DISCARDED_BYTES = 1 << 20; // bytes of it that are read and dropped at most
    // Where they go: shared, since nobody reads them.
    private static final ByteBuffer DISCARD_BUFFER = ByteBuffer.allocateDirect(16 * 1024);

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
    private volatile HttpPool.Exchange exchange;
    private volatile boolean closed;
    private volatile boolean lingering; // its output has ended, what still comes is dropped
    private int discardedBytes;
    private volatile long idleSinceNanos;
    private Scheduler.Task responseTimeout;
    private boolean requestWriteInProgress; // the request's write has not said how it ended
    private HttpPool.Exchange answeredBeforeWriteEnd; // whose answer came before that

    HttpClientConnection(EndPoint endPoint, Network network, HttpPool pool, Consumer<HttpClientConnection> onOpened) {
        super(endPoint, network.threads());
        this.network = network;
        this.pool = pool;
        this.onOpened = onOpened;
    }

    /** Nothing here waits, so the selector's thread itself reads: no hand-over for each answer. */
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

    /** Whether nothing has come since the last answer; asked before the connection is used again. */
    synchronized boolean hasNoInput() {
        try {
            return isUsable() && !input.hasRemaining() && getEndPoint().fill(input) == 0;
        } catch (IOException e) {
            return false;
        }
    }

    /**
     * Writes the exchange's request. From here on its last byte may be gone, unless the write says otherwise.
     */
    void send(HttpPool.Exchange next, ByteBuffer request) {
        exchange = next;
        if (!next.claimConnection(this)) {
            exchange = null;
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
            next.requestNotFullyWritten(); // not one byte was taken
            fail(CallEnd.BROKEN);
        }
    }

    /**
     * The request is written. Guards the next request: an answer can come, and its connection be taken for
     * the
     * next call, before the thread that wrote the request has got this far; a write then would be refused
     * with
     * an exception that nobody waits for. So a connection is kept only once both have ended.
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
     * Ends it with nothing out on it: the output first, then, once the other side has ended too or after a
     * bound, the connection. Guards the answer before: a close over bytes that nobody has read, half a line
     * that comes in this very instant, resets the connection, and the other side cannot know what of its
     * answer was read.
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
                ByteBuffer buffer = DISCARD_BUFFER.duplicate();
                BufferUtil.clear(buffer);
                int n = getEndPoint().fill(buffer);
                discardedBytes += Math.max(0, n);
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

    /** Reads what has come though the selector has not got to it; its interest stays as it is. */
    void poll() {
        read(false);
    }

    private void read(boolean fromSelector) {
        Runnable completion;
        synchronized (this) {
            completion = fromSelector || exchange != null ? processInput(fromSelector) : null;
        }
        if (completion != null) {
            completion.run(); // not under the lock: what hears of it may use other connections
        }
    }

    /** Reads what is there; the rest of the matter, if an answer has come or can come no more. */
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
                if (exchange == null) {
                    closed = true; // bytes that answer nothing
                    lingering = true;
                    return () -> {
                        pool.remove(this);
                        startLingering();
                        if (fromSelector) {
                            discardInput(); // else its interest in the next byte still stands
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
                    resetParser(); // the final answer is still to come
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
        HttpPool.Exchange current = exchange;
        if (current != null && responseTimeout == null && !parser.isStart() && !current.hasUnboundedResponse()) {
            responseTimeout = network.scheduler()
                    .schedule(
                            () -> {
                                if (exchange == current) {
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
        HttpPool.Exchange completed = exchange;
        HttpMessage response = new HttpMessage(Integer.toString(status), fields.asImmutable(), body.toByteArray());
        if (responseTimeout != null) {
            responseTimeout.cancel();
            responseTimeout = null;
        }
        exchange = null;
        interimResponses = 0;
        resetParser();
        boolean reuse = keepAlive && hasNoInput();
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

    /** The connection is of no more use; an exchange on it ends so. */
    void fail(CallEnd end) {
        closed = true;
        close();
        pool.remove(this);
        HttpPool.Exchange interrupted = exchange;
        exchange = null;
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

    // ---- the parser's calls ----

    @Override
    public void startResponse(HttpVersion version, int code, String reason) {
        status = code;
        keepAlive = version == HttpVersion.HTTP_1_1;
        HttpPool.Exchange current = exchange;
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
        HttpPool.Exchange current = exchange;
        responseInvalid |= current != null && parser.getContentLength() > current.maxResponseBytes();
        return responseInvalid;
    }

    @Override
    public boolean content(ByteBuffer content) {
        byte[] bytes = new byte[content.remaining()];
        content.get(bytes);
        HttpPool.Exchange current = exchange;
        if (current != null && !current.streamed(status, bytes)) {
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
        keepAlive = false; // the end of the input says the same
    }

    @Override
    public void badMessage(HttpException failure) {
        responseInvalid = true;
    }
}
