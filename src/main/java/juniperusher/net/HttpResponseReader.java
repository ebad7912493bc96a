package juniperusher.net;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import juniperusher.memory.MemoryBudget;
import juniperusher.memory.MemoryHold;
import org.eclipse.jetty.http.HttpException;
import org.eclipse.jetty.http.HttpField;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpParser;
import org.eclipse.jetty.http.HttpVersion;
import org.eclipse.jetty.util.BufferUtil;

/** Parses the responses on one connection, one at a time. Interim responses (1xx) are skipped. Not thread-safe. */
final class HttpResponseReader implements HttpParser.ResponseHandler {
    private static final int MAX_HEAD_BYTES = 16 * 1024;
    private static final int MAX_INTERIM_RESPONSES = 16; // before the final one
    private static final int SWITCHING_PROTOCOLS = 101;
    private static final int MAX_FIELDS = 100;
    // Each connection may hold so much uncounted, so that a few long responses do not spoil the usual short ones.
    private static final long UNCOUNTED_BYTES = 4 * 1024;
    private static final long BLOCK_BYTES = 16 * 1024;
    private static final int CONTENT_COPIES = 2; // its buffer and the array of the complete response

    private final MemoryHold memory;
    private final HttpParser parser = new HttpParser(this, MAX_HEAD_BYTES);
    private HttpPool.Exchange exchange;
    private HttpFields.Mutable fields = HttpFields.build();
    private ByteArrayOutputStream body = new ByteArrayOutputStream();
    private int status;
    private int interimResponses;
    private boolean complete;
    private boolean invalid;
    private boolean keepAlive = true;

    /** The state of a response after a piece of input. */
    enum State {
        INCOMPLETE,
        COMPLETE,
        INVALID
    }

    /** Creates a reader whose longer responses count in the budget. */
    HttpResponseReader(MemoryBudget budget) {
        memory = new MemoryHold(budget, BLOCK_BYTES);
        parser.setHeaderCacheSize(0); // the cache would hold memory of idle connections
    }

    /** Prepares for the response to this exchange, which receives its status line and content on arrival. */
    void begin(HttpPool.Exchange next) {
        exchange = next;
        interimResponses = 0;
        reset();
    }

    private void reset() {
        complete = false;
        fields = HttpFields.build();
        body = new ByteArrayOutputStream();
        memory.release();
        parser.reset();
    }

    /** The connection is closed: what was read is garbage. Safe for threads. */
    void close() {
        memory.close();
    }

    /** Whether a byte of a response has been parsed since {@link #begin} or the last interim response. */
    boolean hasStarted() {
        return !parser.isStart();
    }

    /** Parses input up to the end of the response. */
    State read(ByteBuffer input) {
        while (true) {
            int before = input.remaining();
            boolean stopped = parser.parseNext(input) || input.remaining() == before;
            if (invalid) {
                return State.INVALID;
            }
            if (complete && status >= 200) {
                return State.COMPLETE;
            }
            if (complete && status != SWITCHING_PROTOCOLS && ++interimResponses <= MAX_INTERIM_RESPONSES) {
                reset();
                if (!input.hasRemaining()) {
                    return State.INCOMPLETE;
                }
            } else if (stopped) {
                return State.INVALID;
            } else {
                return State.INCOMPLETE;
            }
        }
    }

    /** Notes the end of the input, which completes a response without a length. Returns whether one is complete. */
    boolean endOfInput() {
        parser.atEOF();
        parser.parseNext(BufferUtil.EMPTY_BUFFER);
        keepAlive = false;
        return complete;
    }

    /** Whether the peer keeps the connection open after the responses so far. */
    boolean keepsConnection() {
        return keepAlive;
    }

    /** The complete response. */
    HttpMessage response() {
        return new HttpMessage(Integer.toString(status), fields.asImmutable(), body.toByteArray());
    }

    // ---- callbacks of the parser ----

    @Override
    public void startResponse(HttpVersion version, int code, String reason) {
        status = code;
        keepAlive = version == HttpVersion.HTTP_1_1;
        if (code >= 200) {
            exchange.statusLineReceived(code);
        }
    }

    @Override
    public void parsedHeader(HttpField field) {
        if (fields.size() >= MAX_FIELDS) {
            throw new HttpException.RuntimeException(431, "too many fields"); // ends the parsing, see badMessage
        }
        fields.add(field);
        keepAlive &= field.getHeader() != HttpHeader.CONNECTION || !field.contains("close");
    }

    @Override
    public boolean headerComplete() {
        invalid |= parser.getContentLength() > exchange.maxResponseBytes();
        return invalid;
    }

    @Override
    public boolean content(ByteBuffer content) {
        byte[] bytes = new byte[content.remaining()];
        content.get(bytes);
        if (!exchange.consume(status, bytes)) {
            long size = (long) body.size() + bytes.length;
            invalid |= size > exchange.maxResponseBytes() || !hasMemoryFor(size);
            if (!invalid) {
                body.writeBytes(bytes);
            }
        }
        return invalid;
    }

    private boolean hasMemoryFor(long contentBytes) {
        return !exchange.countsInBudget() || memory.ensure(CONTENT_COPIES * (contentBytes - UNCOUNTED_BYTES));
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
        keepAlive = false; // endOfInput() reports whether the response is complete
    }

    @Override
    public void badMessage(HttpException failure) {
        invalid = true;
    }
}
