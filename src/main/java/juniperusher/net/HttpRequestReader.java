package juniperusher.net;

import java.nio.ByteBuffer;
import java.util.Arrays;
import org.eclipse.jetty.http.HttpException;
import org.eclipse.jetty.http.HttpField;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpParser;
import org.eclipse.jetty.http.HttpVersion;

/**
 * Parses the requests on one connection, one at a time, and reserves the memory that each needs before it is allocated.
 * Not thread-safe.
 */
final class HttpRequestReader implements HttpParser.RequestHandler {
    private static final int MAX_HEAD_BYTES = 16 * 1024; // requests with a longer head are refused
    private static final int MAX_FIELDS = 100;
    private static final int FIELD_BYTES = 160; // of a field's objects, without the text
    private static final int TEXT_FACTOR = 2; // the parser's copy of the text, and the one in the fields
    private static final int MIN_CONTENT_BUFFER_BYTES = 1024;
    private static final byte[] NO_CONTENT = {};

    private final int maxContentBytes;
    private final RequestMemory.Reservation memory;
    private final HttpParser parser = new HttpParser(this, MAX_HEAD_BYTES);
    private HttpFields.Mutable fields = HttpFields.build();
    private byte[] content = NO_CONTENT; // its first contentBytes bytes have arrived
    private int contentBytes;
    private long headBytes;
    private String requestLine;
    private boolean headComplete;
    private boolean complete;
    private boolean lastOnConnection;
    private Refusal refusal;

    /** The state of a request after a piece of input. */
    enum State {
        INCOMPLETE,
        COMPLETE,
        /** See {@link #refusal}; the rest of the input on the connection is not parsed. */
        REFUSED
    }

    /** Creates a reader; requests with more content than {@code maxContentBytes} are refused. */
    HttpRequestReader(int maxContentBytes, RequestMemory.Reservation memory) {
        this.maxContentBytes = maxContentBytes;
        this.memory = memory;
        parser.setHeaderCacheSize(0); // the cache would hold memory of idle connections
    }

    /** Parses input up to the end of the request. */
    State read(ByteBuffer input) {
        int before = input.remaining();
        boolean readsHead = !headComplete;
        headBytes += readsHead ? before : 0;
        if (!memory.ensure(requestBytes())) {
            refusal = new Refusal(503, Refusal.Reason.MEMORY);
            return State.REFUSED;
        }
        boolean stopped = parser.parseNext(input) || input.remaining() == before;
        headBytes -= readsHead ? input.remaining() : 0;
        if (refusal == null && complete) {
            return State.COMPLETE;
        }
        if (refusal == null && stopped) {
            refusal = new Refusal(400, Refusal.Reason.MALFORMED);
        }
        return refusal == null ? State.INCOMPLETE : State.REFUSED;
    }

    /** The complete request. The reader forgets it and has to be {@link #reset} before the next one. */
    HttpMessage takeRequest() {
        byte[] body = contentBytes == content.length ? content : Arrays.copyOf(content, contentBytes);
        HttpMessage request = new HttpMessage(requestLine, fields.asImmutable(), body);
        forget();
        return request;
    }

    /** Forgets what has arrived of a request. */
    void forget() {
        headComplete = false;
        complete = false;
        fields = HttpFields.build();
        content = NO_CONTENT;
        contentBytes = 0;
        headBytes = 0;
    }

    /** Prepares for the next request on the connection. */
    void reset() {
        parser.reset();
    }

    /** Why the request is refused; null if it is not. */
    Refusal refusal() {
        return refusal;
    }

    /** Whether the client's version or its Connection field ends the connection with the response. */
    boolean isLastOnConnection() {
        return lastOnConnection;
    }

    int contentBytes() {
        return contentBytes;
    }

    int fieldCount() {
        return fields.size();
    }

    /** Upper bound of the memory that the request takes so far. */
    private long requestBytes() {
        return TEXT_FACTOR * headBytes + (long) FIELD_BYTES * fields.size() + content.length;
    }

    // ---- callbacks of the parser ----

    @Override
    public void startRequest(String method, String uri, HttpVersion version) {
        requestLine = method + ' ' + uri;
        lastOnConnection |= version != HttpVersion.HTTP_1_1;
    }

    @Override
    public void parsedHeader(HttpField field) {
        if (fields.size() >= MAX_FIELDS) {
            stopParsing(new Refusal(431, Refusal.Reason.TOO_LONG));
        }
        fields.add(field);
        if (!memory.ensure(requestBytes())) {
            stopParsing(new Refusal(503, Refusal.Reason.MEMORY));
        }
        lastOnConnection |= field.getHeader() == HttpHeader.CONNECTION && field.contains("close");
    }

    /** Refuses the request. The parser, which would go on to the end of its input, catches the exception and stops. */
    private void stopParsing(Refusal reason) {
        refusal = reason;
        throw new HttpException.RuntimeException(reason.status(), "refused");
    }

    @Override
    public boolean headerComplete() {
        headComplete = true;
        if (parser.getContentLength() > maxContentBytes) {
            refusal = new Refusal(413, Refusal.Reason.TOO_LONG); // refused before its content is read
        }
        return refusal != null;
    }

    @Override
    public boolean content(ByteBuffer piece) {
        int needed = contentBytes + piece.remaining();
        if (needed > maxContentBytes) {
            refusal = new Refusal(413, Refusal.Reason.TOO_LONG);
            return true;
        }
        if (needed > content.length && !growContent(needed)) {
            refusal = new Refusal(503, Refusal.Reason.MEMORY);
            return true;
        }
        int length = piece.remaining();
        piece.get(content, contentBytes, length);
        contentBytes += length;
        return false;
    }

    /** Grows the buffer with what has arrived, not with what the client announces. */
    private boolean growContent(int neededBytes) {
        int capacity = Math.max(neededBytes, Math.max(MIN_CONTENT_BUFFER_BYTES, 2 * content.length));
        long announced = parser.getContentLength();
        int limit = announced >= 0 ? (int) announced : maxContentBytes;
        capacity = Math.max(neededBytes, Math.min(capacity, limit));
        if (!memory.ensure(requestBytes() - content.length + capacity)) {
            return false;
        }
        content = Arrays.copyOf(content, capacity);
        return true;
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
        refusal = new Refusal(400, Refusal.Reason.MALFORMED);
    }

    @Override
    public void badMessage(HttpException failure) {
        if (refusal == null) {
            boolean tooLong = failure.getCode() == 414 || failure.getCode() == 431;
            refusal = new Refusal(failure.getCode(), tooLong ? Refusal.Reason.TOO_LONG : Refusal.Reason.MALFORMED);
        }
    }
}
