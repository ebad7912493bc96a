package juniperusher.lab.hollow;

import java.io.IOException;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.Random;
import juniperusher.shard.RelayInfo;
import juniperusher.shard.ShardMap;
import juniperusher.shard.ShardRange;

/**
 * Asks the leader for changes: moves of random ranges to other relays of their region. Notes for each epoch when the
 * first of its changes was asked for. Answers are read on a thread of its own.
 */
final class ChangeFeed implements AutoCloseable {
    private static final int FIRST_EPOCHS = 1024;

    private final Random random;
    private final List<Integer> starts = new ArrayList<>();
    private final List<String> regions = new ArrayList<>();
    private final List<String> owners = new ArrayList<>();
    private final Map<String, List<String>> relays = new HashMap<>(); // by region
    private final Queue<Long> asked = new ArrayDeque<>(); // when, of changes that are not answered
    private long[] published = new long[FIRST_EPOCHS];
    private long lastEpoch;
    private long refused;
    private long lost; // asked of a leader that ended before it answered
    private OperatorLines lines;

    /** Changes of the map that the leader begins with. */
    ChangeFeed(ShardMap first, long seed) {
        random = new Random(seed);
        lastEpoch = first.epoch();
        for (ShardRange range : first.ranges()) {
            starts.add(range.from());
            regions.add(range.region());
            owners.add(range.owner());
        }
        for (RelayInfo relay : first.relays()) {
            relays.computeIfAbsent(relay.region(), region -> new ArrayList<>()).add(relay.name());
        }
    }

    /** Asks this leader from now on. */
    synchronized void connect(String operator) throws IOException {
        OperatorLines opened = new OperatorLines(operator);
        lines = opened;
        lost += asked.size();
        asked.clear();
        Thread reader = new Thread(() -> read(opened), "changes");
        reader.setDaemon(true);
        reader.start();
    }

    private void read(OperatorLines from) {
        try {
            while (true) {
                answered(from, from.next());
            }
        } catch (IOException e) {
            ended(from);
        }
    }

    private synchronized void ended(OperatorLines from) {
        if (from == lines) {
            lines = null;
        }
    }

    private synchronized void answered(OperatorLines from, String answer) {
        if (from != lines) {
            return;
        }
        long at = asked.remove();
        if (!answer.startsWith("ok epoch ")) {
            refused++;
            return;
        }
        int epoch = Integer.parseInt(answer.substring("ok epoch ".length()));
        if (epoch >= published.length) {
            published = Arrays.copyOf(published, 2 * epoch);
        }
        published[epoch] = published[epoch] == 0 ? at : Math.min(at, published[epoch]);
        lastEpoch = Math.max(lastEpoch, epoch);
    }

    /** Asks for so many changes at once; for none while there is no leader. */
    synchronized void ask(int count) {
        if (lines == null) {
            return;
        }
        StringBuilder text = new StringBuilder();
        long now = HollowHost.nowMicros();
        for (int i = 0; i < count; i++) {
            text.append(move());
            asked.add(now);
        }
        try {
            lines.send(text.toString());
        } catch (IOException e) {
            lines = null;
        }
    }

    private String move() {
        int index = random.nextInt(starts.size());
        List<String> candidates = relays.get(regions.get(index));
        String owner = candidates.get(random.nextInt(candidates.size()));
        while (owner.equals(owners.get(index))) {
            owner = candidates.get(random.nextInt(candidates.size()));
        }
        owners.set(index, owner);
        return "move " + starts.get(index) + " " + owner + "\n";
    }

    /** Changes that are not answered yet. */
    synchronized int waiting() {
        return lines == null ? 0 : asked.size();
    }

    /** When the first change of each epoch was asked for, by epoch; 0 where that is not known. */
    synchronized long[] published() {
        return Arrays.copyOf(published, (int) lastEpoch + 1);
    }

    synchronized long lastEpoch() {
        return lastEpoch;
    }

    synchronized long refused() {
        return refused;
    }

    synchronized long lost() {
        return lost;
    }

    @Override
    public synchronized void close() throws IOException {
        if (lines != null) {
            lines.close();
            lines = null;
        }
    }
}
