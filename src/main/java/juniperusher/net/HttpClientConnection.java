package juniperusher.net;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
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

/** The client's side of an HTTP/1.1 connection: one exchange at a time. */
final class HttpClientConnection extends AbstractConnection implements HttpParser.ResponseHandler {
    private static final int BUFFER = 4 * 1024;

    private final HttpPool pool;
    private final HttpParser parser = new HttpParser(this, 16 * 1024);
    private final ByteBuffer in = BufferUtil.allocate(BUFFER);
    private HttpFields.Mutable fields = HttpFields.build();
    private ByteArrayOutputStream body = new ByteArrayOutputStream();
    private int status;
    private boolean complete;
    private boolean keep = true;
    private volatile HttpPool.Exchange exchange;
    private volatile boolean closed;
    private long idleSince;

    private final Consumer<HttpClientConnection> opened;

    HttpClientConnection(EndPoint endPoint, Network network, HttpPool pool,
            Consumer<HttpClientConnection> opened) {
        super(endPoint, network.threads());
        this.pool = pool;
        this.opened = opened;
    }

    @Override
    public void onOpen() {
        super.onOpen();
        fillInterested();
        opened.accept(this);
    }

    /**
     * Writes the exchange's request. From here on its last byte may be gone, unless the write says otherwise.
     */
    void start(HttpPool.Exchange next, ByteBuffer request) {
        exchange = next;
        if (!next.leaving(this)) {
            exchange = null;
            pool.unused(next, this);
            return;
        }
        getEndPoint().write(Callback.from(() -> { }, failure -> {
            if (request.hasRemaining()) {
                next.neverWhole();
            }
            lost();
        }), request);
    }

    void idleFrom(long time) {
        idleSince = time;
    }

    long idleSince() {
        return idleSince;
    }

    boolean usable() {
        return !closed && getEndPoint().isOpen();
    }

    @Override
    public void onFillable() {
        try {
            while (true) {
                if (!in.hasRemaining()) {
                    int n = getEndPoint().fill(in);
                    if (n < 0) {
                        parser.atEOF();
                        parser.parseNext(BufferUtil.EMPTY_BUFFER);
                        if (complete) {
                            keep = false;
                            finished();
                        }
                        lost();
                        return;
                    }
                    if (n == 0) {
                        fillInterested();
                        return;
                    }
                }
                if (exchange == null) {
                    lost(); // bytes that answer nothing
                    return;
                }
                parser.parseNext(in);
                if (complete) {
                    finished();
                    if (closed) {
                        return;
                    }
                }
            }
        } catch (IOException | RuntimeException e) {
            lost();
        }
    }

    private void finished() {
        HttpPool.Exchange done = exchange;
        HttpMessage response = new HttpMessage(Integer.toString(status), fields.asImmutable(),
                body.toByteArray());
        exchange = null;
        complete = false;
        fields = HttpFields.build();
        body = new ByteArrayOutputStream();
        parser.reset();
        boolean reuse = keep && !in.hasRemaining() && getEndPoint().isOpen();
        if (!reuse) {
            closed = true;
            close();
        }
        if (done != null) {
            done.answered(response, reuse ? this : null);
        }
    }

    /** The connection is of no more use; an exchange on it ends as broken. */
    void lost() {
        closed = true;
        close();
        pool.gone(this);
        HttpPool.Exchange cut = exchange;
        exchange = null;
        if (cut != null) {
            cut.ended(CallEnd.BROKEN);
        }
    }

    @Override
    public void onClose(Throwable cause) {
        super.onClose(cause);
        closed = true;
        pool.gone(this);
    }

    // ---- the parser's calls ----

    @Override
    public void startResponse(HttpVersion version, int code, String reason) {
        status = code;
        keep = version == HttpVersion.HTTP_1_1;
    }

    @Override
    public void parsedHeader(HttpField field) {
        fields.add(field);
        keep &= field.getHeader() != HttpHeader.CONNECTION || !field.contains("close");
    }

    @Override
    public boolean headerComplete() {
        return false;
    }

    @Override
    public boolean content(ByteBuffer content) {
        byte[] bytes = new byte[content.remaining()];
        content.get(bytes);
        HttpPool.Exchange current = exchange;
        if (current == null || !current.streamed(status, bytes)) {
            body.writeBytes(bytes);
        }
        return false;
    }

    @Override
    public boolean contentComplete() {
        return false;
    }

    @Override
    public boolean messageComplete() {
        complete = true;
        return true;
    }

    @Override
    public void earlyEOF() {
        lost();
    }

    @Override
    public void badMessage(HttpException failure) {
        lost();
    }
}
