package juniperusher.core;

import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.HashMap;
import java.util.Map;
import juniperusher.clock.SteadyClock;
import juniperusher.files.ReplacedFile;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Waits that destinations told, in the folder that lasts, for the other process of an upgrade: the rules see
 * one relay, so a wait told to either binds both. The file {@code waits} holds one line a destination, its
 * number and the time in ms until which it waits, see {@link SteadyClock}; it is written whole and moved into place.
 * Waits that are over are dropped when it is written.
 */
final class SharedWaits {
    private static final Logger LOG = LoggerFactory.getLogger(SharedWaits.class);
    static final String NAME = "waits";

    private static final Object IN_PROCESS = new Object(); // a file lock holds between processes alone

    private final Path folder;
    private Map<Integer, Long> seen = Map.of(); // what the file held when it was handed on last

    SharedWaits(Path folder) {
        this.folder = folder;
    }

    /**
     * Adds a wait told here; a shorter one never cuts a longer one short. Guards the other process's waits:
     * nobody writes between this reading and writing, and what is read here still counts as not handed on.
     */
    void told(int destination, long untilMillis) {
        synchronized (IN_PROCESS) {
            try (FileChannel channel = FileChannel.open(
                            folder.resolve(NAME + ".lock"), StandardOpenOption.CREATE, StandardOpenOption.WRITE);
                    FileLock lock = channel.lock()) {
                add(destination, untilMillis);
            } catch (IOException e) {
                LOG.atWarn().addKeyValue("destination", destination).log("a wait is not shared: {}", e.toString());
            }
        }
    }

    private void add(int destination, long untilMillis) throws IOException {
        Map<Integer, Long> all = read();
        all.merge(destination, untilMillis, Math::max);
        long now = SteadyClock.millis();
        all.values().removeIf(until -> until <= now);
        StringBuilder text = new StringBuilder();
        all.forEach(
                (number, until) -> text.append(number).append(' ').append(until).append('\n'));
        ReplacedFile.write(folder.resolve(NAME), text.toString());
    }

    /** The waits that are not over, if they changed since they were handed on last; else null. */
    synchronized Map<Integer, Long> changed() {
        Map<Integer, Long> all = read();
        if (all.equals(seen)) {
            return null;
        }
        seen = Map.copyOf(all);
        long now = SteadyClock.millis();
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
