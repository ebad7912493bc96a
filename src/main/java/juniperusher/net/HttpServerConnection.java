package juniperusher.net;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.concurrent.atomic.AtomicBoolean;
import org.eclipse.jetty.http.HttpException;
import org.eclipse.jetty.http.HttpField;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpHeaderValue;
import org.eclipse.jetty.http.HttpParser;
import org.eclipse.jetty.http.HttpVersion;
import org.eclipse.jetty.io.AbstractConnection;
import org.eclipse.jetty.io.AbstractEndPoint;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.util.BufferUtil;
import org.eclipse.jetty.util.Callback;

/**
 * The server's side of an HTTP/1.1 connection: one request at a time, answered before the next is read.
 * Guards against clients that send what cannot be read, too much, too slowly or nothing: what is read and
 * held is bounded, and so is the time. A refusal is written before the input has ended, and the rest of the
 * input is read and dropped, since a close with input unread would reset the refusal away.
 *
 * <p>However it ends, it looks for a request that came in that very instant first, then ends its output, and
 * closes after a lingering read. What is read after the end of the output is dropped: nobody could be
 * answered for it, and its client sends it once more elsewhere.
 */
public final class HttpServerConnection extends AbstractConnection implements HttpParser.RequestHandler, Inbound.Guest {
    private static final int INPUT_BUFFER_BYTES = 8 * 1024;
    private static final int MAX_HEAD_BYTES = 16 * 1024; // bytes; a longer head is refused
    // ms without a byte, whatever the connection is doing: clients that ask once and keep their connection
    // would else use up those that they may hold, and the others would find none.
    private static final long IDLE_TIMEOUT_MILLIS = 2_000;
    private static final long REQUEST_TIMEOUT_NANOS = 2_500_000_000L; // ns from a request's first byte to its last
    private static final long LINGER_TIMEOUT_NANOS =
            3_000_000_000L; // ns for which the rest is dropped after the output
    // ms without a byte after which one that was ended for want of room is closed, its client's end or not
    private static final long SHED_IDLE_TIMEOUT_MILLIS = 250;
    private static final Throwable SHED_CAUSE = new IOException("ended, as its place or its process is going");
    private static final int DISCARD_READS_PER_TURN = 16; // reads of dropped input before the others have their turn
    private static final long MAX_DISCARDED_BYTES = 256L << 20; // bytes dropped after a refusal, at most
    // Where dropped bytes go: shared, since nobody reads them.
    private static final ByteBuffer DISCARD_BUFFER = ByteBuffer.allocateDirect(64 * 1024);

    private final Handler handler;
    private final Inbound inbound;
    private final int maxBodyBytes;
    private final HttpParser parser = new HttpParser(this, MAX_HEAD_BYTES);
    private final ByteBuffer input = BufferUtil.allocate(INPUT_BUFFER_BYTES);
    private HttpFields.Mutable fields = HttpFields.build();
    private ByteArrayOutputStream body = new ByteArrayOutputStream();
    private String requestLine;
    private boolean requestComplete;
    private boolean closeAfterResponse;
    private HttpMessage refusal;
    private long phaseStartNanos;
    private int discardReads;
    private long lingerBytes; // bytes dropped plus one, 0 before the end of the output
    private volatile boolean shedRequested; // with its next answer, or at once where none is owed
    private volatile Inbound.Standing standing = Inbound.Standing.MUTE;
    private volatile long standingSinceNanos = System.nanoTime();

    /** Answers requests. */
    public interface Handler {
        /** Answers by calling {@code responder} once, now or later, from any thread. */
        void handle(HttpMessage request, Responder responder);

        /** Whether connections should end after their next answer. */
        boolean closing();

        /** What could not be read, or was too much, has been refused with this status. */
        default void refused(int status) {}
    }

    /** Takes the answer to one request. */
    public interface Responder {
        void respond(HttpMessage response);
    }

    /** Serves a connection whose requests have at most {@code mostBody} bytes of content. */
    public HttpServerConnection(EndPoint endPoint, Network network, int maxBodyBytes, Handler handler) {
        this(endPoint, network, network.inbound(), maxBodyBytes, handler);
    }

    /** The same, counted in a bound of its own rather than among the clients' connections. */
    public HttpServerConnection(
            EndPoint endPoint, Network network, Inbound inbound, int maxBodyBytes, Handler handler) {
        super(endPoint, network.threads());
        this.handler = handler;
        this.maxBodyBytes = maxBodyBytes;
        this.inbound = inbound;
    }

    @Override
    public void onOpen() {
        super.onOpen();
        getEndPoint().setIdleTimeout(IDLE_TIMEOUT_MILLIS);
        inbound.add(this);
        if (shedRequested) {
            endWithoutInput(503); // there is no room for it, and its request may be here already
        } else if (getEndPoint().isOpen()) {
            awaitInput();
        }
    }

    /** Waits for its next byte. Guards an end that came just before against waiting for it as well. */
    private void awaitInput() {
        fillInterested();
        if (shedRequested && lingerBytes == 0) {
            shed();
        }
    }

    @Override
    public void onClose(Throwable cause) {
        super.onClose(cause);
        inbound.remove(this);
    }

    /** Nothing here waits, so the selector's thread itself reads: no hand-over for each request. */
    @Override
    public InvocationType getInvocationType() {
        return InvocationType.NON_BLOCKING;
    }

    @Override
    public Inbound.Standing standing() {
        return standing;
    }

    @Override
    public long since() {
        return standingSinceNanos;
    }

    /**
     * Ends it as soon as nothing is owed. Whoever takes the interest in its next byte away owns it: either
     * this call, which looks once more, or a read that is under way, which ends with its answer.
     */
    @Override
    public void shed() {
        shedRequested = true;
        if (getEndPoint() instanceof AbstractEndPoint selectorEndPoint) {
            selectorEndPoint.getFillInterest().onFail(SHED_CAUSE);
        }
    }

    @Override
    public void drop() {
        close();
    }

    private void setStanding(Inbound.Standing next) {
        standing = next;
        standingSinceNanos = System.nanoTime();
    }

    @Override
    protected void onFillInterestedFailed(Throwable cause) {
        if (getEndPoint().isOpen()) {
            read(cause == SHED_CAUSE ? 503 : 408);
        }
    }

    /** Nothing more has come: ends the output, after a refusal where a request was begun, and lingers. */
    private void endWithoutInput(int status) {
        if (lingerBytes > 0) {
            close(); // it has had its time
        } else if (status == 503 && standing == Inbound.Standing.MUTE || standing == Inbound.Standing.UNFINISHED) {
            if (refuse(HttpMessage.response(status, ""))) {
                onFillable();
            }
        } else {
            startLingering(shedRequested ? SHED_IDLE_TIMEOUT_MILLIS : IDLE_TIMEOUT_MILLIS);
            fillInterested();
        }
    }

    private void startLingering(long idleTimeoutMillis) {
        getEndPoint().shutdownOutput();
        lingerBytes = 1;
        phaseStartNanos = System.nanoTime();
        setStanding(Inbound.Standing.MUTE);
        getEndPoint().setIdleTimeout(idleTimeoutMillis);
    }

    @Override
    public void onFillable() {
        read(0);
    }

    /** Reads what there is; where nothing is left and {@code otherwise} is a status, ends with it. */
    private void read(int statusIfNoInput) {
        try {
            while (true) {
                if (lingerBytes > 0 || !input.hasRemaining()) {
                    ByteBuffer buffer = input;
                    if (lingerBytes > 0) {
                        buffer = DISCARD_BUFFER.duplicate();
                        BufferUtil.clear(buffer);
                    }
                    int n = getEndPoint().fill(buffer);
                    if (n < 0) {
                        close();
                        return;
                    }
                    if (n == 0 && statusIfNoInput > 0) {
                        endWithoutInput(statusIfNoInput);
                        return;
                    }
                    if (n == 0) {
                        awaitInput();
                        return;
                    }
                    if (lingerBytes > 0) {
                        lingerBytes += n;
                        if (lingerBytes > MAX_DISCARDED_BYTES
                                || System.nanoTime() - phaseStartNanos > LINGER_TIMEOUT_NANOS) {
                            close();
                            return;
                        }
                        if (++discardReads % DISCARD_READS_PER_TURN == 0) {
                            fillInterested(); // the others' turn
                            return;
                        }
                        continue;
                    }
                }
                statusIfNoInput = shedRequested ? statusIfNoInput : 0; // it was not idle after all
                if (standing != Inbound.Standing.UNFINISHED) {
                    phaseStartNanos = System.nanoTime();
                    setStanding(Inbound.Standing.UNFINISHED);
                    getEndPoint().setIdleTimeout(IDLE_TIMEOUT_MILLIS);
                }
                int before = input.remaining();
                boolean parserStopped = parser.parseNext(input) || input.remaining() == before;
                if (refusal == null && requestComplete) {
                    if (!handleRequest()) {
                        return;
                    }
                    continue;
                }
                if (refusal == null && (parserStopped || System.nanoTime() - phaseStartNanos > REQUEST_TIMEOUT_NANOS)) {
                    refusal = HttpMessage.response(parserStopped ? 400 : 408, "");
                }
                if (refusal != null && !refuse(refusal)) {
                    return;
                }
            }
        } catch (IOException | RuntimeException e) {
            close();
        }
    }

    /** Has the request answered; whether that is done already, so that the caller reads on. */
    private boolean handleRequest() {
        HttpMessage request = new HttpMessage(requestLine, fields.asImmutable(), body.toByteArray());
        requestComplete = false;
        fields = HttpFields.build();
        body = new ByteArrayOutputStream();
        setStanding(Inbound.Standing.SERVED);
        AtomicBoolean firstToFinish = new AtomicBoolean();
        handler.handle(request, response -> respond(response, firstToFinish));
        return !firstToFinish.compareAndSet(false, true);
    }

    private boolean refuse(HttpMessage response) {
        handler.refused(response.status());
        refusal = response;
        fields = HttpFields.build();
        body = new ByteArrayOutputStream();
        BufferUtil.clear(input);
        closeAfterResponse = true;
        AtomicBoolean firstToFinish = new AtomicBoolean();
        respond(response, firstToFinish);
        return !firstToFinish.compareAndSet(false, true);
    }

    private void respond(HttpMessage response, AtomicBoolean firstToFinish) {
        boolean last = closeAfterResponse || shedRequested || handler.closing() || inbound.isCrowded();
        HttpMessage sent = last
                ? new HttpMessage(
                        response.start(),
                        HttpFields.build(response.fields())
                                .put(HttpHeader.CONNECTION, HttpHeaderValue.CLOSE.asString()),
                        response.body())
                : response;
        getEndPoint()
                .write(
                        Callback.from(
                                () -> {
                                    if (last) {
                                        startLingering(IDLE_TIMEOUT_MILLIS);
                                    } else {
                                        parser.reset();
                                        setStanding(Inbound.Standing.IDLE);
                                        getEndPoint().setIdleTimeout(IDLE_TIMEOUT_MILLIS);
                                    }
                                    if (!firstToFinish.compareAndSet(false, true)) {
                                        getExecutor().execute(this::onFillable);
                                    }
                                },
                                failure -> close()),
                        sent.bytes());
    }

    // ---- the parser's calls ----

    @Override
    public void startRequest(String method, String uri, HttpVersion version) {
        requestLine = method + ' ' + uri;
        closeAfterResponse |= version != HttpVersion.HTTP_1_1;
    }

    @Override
    public void parsedHeader(HttpField field) {
        fields.add(field);
        closeAfterResponse |= field.getHeader() == HttpHeader.CONNECTION && field.contains("close");
    }

    @Override
    public boolean headerComplete() {
        if (parser.getContentLength() > maxBodyBytes) {
            refusal = HttpMessage.response(413, ""); // the length alone condemns it
        }
        return refusal != null;
    }

    @Override
    public boolean content(ByteBuffer content) {
        if (body.size() + content.remaining() > maxBodyBytes) {
            refusal = HttpMessage.response(413, "");
            return true;
        }
        byte[] bytes = new byte[content.remaining()];
        content.get(bytes);
        body.writeBytes(bytes);
        return false;
    }

    @Override
    public boolean contentComplete() {
        return false;
    }

    @Override
    public boolean messageComplete() {
        requestComplete = true;
        return true;
    }

    @Override
    public void earlyEOF() {
        refusal = HttpMessage.response(400, "");
    }

    @Override
    public void badMessage(HttpException failure) {
        refusal = HttpMessage.response(failure.getCode(), "");
    }
}
