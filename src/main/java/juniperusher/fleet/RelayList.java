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

/** A file that names the fleet's relays, a line {@code NAME REGION ZONE WEIGHT} for each; {@code #} is a comment. */
final class RelayList {
    private static final Pattern NAME = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._-]{0,63}");
    private static final Pattern WEIGHT = Pattern.compile("[1-9]\\d{0,5}");
    private static final int FIELDS = 4;

    private RelayList() {}

    /**
     * Reads the file.
     *
     * @throws IllegalArgumentException in one line with file and line, where it says something else
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

    /** A relay by its words; {@code where} begins the message of what cannot be read. */
    static RelayInfo parse(String text, String where) {
        String[] words = text.split("\\s+");
        if (words.length != FIELDS) {
            throw new IllegalArgumentException(where + ": expected 'NAME REGION ZONE WEIGHT', got '" + text + "'");
        }
        for (int i = 0; i < FIELDS - 1; i++) {
            if (!NAME.matcher(words[i]).matches()) {
                throw new IllegalArgumentException(
                        where + ": '" + words[i] + "': expected letters, digits, '.', '_', '-'");
            }
        }
        if (!WEIGHT.matcher(words[FIELDS - 1]).matches()) {
            throw new IllegalArgumentException(where + ": weight '" + words[FIELDS - 1] + "': expected 1 to 999999");
        }
        return new RelayInfo(words[0], words[1], words[2], Integer.parseInt(words[FIELDS - 1]));
    }
}
