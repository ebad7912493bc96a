package juniperusher.fleet;

import java.io.IOException;
import java.time.Instant;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import juniperusher.distribution.Version;
import juniperusher.shard.ShardMap;
import juniperusher.shard.ShardMapCodec;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Saves the newest map in its {@link MapFile} on a thread of its own, because the event loop must not wait for a slow
 * disk. Of several maps that arrive while one is written, only the last is saved. Any thread may call the methods.
 */
final class MapSaver implements AutoCloseable {
    private static final Logger LOG = LoggerFactory.getLogger(MapSaver.class);
    private static final long CLOSE_TIMEOUT_SECONDS = 2; // for a write that has begun

    private final MapFile file;
    private final ShardMapCodec codec = new ShardMapCodec();
    private final AtomicReference<PendingMap> newestPending = new AtomicReference<>();
    private final ExecutorService writer;

    private record PendingMap(Version version, ShardMap map) {}

    MapSaver(MapFile file) {
        this.file = file;
        writer = new ThreadPoolExecutor(0, 1, 1, TimeUnit.SECONDS, new LinkedBlockingQueue<>(), task -> {
            Thread thread = new Thread(task, "shard-map-file");
            thread.setDaemon(true);
            return thread;
        });
    }

    /** Saves the map later, unless a newer one replaces it. A failure is only logged. */
    void save(Version version, ShardMap map) {
        if (newestPending.getAndSet(new PendingMap(version, map)) == null) {
            writer.execute(this::writePending);
        }
    }

    /** Runs the task on the saver's thread, after all earlier saves and tasks. */
    void execute(Runnable task) {
        writer.execute(task);
    }

    private void writePending() {
        PendingMap pending = newestPending.getAndSet(null);
        if (pending == null) {
            return;
        }
        try {
            file.write(pending.version(), codec.encode(pending.map()), Instant.now());
        } catch (IOException | RuntimeException e) {
            LOG.atWarn()
                    .addKeyValue("file", file.path())
                    .addKeyValue("reason", e.getMessage())
                    .log("the shard map cannot be saved");
        }
    }

    @Override
    public void close() {
        writer.shutdown();
        try {
            writer.awaitTermination(CLOSE_TIMEOUT_SECONDS, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
