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
 * Applies requested changes to the leader's map. Changes that arrive while an epoch is being saved are combined into
 * the next one. An epoch is saved before it is published. Epochs are computed and saved on the saver's thread;
 * everything else runs on the loop's thread.
 */
final class LeaderMap {
    private static final Logger LOG = LoggerFactory.getLogger(LeaderMap.class);
    private static final int MAX_PENDING_CHANGES = 16_384;
    private static final int MAX_CHANGES_PER_EPOCH = 512; // so that the delta fits into one frame

    private final EventLoop loop;
    private final ControlServer server;
    private final MapFile file;
    private final MapSaver saver;
    private final ShardMapCodec codec = new ShardMapCodec();
    private final Queue<Change> pendingChanges = new ArrayDeque<>();
    private ShardMap map;
    private boolean committing;
    private boolean leadershipLost;

    /** A change that an operator requested. The reply is the epoch that contains it, or the reason for its refusal. */
    private record Change(List<ShardMapStep> steps, Consumer<String> reply) {}

    /** A new map, its delta from the current map, and the changes that it contains. */
    private record Epoch(ShardMap map, byte[] delta, List<Change> changes) {}

    LeaderMap(EventLoop loop, ControlServer server, MapFile file, MapSaver saver, ShardMap map) {
        this.loop = loop;
        this.server = server;
        this.file = file;
        this.saver = saver;
        this.map = map;
    }

    /** Requests a change, whose steps are applied together or not at all. The reply is given on the loop's thread. */
    void submit(List<ShardMapStep> steps, Consumer<String> reply) {
        if (leadershipLost) {
            reply.accept("refused: this process does not lead any more");
        } else if (pendingChanges.size() >= MAX_PENDING_CHANGES) {
            reply.accept("refused: " + MAX_PENDING_CHANGES + " changes wait already");
        } else {
            pendingChanges.add(new Change(steps, reply));
            commitNext();
        }
    }

    /** Refuses all pending and later changes, because another process leads under a newer term. */
    void leadershipLost() {
        leadershipLost = true;
        pendingChanges.forEach(change -> change.reply().accept("refused: this process does not lead any more"));
        pendingChanges.clear();
    }

    private void commitNext() {
        if (committing || pendingChanges.isEmpty() || leadershipLost) {
            return;
        }
        committing = true;
        List<Change> batch = new ArrayList<>();
        while (batch.size() < MAX_CHANGES_PER_EPOCH && !pendingChanges.isEmpty()) {
            batch.add(pendingChanges.poll());
        }
        ShardMap base = map;
        Version newest = server.process().publisher().newestVersion();
        Version nextVersion = new Version(newest.term(), newest.revision() + 1);
        saver.execute(() -> commit(base, nextVersion, batch));
    }

    private void commit(ShardMap base, Version version, List<Change> batch) {
        Epoch epoch = null;
        String failure = null;
        try {
            epoch = createEpoch(base, batch);
            if (epoch != null) {
                file.write(version, codec.encode(epoch.map()), Instant.now());
            }
        } catch (IOException | RuntimeException e) {
            failure = "the new map cannot be saved: " + e.getMessage();
            LOG.atError().setCause(e).log("the new map cannot be saved");
        }
        Epoch savedEpoch = epoch;
        String reason = failure;
        loop.execute(() -> commitFinished(savedEpoch, batch, reason));
    }

    /** Creates an epoch of all changes that can be applied and refuses the others; null if none can be applied. */
    private Epoch createEpoch(ShardMap base, List<Change> batch) {
        List<Change> applicable = batch;
        ShardMap next = applyAll(base, batch);
        if (next == null) {
            applicable = new ArrayList<>();
            List<ShardMapStep> steps = new ArrayList<>();
            for (Change change : batch) {
                List<ShardMapStep> extended = new ArrayList<>(steps);
                extended.addAll(change.steps());
                try {
                    next = base.withSteps(extended);
                    steps = extended;
                    applicable.add(change);
                } catch (ShardMapException e) {
                    loop.execute(() -> change.reply().accept("refused: " + e.getMessage()));
                }
            }
        }
        return next == null ? null : new Epoch(next, codec.encodeDelta(base, next), applicable);
    }

    private static ShardMap applyAll(ShardMap base, List<Change> batch) {
        List<ShardMapStep> steps = new ArrayList<>();
        batch.forEach(change -> steps.addAll(change.steps()));
        try {
            return base.withSteps(steps);
        } catch (ShardMapException e) {
            return null; // at least one change cannot be applied; the caller tries them one by one
        }
    }

    private void commitFinished(Epoch epoch, List<Change> batch, String failure) {
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
            LOG.atError().setCause(e).log("cannot publish the new epoch");
            answer = "refused: " + e.getMessage();
        }
        for (Change change : epoch.changes()) {
            change.reply().accept(answer);
        }
    }
}
