package juniperusher.lab.sockets;

import java.net.InetSocketAddress;
import java.util.Locale;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.LockSupport;
import juniperusher.net.Network;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;

/**
 * Load on a relay that runs. An open loop: messages leave at the times at which they are meant to, however
 * slow the
 * answers are, and a message's latency counts from that time. Bounded in time.
 */
public final class Load {
    private static final long LONGEST = 60_000_000; // µs
    private static final int DESCRIPTORS = 16_384;
    private static final int CONNECTIONS = 4000;
    private static final long DRAIN = 1_000; // ms for the last answers

    /**
     * What came of it.
     *
     * @param sent    messages
     * @param taken   answered 202 or 200
     * @param refused answered 429 or 503
     * @param failed  without an answer within 400 ms, or with another
     * @param latency µs from the intended sending to the answer, of those that were answered
     * @param late    µs by which messages left after their time: the load's own, should the machine be too
     * slow
     */
    public record Result(int sent, int taken, int refused, int failed, Histogram latency, Histogram late) {
        /** A few lines. */
        public String table(double seconds) {
            return String.format(
                    Locale.ROOT,
                    "%d sent (%.0f a second), %d taken, %d refused, %d failed%n"
                            + "latency of the answer in ms: p50 %.2f, p90 %.2f, p99 %.2f, p99.9 %.2f, longest %.2f%n"
                            + "left later than meant, in ms: p50 %.2f, p99 %.2f%n",
                    sent,
                    sent / seconds,
                    taken,
                    refused,
                    failed,
                    at(latency, 50),
                    at(latency, 90),
                    at(latency, 99),
                    at(latency, 99.9),
                    latency.getMaxValue() / 1e3,
                    at(late, 50),
                    at(late, 99));
        }

        private static double at(Histogram histogram, double percentile) {
            return histogram.getValueAtPercentile(percentile) / 1e3;
        }
    }

    private Load() {}

    /**
     * Hands messages in for so long.
     *
     * @param rate        a second, evenly
     * @param destination their destination; ids begin with {@code prefix}
     * @param budget      s, the time in which each may be delivered
     */
    public static Result run(
            InetSocketAddress relay,
            double rate,
            double seconds,
            String messageClass,
            int destination,
            double budget,
            int bytes,
            String prefix)
            throws Exception {
        return run(relay, rate, seconds, messageClass, destination, budget, bytes, prefix, (id, meant) -> {});
    }

    /**
     * Hears of a message before it leaves, with the time of {@link System#nanoTime} at which it is meant to.
     */
    interface Leaving {
        void leaves(String id, long meant);
    }

    static Result run(
            InetSocketAddress relay,
            double rate,
            double seconds,
            String messageClass,
            int destination,
            double budget,
            int bytes,
            String prefix,
            Leaving leaving)
            throws Exception {
        Histogram latency = new ConcurrentHistogram(LONGEST, 3);
        Histogram late = new ConcurrentHistogram(LONGEST, 3);
        AtomicInteger taken = new AtomicInteger();
        AtomicInteger refused = new AtomicInteger();
        AtomicInteger failed = new AtomicInteger();
        byte[] body = new byte[bytes];
        int all = (int) Math.round(rate * seconds);
        try (Network network = new Network(1, DESCRIPTORS)) {
            Client client = new Client(network, CONNECTIONS);
            long origin = System.nanoTime();
            for (int i = 0; i < all; i++) {
                long meant = origin + (long) (i / rate * 1e9);
                while (System.nanoTime() < meant) {
                    LockSupport.parkNanos(meant - System.nanoTime());
                }
                leaving.leaves(prefix + i, meant);
                late.recordValue(micros(System.nanoTime() - meant));
                Client.Message message =
                        new Client.Message(prefix + i, messageClass, null, null, destination, budget, false, body);
                client.handIn(relay, message, new Client.Answered() {
                    @Override
                    public void taken() {
                        latency.recordValue(micros(System.nanoTime() - meant));
                        taken.incrementAndGet();
                    }

                    @Override
                    public void refused(double after) {
                        latency.recordValue(micros(System.nanoTime() - meant));
                        refused.incrementAndGet();
                    }

                    @Override
                    public void failed(String why) {
                        failed.incrementAndGet();
                    }
                });
            }
            long until = System.currentTimeMillis() + DRAIN;
            while (taken.get() + refused.get() + failed.get() < all && System.currentTimeMillis() < until) {
                TimeUnit.MILLISECONDS.sleep(5);
            }
        }
        int answered = taken.get() + refused.get();
        return new Result(all, taken.get(), refused.get(), all - answered, latency, late);
    }

    static long micros(long nanos) {
        return Math.min(LONGEST, Math.max(0, nanos / 1000));
    }
}
