package juniperusher.fleet;

import java.io.IOException;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.function.Consumer;
import juniperusher.distribution.DamagedStateException;
import juniperusher.distribution.Version;
import juniperusher.shard.ShardMap;
import juniperusher.shard.ShardMapCodec;
import juniperusher.shard.ShardMapException;
import juniperusher.shard.ShardMapStep;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The leader's map and the changes that wait for their epoch. Changes that come while an epoch is being saved share
 * the next one. An epoch is computed and on disk before it is published, and computing and saving are done on the
 * saver's thread; everything else on the loop's.
 */
final class LeaderMap {
    private static final Logger LOG = LoggerFactory.getLogger(LeaderMap.class);
    private static final int MAX_WAITING = 16_384; // changes
    private static final int MAX_BATCH = 512; // changes in one epoch, so that its delta fits a frame

    private final EventLoop loop;
    private final ControlServer server;
    private final MapFile file;
    private final MapSaver saver;
    private final ShardMapCodec codec = new ShardMapCodec();
    private final Queue<Change> waiting = new ArrayDeque<>();
    private ShardMap map;
    private boolean committing;
    private boolean deposed;

    /** What an operator asked for, and who hears of it: the epoch in which it is, or why it is refused. */
    private record Change(List<ShardMapStep> steps, Consumer<String> reply) {}

    /** An epoch that is on disk. */
    private record Epoch(ShardMap map, byte[] delta, List<Change> changes) {}

    LeaderMap(EventLoop loop, ControlServer server, MapFile file, MapSaver saver, ShardMap map) {
        this.loop = loop;
        this.server = server;
        this.file = file;
        this.saver = saver;
        this.map = map;
    }

    /** The change is to be made; the reply comes on the loop's thread. */
    void submit(List<ShardMapStep> steps, Consumer<String> reply) {
        if (deposed) {
            reply.accept("refused: this process does not lead any more");
        } else if (waiting.size() >= MAX_WAITING) {
            reply.accept("refused: " + MAX_WAITING + " changes wait already");
        } else {
            waiting.add(new Change(steps, reply));
            commitNext();
        }
    }

    /** Another process leads: nothing is published any more. */
    void deposed() {
        deposed = true;
        waiting.forEach(change -> change.reply().accept("refused: this process does not lead any more"));
        waiting.clear();
    }

    private void commitNext() {
        if (committing || waiting.isEmpty() || deposed) {
            return;
        }
        committing = true;
        List<Change> batch = new ArrayList<>();
        while (batch.size() < MAX_BATCH && !waiting.isEmpty()) {
            batch.add(waiting.poll());
        }
        ShardMap base = map;
        Version newest = server.process().publisher().newest();
        Version next = new Version(newest.term(), newest.revision() + 1);
        saver.execute(() -> commit(base, next, batch));
    }

    private void commit(ShardMap base, Version version, List<Change> batch) {
        Epoch epoch = null;
        String failure = null;
        try {
            epoch = next(base, batch);
            if (epoch != null) {
                file.write(version, codec.encode(epoch.map()), Instant.now());
            }
        } catch (IOException | RuntimeException e) {
            failure = "the new map cannot be saved: " + e.getMessage();
            LOG.atError().setCause(e).log("the new map cannot be saved");
        }
        Epoch done = epoch;
        String reason = failure;
        loop.execute(() -> finish(done, batch, reason));
    }

    /** The epoch with all changes that fit; null where none does. Those that do not are told so. */
    private Epoch next(ShardMap base, List<Change> batch) {
        List<Change> fitting = batch;
        ShardMap next = together(base, batch);
        if (next == null) {
            fitting = new ArrayList<>();
            List<ShardMapStep> steps = new ArrayList<>();
            for (Change change : batch) {
                List<ShardMapStep> more = new ArrayList<>(steps);
                more.addAll(change.steps());
                try {
                    next = base.next(more);
                    steps = more;
                    fitting.add(change);
                } catch (ShardMapException e) {
                    loop.execute(() -> change.reply().accept("refused: " + e.getMessage()));
                }
            }
        }
        return next == null ? null : new Epoch(next, codec.encodeDelta(base, next), fitting);
    }

    private static ShardMap together(ShardMap base, List<Change> batch) {
        List<ShardMapStep> steps = new ArrayList<>();
        batch.forEach(change -> steps.addAll(change.steps()));
        try {
            return base.next(steps);
        } catch (ShardMapException e) {
            return null; // one of them does not fit: each is tried by itself
        }
    }

    private void finish(Epoch epoch, List<Change> batch, String failure) {
        committing = false;
        if (failure != null) {
            batch.forEach(change -> change.reply().accept("refused: " + failure));
        } else if (epoch != null) {
            publish(epoch);
        }
        commitNext();
    }

    private void publish(Epoch epoch) {
        String answer;
        try {
            server.publish(List.of(epoch.delta()));
            map = epoch.map();
            answer = "ok epoch " + map.epoch();
        } catch (DamagedStateException | IllegalStateException | IllegalArgumentException e) {
            LOG.atError().setCause(e).log("an epoch cannot be published");
            answer = "refused: " + e.getMessage();
        }
        for (Change change : epoch.changes()) {
            change.reply().accept(answer);
        }
    }
}
