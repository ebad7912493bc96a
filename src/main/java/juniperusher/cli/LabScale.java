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
import juniperusher.settings.CheckedToml;

/** Measures the slopes that an experiment file names. */
@Parameters(commandDescription = "Measures how costs grow with size; 0 if every slope fits its line, 3 if not")
final class LabScale implements Main.Command {
    private static final int UNMET = 3;

    @Parameter(description = "the experiment's TOML file", required = true)
    private List<String> files = new ArrayList<>();

    @Parameter(
            names = "--set",
            splitter = Lab.Whole.class,
            description = "KEY=VALUE, before what the file says; may be repeated")
    private List<String> sets = new ArrayList<>();

    @Parameter(names = "--out", description = "folder that gets result.json and report.html")
    private String out;

    @Override
    public int run() throws IOException {
        if (files.size() != 1) {
            throw new ParameterException("lab scale: expected one file");
        }
        ScaleResults results = experiment(Path.of(files.get(0))).run(LabScale::progress);
        System.out.print(results.table());
        if (out != null) {
            results.write(Path.of(out));
            ScaleReport.write(results, Path.of(out));
            System.out.println("written: " + Path.of(out).resolve("report.html"));
        }
        return results.held() ? 0 : UNMET;
    }

    private ScaleExperiment experiment(Path file) throws IOException {
        if (!Files.isRegularFile(file)) {
            throw new ParameterException(file + ": there is no such file");
        }
        try {
            return new ScaleExperiment(CheckedToml.by(ScaleExperiment.class, ScaleExperiment.SCHEMA)
                    .read(file, sets));
        } catch (CheckedToml.Mistake e) {
            throw new ParameterException(e.getMessage());
        } catch (IllegalArgumentException e) {
            throw new ParameterException(file + ": " + e.getMessage());
        }
    }

    private static void progress(String slope) {
        if (System.console() != null) {
            System.err.printf("\r%-50s", slope);
        }
    }
}
