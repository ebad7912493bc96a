package juniperusher.lab.hollow;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;

/**
 * What a process has used so far.
 *
 * @param residentKb memory that it holds, of all kinds
 */
record ProcessUsage(double processorSeconds, long residentKb) {
    private static final double NANOS = 1e9;

    /** Of the process with that id. */
    static ProcessUsage of(long pid) throws IOException {
        double processor = ProcessHandle.of(pid)
                        .flatMap(handle -> handle.info().totalCpuDuration())
                        .orElse(Duration.ZERO)
                        .toNanos()
                / NANOS;
        for (String line : Files.readAllLines(Path.of("/proc", String.valueOf(pid), "status"))) {
            if (line.startsWith("VmRSS:")) {
                return new ProcessUsage(processor, Long.parseLong(line.replaceAll("\\D", "")));
            }
        }
        return new ProcessUsage(processor, 0);
    }
}
