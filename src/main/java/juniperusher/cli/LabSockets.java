package juniperusher.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import com.beust.jcommander.Parameters;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import juniperusher.http.Config;
import juniperusher.lab.Plan;
import juniperusher.lab.RunResult;
import juniperusher.lab.sockets.Bench;
import juniperusher.lab.sockets.Load;
import juniperusher.lab.sockets.SocketEngine;

/** The commands {@code lab load} and {@code lab bench}, and experiments on the engine that uses sockets. */
final class LabSockets {
    private LabSockets() {}

    @Parameters(commandDescription = "Sends messages to a running relay at a constant rate, in an open loop")
    static final class SendLoad implements Main.Command {
        private static final double MAX_RATE_PER_SECOND = 100_000;
        private static final double MAX_DURATION_SECONDS = 600;

        @Parameter(description = "HOST:PORT of the relay", required = true)
        private List<String> relayAddresses = new ArrayList<>();

        @Parameter(names = "--rate", description = "messages per second")
        private double ratePerSecond = 100;

        @Parameter(names = "--seconds", description = "duration in s, at most 600")
        private double durationSeconds = 10;

        @Parameter(names = "--class", description = "class of the messages", required = true)
        private String messageClass;

        @Parameter(names = "--dest", description = "number of their destination")
        private int destination;

        @Parameter(names = "--budget", description = "time in s within which each message may be delivered")
        private double budgetSeconds = 6;

        @Parameter(names = "--bytes", description = "size of each body in bytes")
        private int bodyBytes = 200;

        @Override
        public int run() throws Exception {
            require(relayAddresses.size() == 1, "lab load", "one HOST:PORT");
            require(ratePerSecond > 0 && ratePerSecond <= MAX_RATE_PER_SECOND, "--rate", "above 0, at most 100000");
            require(
                    durationSeconds > 0 && durationSeconds <= MAX_DURATION_SECONDS,
                    "--seconds",
                    "above 0, at most 600");
            require(bodyBytes >= 0 && bodyBytes <= 65_536, "--bytes", "0 to 65536");
            require(budgetSeconds > 0, "--budget", "above 0");
            InetSocketAddress address;
            try {
                address = Config.address(relayAddresses.get(0));
            } catch (IllegalArgumentException e) {
                throw new ParameterException(e.getMessage());
            }
            Load.Result result = Load.run(
                    address,
                    ratePerSecond,
                    durationSeconds,
                    messageClass,
                    destination,
                    budgetSeconds,
                    bodyBytes,
                    Long.toHexString(System.nanoTime()) + '-');
            System.out.print(result.table(durationSeconds));
            return result.failed() == result.sent() ? 1 : 0;
        }
    }

    @Parameters(commandDescription = "Compares a relay with a bare forwarder made of the same parts")
    static final class RunBench implements Main.Command {
        @Parameter(names = "--seconds", description = "duration in s of the measurement at each rate, at most 60")
        private double secondsPerRate = 3;

        @Override
        public int run() throws Exception {
            require(secondsPerRate > 0 && secondsPerRate <= 60, "--seconds", "above 0, at most 60");
            System.out.print(Bench.run(Main.class.getName(), secondsPerRate, progress -> {
                        if (System.console() != null) {
                            System.err.printf("\r%-50s", progress);
                        }
                    })
                    .table());
            return 0;
        }
    }

    private static void require(boolean valid, String argument, String expected) {
        if (!valid) {
            throw new ParameterException(argument + ": expected " + expected);
        }
    }

    /** Runs the plans one after the other, so that each has the machine to itself. */
    static List<RunResult> runOnSockets(Map<String, List<Plan>> plans) throws Exception {
        int totalRuns = plans.values().stream().mapToInt(List::size).sum();
        List<RunResult> completedRuns = new ArrayList<>();
        for (Map.Entry<String, List<Plan>> variant : plans.entrySet()) {
            for (Plan plan : variant.getValue()) {
                completedRuns.add(SocketEngine.run(variant.getKey(), plan, Main.class.getName(), elapsedSeconds -> {
                    if (System.console() != null) {
                        System.err.printf(
                                "\r%d of %d runs, %.0f s of %.0f s ",
                                completedRuns.size(), totalRuns, elapsedSeconds, plan.seconds());
                    }
                }));
                LabExperiments.printProgress(completedRuns.size(), totalRuns);
            }
        }
        return completedRuns;
    }
}
