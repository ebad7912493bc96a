package juniperusher.http;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.async.ByteArrayFeeder;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.function.Consumer;

/**
 * Splits an endless byte stream into its JSON objects, which may span several lines. Jackson's non-blocking parser
 * finds the end of each object.
 *
 * <p>After a malformed object, input is skipped up to the next line that begins with a brace, so that later objects are
 * still read. The agent sends blank lines as heartbeats between changes, so a blank line inside an object means that
 * the object was truncated. Not thread-safe.
 */
final class JsonObjectSplitter {
    private static final JsonFactory JSON = JsonFactory.builder()
            .disable(JsonFactory.Feature.INTERN_FIELD_NAMES)
            .build(); // field names come from outside, and interned strings would stay in memory

    private final int maxBytes;
    private final Consumer<String> objectConsumer;
    private final Consumer<String> faultConsumer;
    private final ByteArrayOutputStream partialObject = new ByteArrayOutputStream();
    private JsonParser parser; // of the incomplete object; null between objects
    private int depth;
    private boolean skipping; // the rest of a malformed object
    private boolean atLineStart = true;
    private boolean lineBlank = true; // the current line has only blanks so far

    /**
     * Creates a splitter.
     *
     * @param maxBytes       the largest object that is accepted
     * @param objectConsumer receives the text of each complete object
     * @param faultConsumer  receives the reason each time that input is skipped
     */
    JsonObjectSplitter(int maxBytes, Consumer<String> objectConsumer, Consumer<String> faultConsumer) {
        this.maxBytes = maxBytes;
        this.objectConsumer = objectConsumer;
        this.faultConsumer = faultConsumer;
    }

    /** Reads the next bytes of the stream; the consumers are called before this returns. */
    void add(byte[] piece) {
        byte[] input = piece;
        int position = 0;
        while (position < input.length) {
            int end = position;
            while (end < input.length && input[end++] != '\n') {
                lineBlank &= input[end - 1] <= ' ';
            }
            String fault = readPart(input, position, end);
            boolean lineEnds = input[end - 1] == '\n';
            if (fault == null && lineEnds && lineBlank && parser != null) {
                fault = "the object is truncated";
            }
            if (fault == null && partialObject.size() > maxBytes) {
                fault = "longer than " + maxBytes + " bytes";
            }
            lineBlank |= lineEnds;
            atLineStart = lineEnds;
            position = end;
            if (fault != null) {
                faultConsumer.accept(fault);
                input = inputAfterFault(Arrays.copyOfRange(input, end, input.length));
                position = 0;
            }
        }
    }

    /** Whether an object has begun and is not yet complete. */
    boolean hasPartialObject() {
        return parser != null;
    }

    /** Reads a line or a part of one; returns the fault found in it, or null. */
    private String readPart(byte[] input, int start, int end) {
        boolean lineStart = atLineStart;
        int position = start;
        while (position < end) {
            if (parser == null) {
                if (input[position] <= ' ') {
                    lineStart = false;
                    position++;
                    continue;
                }
                if (input[position] != '{' || skipping && !lineStart) {
                    boolean alreadySkipping = skipping;
                    skipping = true;
                    return alreadySkipping ? null : "an object cannot begin with '" + (char) input[position] + "'";
                }
                skipping = false;
                depth = 0;
                parser = newParser();
            }
            try {
                int consumedTo = feedParser(input, position, end);
                partialObject.write(input, position, consumedTo - position);
                position = consumedTo;
            } catch (IOException e) {
                partialObject.write(input, position, end - position);
                return String.valueOf(e.getMessage()).lines().findFirst().orElse("malformed JSON");
            }
            if (depth == 0) {
                String text = partialObject.toString(StandardCharsets.UTF_8);
                discardPartialObject();
                objectConsumer.accept(text);
            }
        }
        return null;
    }

    /** Feeds input to the parser up to the end of the object; returns the position after the bytes that it used. */
    private int feedParser(byte[] input, int start, int end) throws IOException {
        int bytesBefore = partialObject.size();
        ((ByteArrayFeeder) parser.getNonBlockingInputFeeder()).feedInput(input, start, end);
        for (JsonToken token = parser.nextToken(); token != JsonToken.NOT_AVAILABLE; token = parser.nextToken()) {
            depth += token.isStructStart() ? 1 : token.isStructEnd() ? -1 : 0;
            if (depth == 0) {
                return start + (int) parser.currentLocation().getByteOffset() - bytesBefore;
            }
        }
        return end;
    }

    /**
     * The input to continue with after a fault: all that followed the first line of the malformed object, including
     * lines that were already read as part of it.
     */
    private byte[] inputAfterFault(byte[] rest) {
        byte[] object = partialObject.toByteArray();
        discardPartialObject();
        skipping = true;
        int lineLength = 0;
        while (lineLength < object.length && object[lineLength] != '\n') {
            lineLength++;
        }
        if (lineLength == object.length) {
            return rest; // the first line goes on in later input, or no object had begun
        }
        int keptBytes = object.length - lineLength - 1;
        byte[] out = Arrays.copyOfRange(object, lineLength + 1, lineLength + 1 + keptBytes + rest.length);
        System.arraycopy(rest, 0, out, keptBytes, rest.length);
        atLineStart = true;
        lineBlank = true;
        return out;
    }

    private static JsonParser newParser() {
        try {
            return JSON.createNonBlockingByteArrayParser();
        } catch (IOException e) {
            throw new IllegalStateException("a parser of a byte array does no I/O", e);
        }
    }

    private void discardPartialObject() {
        partialObject.reset();
        if (parser == null) {
            return; // the fault was found before any object began
        }
        try {
            parser.close();
        } catch (IOException e) {
            throw new IllegalStateException("closing a parser of a byte array does no I/O", e);
        }
        parser = null;
    }
}
