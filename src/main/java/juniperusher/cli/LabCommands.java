package juniperusher.cli;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import com.beust.jcommander.Parameters;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/** The sub-commands of {@code lab}. The classes of the laboratory are loaded only if one of these commands runs. */
@Parameters(
        commandDescription =
                "The laboratory: lab run, compare, scale, hollow, load, bench; 'lab help' lists them; see docs/lab.md")
final class LabCommands implements Main.Command {
    @Parameter(description = "the laboratory's command and its arguments")
    private List<String> arguments = new ArrayList<>();

    /**
     * Returns the sub-command that the arguments name.
     *
     * @param args all arguments of the program, beginning with {@code lab}
     * @throws ParameterException if there is no such sub-command or its arguments are invalid
     */
    static Main.Command command(String[] args) {
        JCommander commands = JCommander.newBuilder()
                .programName("juniperusher lab")
                .addCommand("run", new LabExperiments.RunExperiment())
                .addCommand("compare", new LabExperiments.CompareResults())
                .addCommand("hollow", new LabHollowFleet.RunHollowFleet())
                .addCommand("hollow-host", new LabHollowFleet.RelayHostProcess())
                .addCommand("hollow-control", new LabHollowFleet.ControlProcess())
                .addCommand("scale", new LabScale())
                .addCommand("load", new LabSockets.SendLoad())
                .addCommand("bench", new LabSockets.RunBench())
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
        // Registered only for the help text: Main calls command() for any arguments that begin with lab.
        throw new IllegalStateException("lab was not dispatched to its sub-commands: " + arguments);
    }
}
