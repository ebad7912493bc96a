package juniperusher.clock;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/**
 * Milliseconds for deadlines and windows that have to outlive a process. It begins at the wall clock's time and
 * then runs by the monotonic clock alone, so that a step of the wall clock moves no deadline. A process resumes the
 * clock of the one before by a {@link Mark} that it left: Linux's monotonic clock runs on over processes until the
 * machine starts again. Where that cannot be known, the wall clock decides.
 *
 * <p>One clock for the process; safe for threads.
 */
public final class SteadyClock {
    private static final Path BOOT_ID = Path.of("/proc/sys/kernel/random/boot_id");
    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final long NANOS_PER_MICRO = 1_000;

    private static volatile Mark origin = new Mark(bootId(), System.nanoTime(), System.currentTimeMillis());

    /**
     * One moment by both clocks.
     *
     * @param boot   identity of the machine's start, empty if it is not known
     * @param nanos  of the monotonic clock
     * @param millis of the steady clock
     */
    public record Mark(String boot, long nanos, long millis) {}

    private SteadyClock() {}

    private static String bootId() {
        try {
            return Files.readString(BOOT_ID).strip();
        } catch (IOException | RuntimeException e) {
            return ""; // no such system: the wall clock decides at each start
        }
    }

    /** Milliseconds since the Unix epoch as the first process of the machine's start saw it. */
    public static long millis() {
        Mark from = origin;
        return from.millis() + (System.nanoTime() - from.nanos()) / NANOS_PER_MILLI;
    }

    /** The same in microseconds. */
    public static long micros() {
        Mark from = origin;
        return from.millis() * (NANOS_PER_MILLI / NANOS_PER_MICRO)
                + (System.nanoTime() - from.nanos()) / NANOS_PER_MICRO;
    }

    /** This moment to a whole millisecond of the clock, for the next process. */
    public static Mark mark() {
        Mark from = origin;
        long passed = (System.nanoTime() - from.nanos()) / NANOS_PER_MILLI;
        return new Mark(from.boot(), from.nanos() + passed * NANOS_PER_MILLI, from.millis() + passed);
    }

    /**
     * Goes on with the clock of an earlier process; whether it can. Guards against a machine that has started again
     * since, whose monotonic clock began anew.
     */
    public static boolean resume(Mark earlier) {
        boolean same = !earlier.boot().isEmpty()
                && earlier.boot().equals(origin.boot())
                && System.nanoTime() - earlier.nanos() >= 0;
        if (same) {
            origin = earlier;
        }
        return same;
    }
}
