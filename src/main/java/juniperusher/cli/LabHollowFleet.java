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
import juniperusher.settings.TomlReader;

/**
 * The command {@code lab hollow}, which runs a fleet of many relays that subscribe to the shard map but carry no
 * messages, and the hidden commands that its child processes run.
 */
final class LabHollowFleet {
    private static final int EXIT_BUDGET_EXCEEDED = 3;
    private static final long BYTES_PER_MEBIBYTE = 1 << 20;

    private LabHollowFleet() {}

    @Parameters(
            commandDescription =
                    "Runs a hollow fleet on loopback; exit code 0 if all budgets in its file hold, 3 if not")
    static final class RunHollowFleet implements Main.Command {
        @Parameter(description = "the experiment's TOML file", required = true)
        private List<String> files = new ArrayList<>();

        @Parameter(
                names = "--set",
                splitter = LabExperiments.NoSplitting.class,
                description = "KEY=VALUE, replaces a value of the file; may be repeated")
        private List<String> overrides = new ArrayList<>();

        @Parameter(
                names = "--keep",
                description = "folder that keeps the processes' files and logs; without it they are deleted")
        private String keptFolder;

        @Override
        public int run() throws Exception {
            if (files.size() != 1) {
                throw new ParameterException("lab hollow: expected one file");
            }
            HollowExperiment experiment = readExperiment(Path.of(files.get(0)));
            Path folder = keptFolder == null
                    ? Files.createTempDirectory("juniperusher-hollow")
                    : Files.createDirectories(Path.of(keptFolder));
            try {
                HollowResults results = HollowFleet.run(
                        experiment,
                        Main.class.getName(),
                        folder,
                        halfOfMemoryMebibytes(),
                        progress -> System.err.println("lab hollow: " + progress));
                System.out.print(results.table());
                return results.held() ? 0 : EXIT_BUDGET_EXCEEDED;
            } catch (IllegalArgumentException e) {
                throw new ParameterException(files.get(0) + ": " + e.getMessage());
            } finally {
                if (keptFolder == null) {
                    deleteRecursively(folder);
                }
            }
        }

        private HollowExperiment readExperiment(Path file) throws IOException {
            if (!Files.isRegularFile(file)) {
                throw new ParameterException(file + ": there is no such file");
            }
            try {
                return HollowExperiment.fromJson(TomlReader.withSchema(HollowExperiment.class, HollowExperiment.SCHEMA)
                        .read(file, overrides));
            } catch (TomlReader.InvalidTomlException e) {
                throw new ParameterException(e.getMessage());
            } catch (IllegalArgumentException e) {
                throw new ParameterException(file + ": " + e.getMessage());
            }
        }
    }

    /** Returns the bound on the memory of all child processes together. */
    private static long halfOfMemoryMebibytes() {
        return ((com.sun.management.OperatingSystemMXBean) ManagementFactory.getOperatingSystemMXBean())
                        .getTotalMemorySize()
                / BYTES_PER_MEBIBYTE
                / 2;
    }

    private static void deleteRecursively(Path folder) throws IOException {
        try (Stream<Path> files = Files.walk(folder)) {
            for (Path path : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.delete(path);
            }
        }
    }

    @Parameters(commandDescription = "Runs hollow relays for lab hollow", hidden = true)
    static final class RelayHostProcess implements Main.Command {
        @Override
        public int run() throws IOException {
            return HollowHost.run(System.in, System.out);
        }
    }

    @Parameters(commandDescription = "Runs a control process for lab hollow", hidden = true)
    static final class ControlProcess implements Main.Command {
        @Override
        public int run() throws IOException {
            return HollowControl.run(System.in, System.out);
        }
    }
}
