package juniperusher.lab.sockets;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Deque;
import juniperusher.net.HttpMessage;
import org.eclipse.jetty.http.HttpException;
import org.eclipse.jetty.http.HttpField;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpParser;
import org.eclipse.jetty.http.HttpVersion;
import org.eclipse.jetty.io.AbstractConnection;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.util.BufferUtil;
import org.eclipse.jetty.util.Callback;

/**
 * A connection of a relay to something emulated. Unlike the relay's own front it reads on while a request
 * has no
 * answer, since what is emulated has to know that a relay has given a call up.
 */
final class PeerConnection extends AbstractConnection implements HttpParser.RequestHandler {
    private static final int BUFFER = 16 * 1024;
    private static final int MOST_HEAD = 16 * 1024;
    private static final int MOST_BODY = 1 << 20;

    private final Handler handler;
    private final long idle;
    private final HttpParser parser = new HttpParser(this, MOST_HEAD);
    private final ByteBuffer in = BufferUtil.allocate(BUFFER);
    private final Deque<ByteBuffer> waiting = new ArrayDeque<>(); // guarded by itself
    private boolean writing; // guarded by waiting
    private HttpFields.Mutable fields = HttpFields.build();
    private ByteArrayOutputStream body = new ByteArrayOutputStream();
    private String start;
    private volatile boolean out; // a request has no answer yet

    /** What the connection leads to; called by the selector's thread. */
    interface Handler {
        /** The connection has come up. */
        default void opened(PeerConnection connection) {}

        /** A request's last byte has come. */
        void asked(PeerConnection connection, HttpMessage request);

        /** The connection is no more; a request may still have been out. */
        void gone(PeerConnection connection);
    }

    /** A connection that is closed after {@code idle} ms without a request. */
    PeerConnection(EndPoint endPoint, java.util.concurrent.Executor executor, long idle, Handler handler) {
        super(endPoint, executor);
        this.handler = handler;
        this.idle = idle;
    }

    @Override
    public void onOpen() {
        super.onOpen();
        getEndPoint().setIdleTimeout(idle);
        handler.opened(this);
        fillInterested();
    }

    @Override
    public void onClose(Throwable cause) {
        super.onClose(cause);
        handler.gone(this);
    }

    /** Nothing here waits, so the selector's thread itself reads. */
    @Override
    public InvocationType getInvocationType() {
        return InvocationType.NON_BLOCKING;
    }

    @Override
    public boolean onIdleExpired(java.util.concurrent.TimeoutException timeout) {
        return !out; // a call that hangs is no idle connection
    }

    @Override
    public void onFillable() {
        try {
            while (true) {
                int n = getEndPoint().fill(in);
                if (n < 0) {
                    close();
                    return;
                }
                if (n == 0) {
                    fillInterested();
                    return;
                }
                if (out) {
                    close(); // a second request before the first has its answer: not what a relay does
                    return;
                }
                parser.parseNext(in);
            }
        } catch (IOException | RuntimeException e) {
            close();
        }
    }

    /** Answers the request that is out. */
    void answer(HttpMessage response) {
        out = false;
        parser.reset();
        write(response.encode());
    }

    /** Writes the head of an answer without an end, or a piece of it. */
    void stream(String text) {
        write(ByteBuffer.wrap(text.getBytes(StandardCharsets.US_ASCII)));
    }

    private void write(ByteBuffer bytes) {
        synchronized (waiting) {
            waiting.add(bytes);
            if (writing) {
                return;
            }
            writing = true;
        }
        next();
    }

    private void next() {
        ByteBuffer bytes;
        synchronized (waiting) {
            bytes = waiting.poll();
            writing = bytes != null;
        }
        if (bytes != null) {
            getEndPoint().write(Callback.from(this::next, failure -> close()), bytes);
        }
    }

    // ---- the parser's calls ----

    @Override
    public void startRequest(String method, String uri, HttpVersion version) {
        start = method + ' ' + uri;
    }

    @Override
    public void parsedHeader(HttpField field) {
        fields.add(field);
    }

    @Override
    public boolean headerComplete() {
        return false;
    }

    @Override
    public boolean content(ByteBuffer content) {
        byte[] bytes = new byte[content.remaining()];
        content.get(bytes);
        body.writeBytes(bytes);
        if (body.size() > MOST_BODY) {
            close();
        }
        return false;
    }

    @Override
    public boolean contentComplete() {
        return false;
    }

    @Override
    public boolean messageComplete() {
        HttpMessage request = new HttpMessage(start, fields.asImmutable(), body.toByteArray());
        fields = HttpFields.build();
        body = new ByteArrayOutputStream();
        out = true;
        handler.asked(this, request);
        return true;
    }

    @Override
    public void earlyEOF() {
        close();
    }

    @Override
    public void badMessage(HttpException failure) {
        close();
    }
}
