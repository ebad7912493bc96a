package juniperusher.lab.hollow;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.Set;
import juniperusher.distribution.Timing;
import juniperusher.distribution.Version;
import juniperusher.fleet.ControlClient;
import juniperusher.fleet.Dialer;
import juniperusher.fleet.EventLoop;
import juniperusher.fleet.Traffic;
import juniperusher.shard.ShardMap;

/** A relay without a data path: its subscription and nothing else. Used on its loop's thread. */
final class HollowRelay implements ControlClient.Listener {
    private static final int MAX_MAP_BYTES = 1 << 24;

    private final EventLoop loop;
    private final int number; // in its process
    private final String name;
    private final List<String> sources;
    private final Set<String> unreachable; // shared by the relays of a process
    private final ArrivalLog arrivals;
    private final long seed;
    private ControlClient client; // null while the relay is down
    private Version version = Version.NONE; // of what it has, also while it is down
    private ShardMap map;
    private long reachableSince;
    private long lives;
    private long bytesBefore; // of earlier lives
    private long messagesBefore;
    private long refused;

    HollowRelay(
            EventLoop loop,
            int number,
            String name,
            List<String> sources,
            Set<String> unreachable,
            ArrivalLog arrivals,
            long seed) {
        this.loop = loop;
        this.number = number;
        this.name = name;
        this.sources = sources;
        this.unreachable = unreachable;
        this.arrivals = arrivals;
        this.seed = seed;
    }

    /** Sources of its own region first, those of others after them, both shuffled. */
    static List<String> preferred(List<String> own, List<String> others, Random random) {
        List<String> first = new ArrayList<>(own);
        Collections.shuffle(first, random);
        List<String> then = new ArrayList<>(others);
        Collections.shuffle(then, random);
        first.addAll(then);
        return List.copyOf(first);
    }

    void start(long nowMicros) {
        if (client != null) {
            return;
        }
        reachableSince = nowMicros;
        Dialer direct = Dialer.direct(loop, Timing.DEFAULT.connectTimeoutSeconds());
        Dialer dialer = (source, handler) -> unreachable.contains(source) ? null : direct.dial(source, handler);
        lives++;
        client = new ControlClient(loop, dialer, name, Timing.DEFAULT, MAX_MAP_BYTES, seed * 31 + lives, this);
        if (map != null) {
            client.resume(version, map, Double.NEGATIVE_INFINITY);
        }
        client.start(sources);
    }

    /** Ends it; {@code forget} for a machine that does not come back: the next one has no map. */
    void stop(boolean forget) {
        if (client == null) {
            return;
        }
        client.stop();
        Traffic traffic = client.traffic();
        bytesBefore += traffic.bytesIn() + traffic.bytesOut();
        messagesBefore += traffic.messagesIn() + traffic.messagesOut();
        refused += client.status().refusedCount();
        client = null;
        if (forget) {
            version = Version.NONE;
            map = null;
        }
    }

    /** Nothing more comes on its present connection. */
    void freeze() {
        if (client != null) {
            client.pauseCurrentConnection();
        }
    }

    /** What comes waits in the kernel, as with a slow reader, or is read again. */
    void reading(boolean on) {
        if (client != null) {
            client.setReading(on);
        }
    }

    /** Changes from now on have to reach it again; the ones before count as caught up with. */
    void reachable(long nowMicros) {
        reachableSince = nowMicros;
    }

    /** The source that it is subscribed to, or null. */
    String source() {
        return client == null ? null : client.status().source();
    }

    long epoch() {
        return map == null ? 0 : map.epoch();
    }

    boolean isUp() {
        return client != null;
    }

    long bytes() {
        return bytesBefore
                + (client == null
                        ? 0
                        : client.traffic().bytesIn() + client.traffic().bytesOut());
    }

    long messages() {
        return messagesBefore
                + (client == null
                        ? 0
                        : client.traffic().messagesIn() + client.traffic().messagesOut());
    }

    long refused() {
        return refused + (client == null ? 0 : client.status().refusedCount());
    }

    @Override
    public void mapActivated(Version newer, ShardMap newMap) {
        arrivals.add(number, epoch(), newMap.epoch(), HollowHost.nowMicros(), reachableSince);
        version = newer;
        map = newMap;
    }
}
