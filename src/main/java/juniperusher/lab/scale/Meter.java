package juniperusher.lab.scale;

import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.lang.ref.Reference;

/** Measures retained heap and processor time of the calling thread. Not safe for use by several threads at once. */
final class Meter {
    private static final int COLLECTIONS = serial() ? 4 : 2;
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

    /**
     * Heap in use after collections. The serial collector leaves dead objects at the heap's start where they lie, up to
     * a twentieth of the heap, at three of four full collections; the fourth moves everything.
     */
    private static long settledHeap() {
        long least = Long.MAX_VALUE;
        for (int i = 0; i < COLLECTIONS; i++) {
            System.gc();
            Runtime runtime = Runtime.getRuntime();
            least = Math.min(least, runtime.totalMemory() - runtime.freeMemory());
        }
        return least;
    }

    private static boolean serial() {
        return ManagementFactory.getGarbageCollectorMXBeans().stream()
                .anyMatch(collector -> collector.getName().equals("MarkSweepCompact"));
    }

    /**
     * Processor time in ns of one step: the least of several batches after a warm-up, as
     * what else runs on the machine only adds to it.
     */
    static double nanosPerStep(Step step) throws IOException {
        long warmUntil = cpuNanos() + WARM_UP_NANOS;
        for (int i = 0; i < MOST_STEPS && cpuNanos() < warmUntil; i++) {
            step.run();
        }
        double least = Double.POSITIVE_INFINITY;
        for (int batch = 0; batch < BATCHES; batch++) {
            long from = cpuNanos();
            int steps = 0;
            while (steps < MOST_STEPS && cpuNanos() - from < BATCH_NANOS) {
                step.run();
                steps++;
            }
            least = Math.min(least, (double) (cpuNanos() - from) / steps);
        }
        return least;
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
