package juniperusher.net;

import java.net.SocketAddress;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.LongAccumulator;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Observes how long single connections keep the selector thread, on which all other connections wait. A turn lasts from
 * the call that reads a connection to its return. Thread-safe.
 */
public final class TurnMonitor {
    private static final Logger LOG = LoggerFactory.getLogger(TurnMonitor.class);
    private static final long LONG_TURN_NANOS = TimeUnit.MILLISECONDS.toNanos(50);
    private static final long LOG_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(1);

    private final AtomicLong longTurns = new AtomicLong();
    private final LongAccumulator longestNanos = new LongAccumulator(Math::max, 0);
    private final AtomicLong nextLogNanos = new AtomicLong(System.nanoTime());

    /** A turn on this connection ends, which began at {@code startedNanos} of {@link System#nanoTime}. */
    void turnEnded(SocketAddress client, long startedNanos, int requests, long bytes) {
        long nowNanos = System.nanoTime();
        long turnNanos = nowNanos - startedNanos;
        longestNanos.accumulate(turnNanos);
        if (turnNanos < LONG_TURN_NANOS) {
            return;
        }
        longTurns.incrementAndGet();
        long logNanos = nextLogNanos.get();
        if (nowNanos - logNanos >= 0 && nextLogNanos.compareAndSet(logNanos, nowNanos + LOG_INTERVAL_NANOS)) {
            LOG.atWarn()
                    .addKeyValue("client", client)
                    .addKeyValue("ms", TimeUnit.NANOSECONDS.toMillis(turnNanos))
                    .addKeyValue("requests", requests)
                    .addKeyValue("bytes", bytes)
                    .log("one connection kept the selector thread");
        }
    }

    /** The number of turns of 50 ms or more since the start. */
    public long longTurnCount() {
        return longTurns.get();
    }

    /** The longest turn since the start, in seconds. */
    public double longestTurnSeconds() {
        return longestNanos.get() / 1e9;
    }
}
