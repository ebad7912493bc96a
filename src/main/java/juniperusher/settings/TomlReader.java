package juniperusher.settings;

import com.eclipsesource.json.Json;
import com.eclipsesource.json.JsonArray;
import com.eclipsesource.json.JsonObject;
import com.eclipsesource.json.JsonValue;
import com.networknt.schema.Error;
import com.networknt.schema.InputFormat;
import com.networknt.schema.SchemaRegistry;
import com.networknt.schema.SpecificationVersion;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.MalformedInputException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.tomlj.Toml;
import org.tomlj.TomlArray;
import org.tomlj.TomlParseResult;
import org.tomlj.TomlPosition;
import org.tomlj.TomlTable;

/**
 * Reads TOML files and validates them against a JSON Schema (draft 2020-12). The schema also holds the
 * defaults; a result contains every key that has one.
 */
public final class TomlReader {
    private final JsonObject schema;
    private final com.networknt.schema.Schema validator;

    /** Thrown for an invalid file or override. The message is one line that says where the error is and what it is. */
    public static final class InvalidTomlException extends IllegalArgumentException {
        private static final long serialVersionUID = 1;

        InvalidTomlException(Path file, int line, String message) {
            super(file + (line > 0 ? ":" + line : "") + ": "
                    + message.lines().findFirst().orElse(""));
        }

        /** An error without a line number, for example in a command-line option. */
        public InvalidTomlException(String where, String message) {
            super(where + ": " + message.lines().findFirst().orElse(""));
        }
    }

    private TomlReader(String schemaText) {
        schema = Json.parse(schemaText).asObject();
        validator = SchemaRegistry.withDefaultDialect(SpecificationVersion.DRAFT_2020_12)
                .getSchema(schemaText);
    }

    /** Creates a reader for a schema, which is a resource in the package of the given class. */
    public static TomlReader withSchema(Class<?> resourceClass, String schemaName) {
        try (InputStream in = resourceClass.getResourceAsStream(schemaName)) {
            return new TomlReader(new String(in.readAllBytes(), StandardCharsets.UTF_8));
        } catch (IOException e) {
            throw new IllegalStateException(schemaName, e); // the schema is part of the jar
        }
    }

    /** Returns the schema that the files are validated against. */
    public JsonObject schema() {
        return schema;
    }

    /**
     * Reads and validates a file and adds the defaults.
     *
     * @param overrides entries of the form KEY=VALUE that replace values of the file. Dots separate the parts of
     *     a key, and a number is an index into an array. A value that is not valid TOML is taken as a string.
     * @throws InvalidTomlException if the file is not valid TOML, or if it or an override has an unknown key or
     *     an invalid value
     * @throws IOException if the file cannot be read
     */
    public JsonObject read(Path file, List<String> overrides) throws IOException {
        TomlParseResult toml;
        try {
            toml = Toml.parse(Files.readString(file));
        } catch (MalformedInputException e) {
            throw new InvalidTomlException(file, 0, "expected TOML in UTF-8");
        }
        if (toml.hasErrors()) {
            var first = toml.errors().get(0);
            throw new InvalidTomlException(file, first.position().line(), first.getMessage());
        }
        JsonObject json = Json.parse(toml.toJson()).asObject();
        Map<String, String> overrideByKey = new HashMap<>();
        for (String override : overrides) {
            applyOverride(json, override, overrideByKey);
        }
        List<Error> errors = new ArrayList<>(validator.validate(json.toString(), InputFormat.JSON));
        if (!errors.isEmpty()) {
            // Reports the first error in the file. Unknown keys come before all other errors, because a misspelt key is
            // often the reason why a required one is missing.
            errors.sort(
                    Comparator.comparing((Error error) -> !error.getKeyword().equals("additionalProperties"))
                            .thenComparingInt(error -> findLine(toml, keyPath(error))));
            Error error = errors.get(0);
            List<String> path = keyPath(error);
            String override = overrideByKey.get(String.join(".", path));
            String message = describeError(error, path, json);
            throw override == null
                    ? new InvalidTomlException(file, findLine(toml, path), message)
                    : new InvalidTomlException("--set " + override, message);
        }
        return (JsonObject) withDefaults(json, schema);
    }

    /** Returns the line of a key, or of the innermost table on its path if the key is missing; 0 if there is none. */
    static int findLine(TomlTable table, List<String> path) {
        TomlPosition position = null;
        Object current = table;
        for (String part : path) {
            TomlPosition next = null;
            if (current instanceof TomlTable inner && inner.contains(List.of(part))) {
                next = inner.inputPositionOf(List.of(part));
                current = inner.get(List.of(part));
            } else if (current instanceof TomlArray inner
                    && part.matches("\\d{1,6}")
                    && Integer.parseInt(part) < inner.size()) {
                next = inner.inputPositionOf(Integer.parseInt(part));
                current = inner.get(Integer.parseInt(part));
            } else {
                break; // the key is missing: the line of the table that should contain it
            }
            position = next == null ? position : next;
        }
        return position == null ? 0 : position.line();
    }

    /** Returns the path of the key that an error is about. For an unknown key that is the key itself, not its table. */
    private static List<String> keyPath(Error error) {
        List<String> path = new ArrayList<>();
        for (int i = 0; i < error.getInstanceLocation().getNameCount(); i++) {
            path.add(String.valueOf(error.getInstanceLocation().getElement(i)));
        }
        if (error.getKeyword().equals("additionalProperties")) {
            path.add(error.getProperty());
        }
        return path;
    }

    /** Returns the text of a validation error without its place in the file. */
    private String describeError(Error error, List<String> path, JsonObject json) {
        String key = path.isEmpty() ? "the file" : "'" + String.join(".", path) + "'";
        if (error.getKeyword().equals("additionalProperties")) {
            JsonObject objectSchema = schema;
            for (String part : path.subList(0, path.size() - 1)) {
                objectSchema = subschema(objectSchema, part);
            }
            return key + " is not known; expected one of "
                    + String.join(
                            ", ", objectSchema.get("properties").asObject().names());
        }
        JsonValue value = valueAt(json, path);
        String text = value.toString();
        return key + (text.length() > 60 || value.isObject() ? "" : " = " + text) + ": "
                + error.getMessage().replaceFirst("^/\\S* ", "");
    }

    /** Returns the schema of a property or of an array element, or the given schema if it declares neither. */
    private static JsonObject subschema(JsonObject schema, String part) {
        JsonValue properties = schema.get("properties");
        JsonValue property = properties == null ? null : properties.asObject().get(part);
        JsonValue items = schema.get("items");
        return property != null ? property.asObject() : items != null ? items.asObject() : schema;
    }

    private static JsonValue valueAt(JsonValue json, List<String> path) {
        JsonValue current = json;
        for (String part : path) {
            current = current.isArray()
                    ? current.asArray().get(Integer.parseInt(part))
                    : current.asObject().get(part);
        }
        return current;
    }

    /** Sets the value of a KEY=VALUE override in the file's content and records the override under its key. */
    private static void applyOverride(JsonObject json, String override, Map<String, String> overrideByKey) {
        int equals = override.indexOf('=');
        if (equals < 1) {
            throw new InvalidTomlException("--set " + override, "expected KEY=VALUE");
        }
        String key = override.substring(0, equals).strip();
        String value = override.substring(equals + 1).strip();
        TomlParseResult toml = Toml.parse("v = " + value);
        JsonValue parsed = toml.hasErrors()
                ? Json.value(value)
                : Json.parse(toml.toJson()).asObject().get("v");
        String[] parts = key.split("\\.");
        JsonValue parent = json;
        try {
            for (int i = 0; i < parts.length - 1; i++) {
                JsonValue next = parent.isArray()
                        ? parent.asArray().get(Integer.parseInt(parts[i]))
                        : parent.asObject().get(parts[i]);
                if (next == null) {
                    next = new JsonObject();
                    parent.asObject().set(parts[i], next);
                }
                parent = next;
            }
            if (parent.isArray()) {
                parent.asArray().set(Integer.parseInt(parts[parts.length - 1]), parsed);
            } else {
                parent.asObject().set(parts[parts.length - 1], parsed);
            }
        } catch (UnsupportedOperationException | NumberFormatException | IndexOutOfBoundsException e) {
            throw new InvalidTomlException(
                    "--set " + override, "expected a key of the file's schema, not '" + key + "'");
        }
        overrideByKey.put(key, override);
    }

    /** Adds the defaults of missing keys. A missing table is added only if the table itself has a default. */
    private static JsonValue withDefaults(JsonValue value, JsonObject schema) {
        if (value.isArray() && schema.get("items") != null) {
            JsonArray out = new JsonArray();
            value.asArray()
                    .forEach(element ->
                            out.add(withDefaults(element, schema.get("items").asObject())));
            return out;
        }
        if (!value.isObject() || schema.get("properties") == null) {
            return value;
        }
        JsonObject out = new JsonObject();
        for (JsonObject.Member member : schema.get("properties").asObject()) {
            JsonObject memberSchema = member.getValue().asObject();
            JsonValue given = value.asObject().get(member.getName());
            JsonValue effective = given != null ? given : memberSchema.get("default");
            if (effective != null) {
                out.add(member.getName(), withDefaults(effective, memberSchema));
            }
        }
        return out;
    }
}
