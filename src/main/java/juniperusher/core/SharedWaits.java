package juniperusher.core;

import java.io.IOException;
import java.nio.file.AtomicMoveNotSupportedException;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.HashMap;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Waits that destinations told, in the folder that lasts, for the other process of an upgrade: the rules see
 * one relay, so a wait told to either binds both. The file {@code waits} holds one line a destination, its
 * number and the wall-clock time in ms until which it waits; it is written whole and moved into place.
 * Waits that are over are dropped when it is written.
 */
final class SharedWaits {
    private static final Logger LOG = LoggerFactory.getLogger(SharedWaits.class);
    static final String NAME = "waits";

    private final Path folder;
    private long seen = -1; // the file's time when it was read last

    SharedWaits(Path folder) {
        this.folder = folder;
    }

    /** Adds a wait told here; a shorter one never cuts a longer one short. */
    synchronized void told(int destination, long untilMillis) {
        Map<Integer, Long> all = read();
        all.merge(destination, untilMillis, Math::max);
        long now = System.currentTimeMillis();
        all.values().removeIf(until -> until <= now);
        StringBuilder text = new StringBuilder();
        all.forEach((number, until) -> text.append(number).append(' ').append(until).append('\n'));
        Path beside = folder.resolve(NAME + ".new-" + ProcessHandle.current().pid());
        try {
            Files.writeString(beside, text);
            try {
                Files.move(beside, folder.resolve(NAME), StandardCopyOption.ATOMIC_MOVE,
                        StandardCopyOption.REPLACE_EXISTING);
            } catch (AtomicMoveNotSupportedException e) {
                Files.move(beside, folder.resolve(NAME), StandardCopyOption.REPLACE_EXISTING);
            }
            seen = Files.getLastModifiedTime(folder.resolve(NAME)).toMillis();
        } catch (IOException e) {
            LOG.atWarn().addKeyValue("destination", destination).log("a wait is not shared: {}",
                    e.toString());
        }
    }

    /** The waits that are not over, if the file changed since it was read last; else null. */
    synchronized Map<Integer, Long> changed() {
        long time;
        try {
            time = Files.getLastModifiedTime(folder.resolve(NAME)).toMillis();
        } catch (IOException e) {
            return null;
        }
        if (time == seen) {
            return null;
        }
        seen = time;
        Map<Integer, Long> all = read();
        long now = System.currentTimeMillis();
        all.values().removeIf(until -> until <= now);
        return all;
    }

    private Map<Integer, Long> read() {
        Map<Integer, Long> all = new HashMap<>();
        try {
            for (String line : Files.readAllLines(folder.resolve(NAME))) {
                String[] parts = line.split(" ");
                if (parts.length == 2) {
                    all.merge(Integer.parseInt(parts[0]), Long.parseLong(parts[1]), Math::max);
                }
            }
        } catch (NoSuchFileException e) {
            return all;
        } catch (IOException | NumberFormatException e) {
            LOG.atWarn().log("shared waits cannot be read: {}", e.toString());
        }
        return all;
    }
}
