package juniperusher.clock;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/**
 * Clock for deadlines and time windows that have to survive a restart of the process. It is set from the wall clock
 * once and then advances with the monotonic clock, so that a step of the wall clock moves no deadline. A process
 * resumes the clock of its predecessor from a stored {@link Mark}: Linux's monotonic clock is shared by all processes
 * until the machine reboots. If a reboot cannot be excluded, the clock is set from the wall clock again.
 *
 * <p>There is one clock per process. Thread-safe.
 */
public final class SteadyClock {
    private static final Path BOOT_ID = Path.of("/proc/sys/kernel/random/boot_id");
    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final long NANOS_PER_MICRO = 1_000;

    private static volatile Mark origin = new Mark(bootId(), System.nanoTime(), System.currentTimeMillis());

    /**
     * The same moment on both clocks. Immutable.
     *
     * @param boot   id of the machine's current boot, empty if it is unknown
     * @param nanos  monotonic clock, as of {@link System#nanoTime}
     * @param millis this clock, in milliseconds since the Unix epoch
     */
    public record Mark(String boot, long nanos, long millis) {}

    private SteadyClock() {}

    private static String bootId() {
        try {
            return Files.readString(BOOT_ID).strip();
        } catch (IOException | RuntimeException e) {
            return ""; // not Linux: every process sets its clock from the wall clock
        }
    }

    /** Milliseconds since the Unix epoch, by the wall clock at the time at which the clock was set. */
    public static long millis() {
        Mark base = origin;
        return base.millis() + (System.nanoTime() - base.nanos()) / NANOS_PER_MILLI;
    }

    /** The time of {@link #millis} in microseconds. */
    public static long micros() {
        Mark base = origin;
        return base.millis() * (NANOS_PER_MILLI / NANOS_PER_MICRO)
                + (System.nanoTime() - base.nanos()) / NANOS_PER_MICRO;
    }

    /** The present moment, rounded down to a whole millisecond, to be stored for the next process. */
    public static Mark mark() {
        Mark base = origin;
        long elapsedMillis = (System.nanoTime() - base.nanos()) / NANOS_PER_MILLI;
        return new Mark(base.boot(), base.nanos() + elapsedMillis * NANOS_PER_MILLI, base.millis() + elapsedMillis);
    }

    /**
     * Resumes the clock of an earlier process. This is only possible if the machine has not rebooted since, because its
     * monotonic clock starts again at a reboot.
     *
     * @return whether the clock was resumed; otherwise it is unchanged
     */
    public static boolean resume(Mark earlier) {
        boolean resumable = !earlier.boot().isEmpty()
                && earlier.boot().equals(origin.boot())
                && System.nanoTime() - earlier.nanos() >= 0;
        if (resumable) {
            origin = earlier;
        }
        return resumable;
    }
}
