package juniperusher.net;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.regex.Pattern;
import org.eclipse.jetty.http.HttpField;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpGenerator;
import org.eclipse.jetty.http.HttpURI;
import org.eclipse.jetty.http.HttpVersion;
import org.eclipse.jetty.http.MetaData;
import org.eclipse.jetty.util.BufferUtil;

/**
 * An HTTP/1.1 request or response with its whole content. The body is not copied and must not be modified.
 *
 * @param startLine method and path of a request, separated by a space, or the status code of a response
 * @param fields    header fields
 * @param body      the content, empty if there is none
 */
public record HttpMessage(String startLine, HttpFields fields, byte[] body) {
    private static final int HEAD_BUFFER_BYTES = 4096;
    private static final Pattern DECIMAL_NUMBER = Pattern.compile("[+-]?\\d{1,12}(\\.\\d{0,12})?([eE][+-]?\\d{1,2})?");

    /** Creates a request; {@code fields} holds names and values of header fields in turn. */
    public static HttpMessage request(String method, String path, byte[] body, String... fields) {
        return new HttpMessage(method + ' ' + path, fields(fields), body);
    }

    /** Creates a response with the body in UTF-8; {@code fields} holds names and values of header fields in turn. */
    public static HttpMessage response(int status, String body, String... fields) {
        return new HttpMessage(Integer.toString(status), fields(fields), body.getBytes(StandardCharsets.UTF_8));
    }

    private static HttpFields fields(String... fields) {
        HttpFields.Mutable out = HttpFields.build();
        for (int i = 0; i < fields.length; i += 2) {
            out.add(new HttpField(fields[i], fields[i + 1]));
        }
        return out;
    }

    /** The method of a request. */
    public String method() {
        return startLine.substring(0, startLine.indexOf(' '));
    }

    /** The path of a request, including its query. */
    public String path() {
        return startLine.substring(startLine.indexOf(' ') + 1);
    }

    /** The status code of a response. */
    public int status() {
        return Integer.parseInt(startLine);
    }

    /** The value of the first header field of this name, or null if there is none. */
    public String header(String name) {
        return fields.get(name);
    }

    /** The delay of the {@code Retry-After} field in seconds; 0 if it is missing, not a number or not positive. */
    public double retryAfterSeconds() {
        String value = header("Retry-After");
        double seconds = value == null ? 0 : parseNumber(value);
        return seconds > 0 ? seconds : 0;
    }

    /** Parses a decimal number; NaN for any other text, including 'Infinity' and '0x1p3'. */
    public static double parseNumber(String text) {
        return DECIMAL_NUMBER.matcher(text.strip()).matches() ? Double.parseDouble(text.strip()) : Double.NaN;
    }

    /** The content decoded as UTF-8. */
    public String bodyText() {
        return new String(body, StandardCharsets.UTF_8);
    }

    /**
     * Encodes the whole message as it is sent.
     *
     * @throws IllegalArgumentException if the message cannot be encoded
     */
    public ByteBuffer encode() {
        HttpGenerator generator = new HttpGenerator();
        boolean request = startLine.indexOf(' ') > 0;
        MetaData.Request requestHead = request
                ? new MetaData.Request(0, method(), HttpURI.from(path()), HttpVersion.HTTP_1_1, fields, body.length)
                : null;
        MetaData.Response responseHead =
                request ? null : new MetaData.Response(status(), null, HttpVersion.HTTP_1_1, fields, body.length);
        ByteBuffer head = BufferUtil.allocate(HEAD_BUFFER_BYTES);
        ByteBuffer content = ByteBuffer.wrap(body);
        ByteArrayOutputStream out = new ByteArrayOutputStream(HEAD_BUFFER_BYTES + body.length);
        try {
            while (true) {
                HttpGenerator.Result result = request
                        ? generator.generateRequest(requestHead, head, null, content, true)
                        : generator.generateResponse(responseHead, false, head, null, content, true);
                switch (result) {
                    case FLUSH -> {
                        BufferUtil.writeTo(head, out);
                        BufferUtil.clear(head);
                        BufferUtil.writeTo(content, out);
                        BufferUtil.clear(content);
                    }
                    case CONTINUE, SHUTDOWN_OUT -> {}
                    case DONE -> {
                        return ByteBuffer.wrap(out.toByteArray());
                    }
                    default -> throw new IllegalStateException("unexpected result of the HTTP generator: " + result);
                }
            }
        } catch (IOException e) {
            throw new IllegalArgumentException("cannot encode the HTTP message: " + startLine, e);
        }
    }
}
