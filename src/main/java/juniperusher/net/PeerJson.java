package juniperusher.net;

import com.eclipsesource.json.Json;
import com.eclipsesource.json.JsonValue;
import com.eclipsesource.json.ParseException;

/**
 * Parses JSON that comes from outside. The parser recurses into arrays and objects, and threads have small stacks (256
 * KB in the deployed command), so texts that nest deeper than any of the protocol are refused first.
 */
public final class PeerJson {
    private static final int MAX_DEPTH = 32;

    private PeerJson() {}

    /**
     * Parses a text.
     *
     * @throws IllegalArgumentException if it is no JSON or nests too deep; the message is one line
     */
    public static JsonValue parse(String text) {
        if (depth(text) > MAX_DEPTH) {
            throw new IllegalArgumentException("arrays and objects nest deeper than " + MAX_DEPTH);
        }
        try {
            return Json.parse(text);
        } catch (ParseException e) {
            throw new IllegalArgumentException(e.getMessage(), e);
        }
    }

    /** How deep arrays and objects nest at most, until the text ends or stops to be JSON. */
    private static int depth(String text) {
        int depth = 0;
        int deepest = 0;
        boolean inString = false;
        for (int i = 0; i < text.length(); i++) {
            char c = text.charAt(i);
            if (inString && c == '\\') {
                i++; // the character behind it does not end the string
            } else if (c == '"') {
                inString = !inString;
            } else if (!inString && (c == '[' || c == '{')) {
                deepest = Math.max(deepest, ++depth);
            } else if (!inString && (c == ']' || c == '}')) {
                depth--;
            }
        }
        return deepest;
    }
}
