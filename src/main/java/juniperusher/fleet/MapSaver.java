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
 * Writes the newest map into its {@link MapFile} on a thread of its own, as a disk may be slow and the event loop must
 * not wait. Of maps that come while one is written only the last is. Any thread may call it.
 */
final class MapSaver implements AutoCloseable {
    private static final Logger LOG = LoggerFactory.getLogger(MapSaver.class);
    private static final long LAST_SECONDS = 2; // for a write that is under way at the end

    private final MapFile file;
    private final ShardMapCodec codec = new ShardMapCodec();
    private final AtomicReference<Pending> newest = new AtomicReference<>();
    private final ExecutorService writer;

    private record Pending(Version version, ShardMap map) {}

    MapSaver(MapFile file) {
        this.file = file;
        writer = new ThreadPoolExecutor(0, 1, 1, TimeUnit.SECONDS, new LinkedBlockingQueue<>(), task -> {
            Thread thread = new Thread(task, "shard-map-file");
            thread.setDaemon(true);
            return thread;
        });
    }

    /** The map is to be saved; a failure costs a line in the log. */
    void save(Version version, ShardMap map) {
        if (newest.getAndSet(new Pending(version, map)) == null) {
            writer.execute(this::write);
        }
    }

    /** Runs the task on the writing thread, behind what was to be saved before. */
    void execute(Runnable task) {
        writer.execute(task);
    }

    private void write() {
        Pending pending = newest.getAndSet(null);
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
            writer.awaitTermination(LAST_SECONDS, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
