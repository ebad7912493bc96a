package juniperusher.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.eclipsesource.json.Json;
import com.eclipsesource.json.WriterConfig;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Objects of a watch's stream, with the input cut at any byte: indented, malformed, truncated or too long. */
class JsonObjectSplitterTest {
    private static final String FIRST = "{\"version\":1,\"servers\":[{\"id\":\"a{\\\"}\\n[é\"}]}";
    private static final String SECOND = "{\"version\":2,\"servers\":[]}";
    private static final String INDENTED = Json.parse(FIRST).toString(WriterConfig.PRETTY_PRINT);

    private final List<String> objects = new ArrayList<>();
    private int faults;

    /** Feeds the stream in pieces of {@code pieceBytes} to a new splitter and returns the objects found. */
    private List<String> split(String stream, int pieceBytes) {
        objects.clear();
        faults = 0;
        JsonObjectSplitter splitter = new JsonObjectSplitter(200, objects::add, why -> faults++);
        byte[] bytes = stream.getBytes(StandardCharsets.UTF_8);
        for (int from = 0; from < bytes.length; from += pieceBytes) {
            splitter.add(java.util.Arrays.copyOfRange(bytes, from, Math.min(bytes.length, from + pieceBytes)));
        }
        return objects;
    }

    private void assertSplitAtAnyByte(String stream, int expectedFaults, String... expected) {
        for (int pieceBytes = 1; pieceBytes <= stream.length() + 2; pieceBytes++) {
            assertEquals(List.of(expected), split(stream, pieceBytes), "pieces of " + pieceBytes);
            assertEquals(expectedFaults, faults, "faults with pieces of " + pieceBytes);
        }
    }

    @Test
    void objectsAreFoundWhereverTheInputIsCutAndTheirLinesBreak() {
        assertTrue(INDENTED.lines().count() > 4);
        assertSplitAtAnyByte("\n" + FIRST + "\n\r\n" + SECOND + "\n", 0, FIRST, SECOND);
        assertSplitAtAnyByte(INDENTED + "\n\n" + INDENTED + "\n" + SECOND + "\n", 0, INDENTED, INDENTED, SECOND);
        assertSplitAtAnyByte(FIRST + SECOND + " " + FIRST + "\n", 0, FIRST, SECOND, FIRST);
        assertSplitAtAnyByte(INDENTED.replace("\n", "\r\n") + "\r\n", 0, INDENTED.replace("\n", "\r\n"));
    }

    @Test
    void onlyTheMalformedObjectIsLost() {
        for (String bad : List.of(
                "{\"version\":2,\"servers\":[",
                "{\"a\" 1}",
                "{\"a\":\"",
                "[1]",
                "oops",
                "{\"a\":1}}",
                "{\n  \"a\" 7\n  }",
                "{\n  \"a\": [\n")) {
            String before = bad.equals("{\"a\":1}}") ? "{\"a\":1}" : null;
            String stream = FIRST + "\n" + bad + "\n" + INDENTED + "\n" + SECOND + "\n";
            if (before == null) {
                assertSplitAtAnyByte(stream, 1, FIRST, INDENTED, SECOND);
            } else {
                assertSplitAtAnyByte(stream, 1, FIRST, before, INDENTED, SECOND);
            }
        }
    }

    @Test
    void aBlankLineEndsAnIncompleteObject() {
        assertSplitAtAnyByte(FIRST + "\n{\"version\":2,\"servers\":[\n\n", 1, FIRST);
        assertSplitAtAnyByte("{\n  \"version\":2,\n \r\n" + SECOND + "\n", 1, SECOND);
    }

    @Test
    void anObjectThatIsTooLongIsSkippedAndTheNextOneIsRead() {
        String endless = "{\"a\":[" + "1,".repeat(150);
        assertSplitAtAnyByte(endless + "\n" + SECOND + "\n", 1, SECOND);
        split("{\"a\":\"" + "x".repeat(100_000) + "\"}\n" + SECOND + "\n", 64);
        assertEquals(List.of(SECOND), objects);
        split("{\"a\":[\n" + "1,\n".repeat(100_000) + "1]}\n" + SECOND + "\n", 64);
        assertEquals(List.of(SECOND), objects);
    }
}
