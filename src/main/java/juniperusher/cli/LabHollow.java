package juniperusher.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import com.beust.jcommander.Parameters;
import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;
import juniperusher.lab.hollow.HollowControl;
import juniperusher.lab.hollow.HollowExperiment;
import juniperusher.lab.hollow.HollowFleet;
import juniperusher.lab.hollow.HollowHost;
import juniperusher.lab.hollow.HollowResults;
import juniperusher.settings.CheckedToml;

/** The laboratory's commands for the hollow fleet. */
final class LabHollow {
    private static final int UNMET = 3;
    private static final long MEGABYTE = 1 << 20;

    private LabHollow() {}

    @Parameters(commandDescription = "Plays a hollow fleet on loopback; 0 if all budgets of its file hold, 3 if not")
    static final class Play implements Main.Command {
        @Parameter(description = "the experiment's TOML file", required = true)
        private List<String> files = new ArrayList<>();

        @Parameter(
                names = "--set",
                splitter = Lab.Whole.class,
                description = "KEY=VALUE, before what the file says; may be repeated")
        private List<String> sets = new ArrayList<>();

        @Parameter(names = "--keep", description = "folder for the processes' files and logs, which stay")
        private String keep;

        @Override
        public int run() throws Exception {
            if (files.size() != 1) {
                throw new ParameterException("lab hollow: expected one file");
            }
            HollowExperiment experiment = experiment(Path.of(files.get(0)));
            Path folder = keep == null
                    ? Files.createTempDirectory("juniperusher-hollow")
                    : Files.createDirectories(Path.of(keep));
            try {
                HollowResults results = HollowFleet.play(
                        experiment,
                        Main.class.getName(),
                        folder,
                        halfOfTheMemory(),
                        what -> System.err.println("lab hollow: " + what));
                System.out.print(results.table());
                return results.held() ? 0 : UNMET;
            } catch (IllegalArgumentException e) {
                throw new ParameterException(files.get(0) + ": " + e.getMessage());
            } finally {
                if (keep == null) {
                    delete(folder);
                }
            }
        }

        private HollowExperiment experiment(Path file) throws IOException {
            if (!Files.isRegularFile(file)) {
                throw new ParameterException(file + ": there is no such file");
            }
            try {
                return HollowExperiment.of(CheckedToml.by(HollowExperiment.class, HollowExperiment.SCHEMA)
                        .read(file, sets));
            } catch (CheckedToml.Mistake e) {
                throw new ParameterException(e.getMessage());
            } catch (IllegalArgumentException e) {
                throw new ParameterException(file + ": " + e.getMessage());
            }
        }
    }

    private static long halfOfTheMemory() {
        return ((com.sun.management.OperatingSystemMXBean) ManagementFactory.getOperatingSystemMXBean())
                        .getTotalMemorySize()
                / MEGABYTE
                / 2;
    }

    private static void delete(Path folder) throws IOException {
        try (Stream<Path> files = Files.walk(folder)) {
            for (Path path : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.delete(path);
            }
        }
    }

    @Parameters(commandDescription = "A process with hollow relays, for lab hollow", hidden = true)
    static final class Host implements Main.Command {
        @Override
        public int run() throws IOException {
            return HollowHost.run(System.in, System.out);
        }
    }

    @Parameters(commandDescription = "A control process, for lab hollow", hidden = true)
    static final class Control implements Main.Command {
        @Override
        public int run() throws IOException {
            return HollowControl.run(System.in, System.out);
        }
    }
}
