package juniperusher.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import com.beust.jcommander.Parameters;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import juniperusher.lab.StormExperiment;
import juniperusher.lab.StormExperiment.Plan;
import juniperusher.lab.StormExperiment.Result;

/** The laboratory's experiments, in virtual time. */
@Parameters(commandDescription = "Plays the return of a large destination in virtual time: lab storm")
final class Lab implements Main.Command {
    private static final List<String> TROUBLES = List.of("shut", "errors", "hang");

    @Parameter(description = "the experiment; there is one: storm", required = true)
    private List<String> names = new ArrayList<>();

    @Parameter(names = "--seed", description = "the first seed")
    private long seed = 1;

    @Parameter(names = "--seeds", description = "how many seeds, from the first on")
    private int seeds = 3;

    @Parameter(names = "--relays", description = "how many relays, 1 to 100")
    private int relays = 3;

    @Parameter(names = "--load", description = "messages over what the destinations take")
    private double load = 0.75;

    @Parameter(names = "--lost", description = "share of the notes that are lost, 0 to 1")
    private double lost;

    @Parameter(names = "--trouble", description = "how the destination is out: shut, errors or hang")
    private String trouble = "shut";

    @Parameter(names = "--deaf", description = "clients keep no told time")
    private boolean deaf;

    @Parameter(names = "--crash", description = "a relay is killed 4 s after the return")
    private boolean crash;

    @Parameter(names = "--off", description = "with the storm package off, to compare")
    private boolean off;

    @Override
    public int run() {
        check(names.equals(List.of("storm")), "the experiment", "storm");
        check(seeds >= 1 && seeds <= 1000, "--seeds", "1 to 1000");
        check(relays >= 1 && relays <= 100, "--relays", "1 to 100");
        check(load > 0 && load <= 3, "--load", "above 0, at most 3");
        check(lost >= 0 && lost <= 1, "--lost", "0 to 1");
        check(TROUBLES.contains(trouble), "--trouble", String.join(", ", TROUBLES));
        Map<Plan, Result> results = StormExperiment.sweep(new Plan(seed, relays, !off, lost,
                load, trouble.toUpperCase(Locale.ROOT), !deaf, crash), seeds);
        System.out.print(StormExperiment.table(results));
        return StormExperiment.held(results) ? 0 : 3;
    }

    private static void check(boolean holds, String what, String expected) {
        if (!holds) {
            throw new ParameterException(what + ": expected " + expected);
        }
    }
}
