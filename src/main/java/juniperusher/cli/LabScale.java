package juniperusher.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import com.beust.jcommander.Parameters;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import juniperusher.lab.scale.ScaleExperiment;
import juniperusher.lab.scale.ScaleReport;
import juniperusher.lab.scale.ScaleResults;
import juniperusher.settings.TomlReader;

/** The command {@code lab scale}, which measures the slopes of cost against size that an experiment file names. */
@Parameters(
        commandDescription = "Measures how costs grow with size; exit code 0 if every slope fits its line, 3 if not")
final class LabScale implements Main.Command {
    private static final int EXIT_SLOPE_MISMATCH = 3;

    @Parameter(description = "the experiment's TOML file", required = true)
    private List<String> files = new ArrayList<>();

    @Parameter(
            names = "--set",
            splitter = LabExperiments.NoSplitting.class,
            description = "KEY=VALUE, replaces a value of the file; may be repeated")
    private List<String> overrides = new ArrayList<>();

    @Parameter(names = "--out", description = "folder for result.json and report.html")
    private String outputFolder;

    @Override
    public int run() throws IOException {
        if (files.size() != 1) {
            throw new ParameterException("lab scale: expected one file");
        }
        ScaleResults results = readExperiment(Path.of(files.get(0))).run(LabScale::printProgress);
        System.out.print(results.table());
        if (outputFolder != null) {
            results.write(Path.of(outputFolder));
            ScaleReport.write(results, Path.of(outputFolder));
            System.out.println("written: " + Path.of(outputFolder).resolve("report.html"));
        }
        return results.held() ? 0 : EXIT_SLOPE_MISMATCH;
    }

    private ScaleExperiment readExperiment(Path file) throws IOException {
        if (!Files.isRegularFile(file)) {
            throw new ParameterException(file + ": there is no such file");
        }
        try {
            return new ScaleExperiment(TomlReader.withSchema(ScaleExperiment.class, ScaleExperiment.SCHEMA)
                    .read(file, overrides));
        } catch (TomlReader.InvalidTomlException e) {
            throw new ParameterException(e.getMessage());
        } catch (IllegalArgumentException e) {
            throw new ParameterException(file + ": " + e.getMessage());
        }
    }

    /** Prints the slope that is being measured, on one line of standard error, if the program has a terminal. */
    private static void printProgress(String slope) {
        if (System.console() != null) {
            System.err.printf("\r%-50s", slope);
        }
    }
}
