package juniperusher.net;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import org.eclipse.jetty.http.HttpException;
import org.eclipse.jetty.http.HttpField;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeaderValue;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpParser;
import org.eclipse.jetty.http.HttpVersion;
import org.eclipse.jetty.io.AbstractConnection;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.util.BufferUtil;
import org.eclipse.jetty.util.Callback;

/** The server's side of an HTTP/1.1 connection: one request at a time, answered before the next is read. */
public final class HttpServerConnection extends AbstractConnection implements HttpParser.RequestHandler {
    private static final int BUFFER = 8 * 1024;

    private final Handler handler;
    private final int mostBody;
    private final HttpParser parser = new HttpParser(this, 16 * 1024);
    private final ByteBuffer in = BufferUtil.allocate(BUFFER);
    private HttpFields.Mutable fields = HttpFields.build();
    private ByteArrayOutputStream body = new ByteArrayOutputStream();
    private String start;
    private boolean complete;
    private boolean close;
    private HttpMessage refusal;

    /** Answers requests. */
    public interface Handler {
        /** Answers by calling {@code responder} once, now or later, from any thread. */
        void handle(HttpMessage request, Responder responder);

        /** Whether connections should end after their next answer. */
        boolean closing();
    }

    /** Takes the answer to one request. */
    public interface Responder {
        void respond(HttpMessage response);
    }

    /** Serves a connection whose requests have at most {@code mostBody} bytes of content. */
    public HttpServerConnection(EndPoint endPoint, Network network, int mostBody, Handler handler) {
        super(endPoint, network.threads());
        this.handler = handler;
        this.mostBody = mostBody;
    }

    @Override
    public void onOpen() {
        super.onOpen();
        fillInterested();
    }

    @Override
    public void onFillable() {
        try {
            while (true) {
                if (!in.hasRemaining()) {
                    int n = getEndPoint().fill(in);
                    if (n < 0) {
                        close();
                        return;
                    }
                    if (n == 0) {
                        fillInterested();
                        return;
                    }
                }
                if (parser.parseNext(in) || complete || refusal != null) {
                    if (refusal != null) {
                        close = true;
                        respond(refusal);
                        return;
                    }
                    if (complete) {
                        serve();
                        return;
                    }
                }
            }
        } catch (IOException | RuntimeException e) {
            close();
        }
    }

    private void serve() {
        HttpMessage request = new HttpMessage(start, fields.asImmutable(), body.toByteArray());
        complete = false;
        fields = HttpFields.build();
        body = new ByteArrayOutputStream();
        handler.handle(request, this::respond);
    }

    private void respond(HttpMessage response) {
        boolean last = close || handler.closing();
        HttpMessage sent = last ? new HttpMessage(response.start(), HttpFields.build(response.fields())
                .put(HttpHeader.CONNECTION, HttpHeaderValue.CLOSE.asString()), response.body()) : response;
        getEndPoint().write(Callback.from(() -> {
            if (last) {
                getEndPoint().shutdownOutput();
                close();
            } else {
                parser.reset();
                getExecutor().execute(this::onFillable);
            }
        }, failure -> close()), sent.bytes());
    }

    // ---- the parser's calls ----

    @Override
    public void startRequest(String method, String uri, HttpVersion version) {
        start = method + ' ' + uri;
    }

    @Override
    public void parsedHeader(HttpField field) {
        fields.add(field);
        close |= field.getHeader() == HttpHeader.CONNECTION && field.contains("close");
    }

    @Override
    public boolean headerComplete() {
        return false;
    }

    @Override
    public boolean content(ByteBuffer content) {
        if (body.size() + content.remaining() > mostBody) {
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
        complete = true;
        return true;
    }

    @Override
    public void earlyEOF() {
        close();
    }

    @Override
    public void badMessage(HttpException failure) {
        refusal = HttpMessage.response(failure.getCode(), "");
    }
}
