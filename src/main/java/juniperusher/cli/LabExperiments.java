package juniperusher.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import com.beust.jcommander.Parameters;
import com.beust.jcommander.converters.IParameterSplitter;
import com.eclipsesource.json.JsonObject;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Collectors;
import juniperusher.lab.Experiment;
import juniperusher.lab.Plan;
import juniperusher.lab.RunResult;
import juniperusher.lab.VirtualEngine;
import juniperusher.lab.report.Comparison;
import juniperusher.lab.report.Report;
import juniperusher.lab.report.Results;
import juniperusher.settings.TomlReader;

/** The commands {@code lab run} and {@code lab compare}: experiments and their results. */
final class LabExperiments {
    private static final int EXIT_EXPECTATION_FAILED = 3;

    private LabExperiments() {}

    /** Keeps an option's value whole. JCommander would otherwise split a list option at the commas in its value. */
    static final class NoSplitting implements IParameterSplitter {
        @Override
        public List<String> split(String value) {
            return List.of(value);
        }
    }

    @Parameters(commandDescription = "Runs an experiment; exit code 0 if every expectation in its file holds, 3 if not")
    static final class RunExperiment implements Main.Command {
        @Parameter(description = "the experiment's TOML file", required = true)
        private List<String> files = new ArrayList<>();

        @Parameter(names = "--seed", description = "first seed; replaces the file's")
        private Long firstSeed;

        @Parameter(names = "--runs", description = "number of seeds; replaces the file's")
        private Integer seedCount;

        @Parameter(
                names = "--set",
                splitter = NoSplitting.class,
                description = "KEY=VALUE, replaces a value of the file; may be repeated")
        private List<String> overrides = new ArrayList<>();

        @Parameter(names = "--engine", description = "virtual or sockets; replaces the file's")
        private String engine;

        @Parameter(names = "--out", description = "folder for result.json and report.html")
        private String outputFolder;

        @Override
        public int run() throws Exception {
            if (files.size() != 1) {
                throw new ParameterException("lab run: expected one file");
            }
            Experiment experiment = readExperiment();
            List<RunResult> completedRuns = experiment.engine().equals("virtual")
                    ? runOnVirtualEngine(experiment.plans())
                    : LabSockets.runOnSockets(experiment.plans());
            Results results = new Results(
                    experiment.title(), experiment.engine(), completedRuns, experiment.evaluate(completedRuns));
            System.out.print(results.table());
            if (outputFolder != null) {
                results.write(Path.of(outputFolder));
                Report.write(results, Path.of(outputFolder));
                System.out.println("written: " + Path.of(outputFolder).resolve("report.html"));
            }
            return results.held() ? 0 : EXIT_EXPECTATION_FAILED;
        }

        private Experiment readExperiment() throws IOException {
            TomlReader reader = TomlReader.withSchema(Experiment.class, "experiment.schema.json");
            Path file = Path.of(files.get(0));
            if (!Files.isRegularFile(file)) {
                throw new ParameterException(file + ": there is no such file");
            }
            List<String> allOverrides = new ArrayList<>(overrides);
            if (firstSeed != null) {
                allOverrides.add("seed=" + firstSeed);
            }
            if (seedCount != null) {
                allOverrides.add("runs=" + seedCount);
            }
            if (engine != null) {
                allOverrides.add("engine=" + engine);
            }
            try {
                JsonObject values = reader.read(file, allOverrides);
                Map<String, JsonObject> variants = new LinkedHashMap<>();
                for (Map.Entry<String, List<String>> variant :
                        Experiment.variants(values).entrySet()) {
                    List<String> variantOverrides = new ArrayList<>(allOverrides);
                    variantOverrides.addAll(variant.getValue());
                    variants.put(variant.getKey(), reader.read(file, variantOverrides));
                }
                return Experiment.fromJson(values, variants);
            } catch (TomlReader.InvalidTomlException e) {
                throw new ParameterException(e.getMessage());
            } catch (IllegalArgumentException e) {
                throw new ParameterException(file + ": " + e.getMessage());
            }
        }
    }

    /** Runs the plans on all cores. Each run is deterministic, and the results are in the order of the plans. */
    private static List<RunResult> runOnVirtualEngine(Map<String, List<Plan>> plans) {
        int totalRuns = plans.values().stream().mapToInt(List::size).sum();
        AtomicInteger completed = new AtomicInteger();
        Map<String, RunResult> runs = new ConcurrentHashMap<>();
        plans.entrySet().stream()
                .flatMap(variantPlan ->
                        variantPlan.getValue().stream().map(plan -> Map.entry(variantPlan.getKey(), plan)))
                .collect(Collectors.toList())
                .parallelStream()
                .forEach(variantPlan -> {
                    runs.put(
                            variantPlan.getKey() + '/' + variantPlan.getValue().seed(),
                            VirtualEngine.run(variantPlan.getKey(), variantPlan.getValue()));
                    printProgress(completed.incrementAndGet(), totalRuns);
                });
        List<RunResult> ordered = new ArrayList<>();
        plans.forEach((variant, seeds) -> seeds.forEach(plan -> ordered.add(runs.get(variant + '/' + plan.seed()))));
        return ordered;
    }

    /** Prints the progress on one line of standard error if the program has a terminal. */
    static void printProgress(int completed, int total) {
        if (System.console() != null) {
            System.err.print("\r" + completed + " of " + total + " runs" + (completed == total ? "\n" : ""));
        }
    }

    @Parameters(commandDescription = "Compares two results that lab run --out wrote")
    static final class CompareResults implements Main.Command {
        @Parameter(description = "the two result folders", required = true)
        private List<String> folders = new ArrayList<>();

        @Override
        public int run() throws IOException {
            if (folders.size() != 2) {
                throw new ParameterException("lab compare: expected two folders");
            }
            List<Results> results = new ArrayList<>();
            for (String folder : folders) {
                try {
                    results.add(Results.read(Path.of(folder)));
                } catch (IllegalArgumentException e) {
                    throw new ParameterException(e.getMessage());
                } catch (java.nio.file.NoSuchFileException e) {
                    throw new ParameterException(e.getMessage() + ": there is no such file");
                }
            }
            List<Comparison.Line> lines = Comparison.of(results.get(0), results.get(1));
            if (lines.isEmpty()) {
                throw new ParameterException("lab compare: the two results have no variant in common");
            }
            System.out.print(Comparison.table(lines));
            return 0;
        }
    }
}
