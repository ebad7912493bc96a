package juniperusher.lab.scale;

import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.lang.ref.Reference;
import java.util.Arrays;

/** Measures retained heap and processor time of the calling thread. Not safe for use by several threads at once. */
final class Meter {
    private static final int MOST_COLLECTIONS = 5;
    private static final long SETTLED_BYTES = 8192; // difference of two collections that counts as none
    private static final long WARM_UP_NANOS = 150_000_000;
    private static final long BATCH_NANOS = 20_000_000;
    private static final int BATCHES = 5;
    private static final int MOST_STEPS = 200_000; // in one batch, and in the warm-up

    private static final ThreadMXBean THREADS = ManagementFactory.getThreadMXBean();

    private Meter() {}

    /** Something that builds what is measured. */
    @FunctionalInterface
    interface Builder {
        Object build() throws IOException;
    }

    /** Something whose processor time is measured. */
    @FunctionalInterface
    interface Step {
        void run() throws IOException;
    }

    /** Bytes of heap that the built object keeps alive. */
    static double retainedBytes(Builder builder) throws IOException {
        long before = settledHeap();
        Object built = builder.build();
        long after = settledHeap();
        Reference.reachabilityFence(built);
        return after - before;
    }

    private static long settledHeap() {
        long used = collect();
        for (int i = 1; i < MOST_COLLECTIONS; i++) {
            long next = collect();
            if (Math.abs(used - next) < SETTLED_BYTES) {
                return next;
            }
            used = next;
        }
        return used;
    }

    private static long collect() {
        System.gc();
        Runtime runtime = Runtime.getRuntime();
        return runtime.totalMemory() - runtime.freeMemory();
    }

    /** Processor time in ns of one step: the median of several batches after a warm-up. */
    static double nanosPerStep(Step step) throws IOException {
        long warmUntil = cpuNanos() + WARM_UP_NANOS;
        for (int i = 0; i < MOST_STEPS && cpuNanos() < warmUntil; i++) {
            step.run();
        }
        double[] batches = new double[BATCHES];
        for (int batch = 0; batch < BATCHES; batch++) {
            long from = cpuNanos();
            int steps = 0;
            while (steps < MOST_STEPS && cpuNanos() - from < BATCH_NANOS) {
                step.run();
                steps++;
            }
            batches[batch] = (double) (cpuNanos() - from) / steps;
        }
        Arrays.sort(batches);
        return batches[BATCHES / 2];
    }

    /** Processor time in ns of one run, for what cannot be repeated. */
    static double nanosOnce(Step step) throws IOException {
        long from = cpuNanos();
        step.run();
        return cpuNanos() - from;
    }

    private static long cpuNanos() {
        return THREADS.getCurrentThreadCpuTime();
    }
}
