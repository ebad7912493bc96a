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
import juniperusher.files.AtomicFile;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Retry-after delays of destinations, shared by the two processes of an upgrade through the state folder: destinations
 * see one relay, so a delay announced to either process binds both. The file {@code waits} holds one line for each
 * destination: its number and the end of the delay in milliseconds of {@link SteadyClock}. It is written to a new file
 * and moved into place; expired delays are dropped then. Safe for threads.
 */
final class SharedRetryDelays {
    private static final Logger LOG = LoggerFactory.getLogger(SharedRetryDelays.class);
    static final String FILE_NAME = "waits";

    private static final Object IN_PROCESS_LOCK = new Object(); // a file lock excludes other processes only

    private final Path folder;
    private Map<Integer, Long> lastReturned = Map.of(); // content of the file at the last change returned

    SharedRetryDelays(Path folder) {
        this.folder = folder;
    }

    /**
     * Adds a delay that was announced to this process. A shorter delay does not end an earlier longer one. The lock is
     * held from reading to writing, so that no delay of the other process is lost. Delays read here are still returned
     * by the next {@link #pollChanges}.
     */
    void add(int destination, long untilMillis) {
        synchronized (IN_PROCESS_LOCK) {
            try (FileChannel channel = FileChannel.open(
                            folder.resolve(FILE_NAME + ".lock"), StandardOpenOption.CREATE, StandardOpenOption.WRITE);
                    FileLock lock = channel.lock()) {
                addToFile(destination, untilMillis);
            } catch (IOException e) {
                LOG.atWarn()
                        .addKeyValue("destination", destination)
                        .log("a retry-after delay cannot be shared: {}", e.toString());
            }
        }
    }

    private void addToFile(int destination, long untilMillis) throws IOException {
        Map<Integer, Long> untilByDestination = readFile();
        untilByDestination.merge(destination, untilMillis, Math::max);
        long nowMillis = SteadyClock.millis();
        untilByDestination.values().removeIf(until -> until <= nowMillis);
        StringBuilder content = new StringBuilder();
        untilByDestination.forEach((number, until) ->
                content.append(number).append(' ').append(until).append('\n'));
        AtomicFile.write(folder.resolve(FILE_NAME), content.toString());
    }

    /** Returns the delays that have not expired, if the file changed since the last change returned; otherwise null. */
    synchronized Map<Integer, Long> pollChanges() {
        Map<Integer, Long> untilByDestination = readFile();
        if (untilByDestination.equals(lastReturned)) {
            return null;
        }
        lastReturned = Map.copyOf(untilByDestination);
        long nowMillis = SteadyClock.millis();
        untilByDestination.values().removeIf(until -> until <= nowMillis);
        return untilByDestination;
    }

    private Map<Integer, Long> readFile() {
        Map<Integer, Long> untilByDestination = new HashMap<>();
        try {
            for (String line : Files.readAllLines(folder.resolve(FILE_NAME))) {
                String[] parts = line.split(" ");
                if (parts.length == 2) {
                    untilByDestination.merge(Integer.parseInt(parts[0]), Long.parseLong(parts[1]), Math::max);
                }
            }
        } catch (NoSuchFileException e) {
            return untilByDestination;
        } catch (IOException | NumberFormatException e) {
            LOG.atWarn().log("shared retry-after delays cannot be read: {}", e.toString());
        }
        return untilByDestination;
    }
}
