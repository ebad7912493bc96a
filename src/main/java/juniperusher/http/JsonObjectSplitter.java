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
 * Cuts a stream that never ends into the JSON objects in it, wherever their lines break. Jackson's parser,
 * which does not block, finds where an object ends. A spoilt one is passed over up to the next line that
 * begins with a brace, so that what comes behind it is read; and since a blank line is what the agent sends
 * while nothing changes, it ends an object that is still open.
 */
final class JsonObjectSplitter {
    private static final JsonFactory JSON = JsonFactory.builder()
            .disable(JsonFactory.Feature.INTERN_FIELD_NAMES)
            .build(); // names from outside stay no longer

    private final int maxBytes;
    private final Consumer<String> objectConsumer;
    private final Consumer<String> faultConsumer;
    private final ByteArrayOutputStream partialObject = new ByteArrayOutputStream(); // of the object that is open
    private JsonParser parser; // of the object that is open, or null
    private int depth;
    private boolean skipping; // over what belongs to a spoilt object
    private boolean atLineStart = true; // of a line
    private boolean lineBlank = true; // the line so far

    /**
     * Objects of at most {@code most} bytes go to {@code object}; {@code spoilt} is told what was wrong where
     * something is passed over.
     */
    JsonObjectSplitter(int maxBytes, Consumer<String> objectConsumer, Consumer<String> faultConsumer) {
        this.maxBytes = maxBytes;
        this.objectConsumer = objectConsumer;
        this.faultConsumer = faultConsumer;
    }

    /** The next bytes of the stream. */
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
                fault = "it ends in the middle";
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

    /** Whether an object has begun that is not over. */
    boolean hasPartialObject() {
        return parser != null;
    }

    /** Reads a line or a part of one; what is wrong with it, or null. */
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
                    return alreadySkipping ? null : "no object begins with '" + (char) input[position] + "'";
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
                return String.valueOf(e.getMessage()).lines().findFirst().orElse("not JSON");
            }
            if (depth == 0) {
                String text = partialObject.toString(StandardCharsets.UTF_8);
                discardPartialObject();
                objectConsumer.accept(text);
            }
        }
        return null;
    }

    /** Has the parser read on, up to the object's end at most; up to where it has read. */
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

    /** What is to be read anew after a fault: all that came behind the first line of the spoilt object. */
    private byte[] inputAfterFault(byte[] rest) {
        byte[] object = partialObject.toByteArray();
        discardPartialObject();
        skipping = true;
        int lineLength = 0;
        while (lineLength < object.length && object[lineLength] != '\n') {
            lineLength++;
        }
        if (lineLength == object.length) {
            return rest; // the line goes on, or ended with what was wrong
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
            throw new IllegalStateException("a parser of bytes in memory opens nothing", e);
        }
    }

    private void discardPartialObject() {
        partialObject.reset();
        if (parser == null) {
            return; // what was wrong did not even begin an object
        }
        try {
            parser.close();
        } catch (IOException e) {
            throw new IllegalStateException("a parser of bytes in memory has nothing to close", e);
        }
        parser = null;
    }
}
