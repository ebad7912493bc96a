package juniperusher.fleet;

import java.io.IOException;
import java.nio.charset.MalformedInputException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.regex.Pattern;
import juniperusher.shard.RelayInfo;

/**
 * Reads the list of the fleet's relays: a line {@code NAME REGION ZONE WEIGHT} per relay; {@code #} starts a comment.
 */
final class RelayList {
    private static final Pattern NAME = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._-]{0,63}");
    private static final Pattern WEIGHT = Pattern.compile("[1-9]\\d{0,5}");
    private static final int FIELD_COUNT = 4;

    private RelayList() {}

    /**
     * Reads the file.
     *
     * @throws IllegalArgumentException with a one-line message that names file and line, if the content is invalid
     */
    static List<RelayInfo> read(Path file) throws IOException {
        List<String> lines;
        try {
            lines = Files.readAllLines(file);
        } catch (MalformedInputException e) {
            throw new IllegalArgumentException(file + ": expected text in UTF-8", e);
        }
        List<RelayInfo> relays = new ArrayList<>();
        Set<String> names = new HashSet<>();
        for (int i = 0; i < lines.size(); i++) {
            String line = lines.get(i).replaceFirst("#.*", "").strip();
            if (!line.isEmpty()) {
                RelayInfo relay = parse(line, file + ":" + (i + 1));
                if (!names.add(relay.name())) {
                    throw new IllegalArgumentException(
                            file + ":" + (i + 1) + ": relay '" + relay.name() + "' is named twice");
                }
                relays.add(relay);
            }
        }
        if (relays.isEmpty()) {
            throw new IllegalArgumentException(file + ": expected a line 'NAME REGION ZONE WEIGHT' for each relay");
        }
        return relays;
    }

    /**
     * Parses one relay.
     *
     * @param position prefix of error messages: file and line, or the operator command
     */
    static RelayInfo parse(String text, String position) {
        String[] fields = text.split("\\s+");
        if (fields.length != FIELD_COUNT) {
            throw new IllegalArgumentException(position + ": expected 'NAME REGION ZONE WEIGHT', got '" + text + "'");
        }
        for (int i = 0; i < FIELD_COUNT - 1; i++) {
            if (!NAME.matcher(fields[i]).matches()) {
                throw new IllegalArgumentException(
                        position + ": '" + fields[i] + "': expected letters, digits, '.', '_', '-'");
            }
        }
        if (!WEIGHT.matcher(fields[FIELD_COUNT - 1]).matches()) {
            throw new IllegalArgumentException(
                    position + ": weight '" + fields[FIELD_COUNT - 1] + "': expected 1 to 999999");
        }
        return new RelayInfo(fields[0], fields[1], fields[2], Integer.parseInt(fields[FIELD_COUNT - 1]));
    }
}
