package juniperusher.cli;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import com.beust.jcommander.Parameters;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/** The sub-commands of {@code lab}. Only what is asked for is loaded. */
@Parameters(
        commandDescription = "The laboratory: lab run, compare, scale, hollow, load, bench; lab help; see docs/lab.md")
final class LabCommands implements Main.Command {
    @Parameter(description = "the laboratory's command and its arguments")
    private List<String> words = new ArrayList<>();

    static Main.Command command(String[] args) {
        JCommander commands = JCommander.newBuilder()
                .programName("juniperusher lab")
                .addCommand("run", new Lab.Play())
                .addCommand("compare", new Lab.Compare())
                .addCommand("hollow", new LabHollow.Play())
                .addCommand("hollow-host", new LabHollow.Host())
                .addCommand("hollow-control", new LabHollow.Control())
                .addCommand("scale", new LabScale())
                .addCommand("load", new LabSockets.Hand())
                .addCommand("bench", new LabSockets.Measure())
                .build();
        if (args.length == 1) {
            throw new ParameterException("lab: expected one of "
                    + String.join(", ", commands.getCommands().keySet()));
        }
        if (args[1].equals("help")) {
            return () -> {
                commands.usage();
                return 0;
            };
        }
        commands.parse(Arrays.copyOfRange(args, 1, args.length));
        return (Main.Command) commands.getCommands()
                .get(commands.getParsedCommand())
                .getObjects()
                .get(0);
    }

    @Override
    public int run() {
        throw new IllegalStateException("lab has its own commands: " + words);
    }
}
