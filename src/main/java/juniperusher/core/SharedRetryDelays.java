package juniperusher.core;

import java.io.IOException;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.Map;
import juniperusher.clock.SteadyClock;
import juniperusher.files.SharedFile;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Retry-after delays of destinations, shared by the two processes of an upgrade through the state folder: destinations
 * see one relay, so a delay announced to either process binds both. The file {@code waits} holds one line for each
 * destination: its number and the end of the delay in milliseconds of {@link SteadyClock}. Expired delays are dropped
 * at each change. A delay that cannot be stored stays pending until the next {@link #add} or {@link #pollChanges}. Safe
 * for threads.
 */
final class SharedRetryDelays {
    private static final Logger LOG = LoggerFactory.getLogger(SharedRetryDelays.class);
    static final String FILE_NAME = "waits";

    // A network thread waits that long; the next poll tries again.
    private static final long LOCK_TIMEOUT_MILLIS = 10;

    private final SharedFile file;
    private final Map<Integer, Long> pending = new HashMap<>(); // announced to this process and not stored yet
    private final Object lastReturnedLock = new Object();
    private Map<Integer, Long> lastReturned = Map.of(); // content of the file at the last change returned
    private boolean storeFailed; // guarded by pending, as are the delays in it

    SharedRetryDelays(Path folder) {
        file = new SharedFile(folder.resolve(FILE_NAME), LOCK_TIMEOUT_MILLIS);
    }

    /**
     * Adds a delay that was announced to this process. A shorter delay does not end an earlier longer one. Delays of
     * the other process that are read here are still returned by the next {@link #pollChanges}.
     */
    void add(int destination, long untilMillis) {
        synchronized (pending) {
            pending.merge(destination, untilMillis, Math::max);
            storePending();
        }
    }

    private void storePending() {
        if (pending.isEmpty()) {
            return;
        }
        try {
            file.update(this::withPending);
            pending.clear();
            storeFailed = false;
        } catch (IOException e) {
            if (!storeFailed) {
                storeFailed = true;
                LOG.atWarn()
                        .addKeyValue("destinations", pending.keySet())
                        .log("a retry-after delay cannot be shared yet: {}", e.toString());
            }
        }
    }

    private String withPending(String content) {
        Map<Integer, Long> untilByDestination = parse(content);
        pending.forEach((destination, until) -> untilByDestination.merge(destination, until, Math::max));
        long nowMillis = SteadyClock.millis();
        untilByDestination.values().removeIf(until -> until <= nowMillis);
        StringBuilder lines = new StringBuilder();
        untilByDestination.forEach((number, until) ->
                lines.append(number).append(' ').append(until).append('\n'));
        return lines.toString();
    }

    /**
     * Stores pending delays, and returns the delays that have not expired if the file changed since the last change
     * returned; otherwise null.
     */
    Map<Integer, Long> pollChanges() {
        synchronized (pending) {
            storePending();
        }
        synchronized (lastReturnedLock) {
            Map<Integer, Long> untilByDestination = readFile();
            if (untilByDestination.equals(lastReturned)) {
                return null;
            }
            lastReturned = Map.copyOf(untilByDestination);
            long nowMillis = SteadyClock.millis();
            untilByDestination.values().removeIf(until -> until <= nowMillis);
            return untilByDestination;
        }
    }

    private Map<Integer, Long> readFile() {
        try {
            return parse(file.read());
        } catch (IOException e) {
            LOG.atWarn().log("shared retry-after delays cannot be read: {}", e.toString());
            return new HashMap<>();
        }
    }

    private static Map<Integer, Long> parse(String content) {
        Map<Integer, Long> untilByDestination = new HashMap<>();
        if (content == null) {
            return untilByDestination;
        }
        for (String line : content.split("\n")) {
            String[] parts = line.split(" ");
            if (parts.length != 2) {
                continue;
            }
            try {
                untilByDestination.merge(Integer.parseInt(parts[0]), Long.parseLong(parts[1]), Math::max);
            } catch (NumberFormatException e) {
                LOG.atWarn().log("a line of the shared retry-after delays is ignored: {}", e.toString());
            }
        }
        return untilByDestination;
    }
}
