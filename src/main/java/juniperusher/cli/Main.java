package juniperusher.cli;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import com.beust.jcommander.Parameters;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.channels.ServerSocketChannel;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import juniperusher.amqp.AmqpConfig;
import juniperusher.amqp.AmqpExtension;
import juniperusher.core.Counters;
import juniperusher.core.Extension;
import juniperusher.core.Journal;
import juniperusher.http.Config;
import juniperusher.http.Platform;
import juniperusher.http.WarmUp;
import juniperusher.mgmt.Management;
import juniperusher.net.Network;
import juniperusher.settings.OperatorSettings;
import juniperusher.sim.SimHost;
import juniperusher.sim.WireException;
import org.slf4j.LoggerFactory;

/** The command line. */
public final class Main {
    private static final long WARM_UP = 2_000; // ms before the first start, at most

    private Main() {}

    /** A sub-command. */
    interface Command {
        /** Runs it; the exit code. */
        int run() throws Exception;
    }

    /** Runs the sub-command named by the arguments; exits 2 on bad arguments and 1 on a failure. */
    public static void main(String[] args) throws Exception {
        // Read before the first logger is made; standard output is the simulator's wire.
        System.setProperty("org.slf4j.simpleLogger.showDateTime", "true");
        System.setProperty("org.slf4j.simpleLogger.dateTimeFormat", "HH:mm:ss.SSS");
        int code;
        try {
            code = command(args).run();
        } catch (ParameterException e) {
            System.err.println("juniperusher: " + e.getMessage());
            code = 2;
        } catch (NoSuchFileException e) {
            System.err.println("juniperusher: there is no " + e.getMessage());
            code = 1;
        } catch (IllegalArgumentException | IOException | WireException | UncheckedIOException e) {
            System.err.println("juniperusher: " + e.getMessage());
            code = 1;
        }
        if (code != 0) {
            System.exit(code);
        }
    }

    private static Command command(String[] args) {
        if (args.length > 0 && args[0].equals("lab")) {
            return LabCommands.command(args);
        }
        JCommander commands = JCommander.newBuilder()
                .programName("juniperusher")
                .addCommand("serve", new Serve())
                .addCommand("simhost", new HostSimulator())
                .addCommand("counters", new ShowCounters())
                .addCommand("state", new ShowState())
                .addCommand("selftest", new RunSelfTest())
                .addCommand("settings", new ShowSettings())
                .addCommand("control", new FleetCommands.RunControl())
                .addCommand("lab", new LabCommands())
                .addCommand("version", new ShowVersion())
                .addCommand("help", new Help())
                .build();
        commands.parse(args);
        if (commands.getParsedCommand() == null) {
            throw new ParameterException("name a command: "
                    + String.join(", ", commands.getCommands().keySet()));
        }
        if (commands.getParsedCommand().equals("help")) {
            return () -> {
                commands.usage();
                return 0;
            };
        }
        return (Command) commands.getCommands()
                .get(commands.getParsedCommand())
                .getObjects()
                .get(0);
    }

    @Parameters(commandDescription = "Hosts instances of the module on the simulator's wire")
    private static final class HostSimulator implements Command {
        @Override
        public int run() throws IOException {
            return SimHost.run(System.in, System.out);
        }
    }

    @Parameters(commandDescription = "Runs one relay, as RELAY_CONFIG and RELAY_STATE say")
    private static final class Serve implements Command {
        @Parameter(
                names = "--amqp",
                description = "JSON file of the AMQP 0-9-1 front, the older form of "
                        + "[amqp] in the file that --settings names")
        private String amqp;

        @Parameter(
                names = "--settings",
                description = "The operator's own TOML file; without it all that it may " + "switch on is off")
        private String settings;

        @Parameter(
                names = "--remote-write",
                description = "Address that takes the counters by Prometheus remote "
                        + "write, as http://host:port/path; without it none are sent")
        private String remoteWrite;

        @Parameter(names = "--remote-write-every", description = "Seconds between two such writes")
        private int every = 15;

        @Override
        public int run() throws Exception {
            Path file = Path.of(variable("RELAY_CONFIG"));
            ReloadSignal reloads = new ReloadSignal(file);
            Config config = Config.read(file);
            Path state = Path.of(variable("RELAY_STATE"));
            String acceptFd = System.getenv("RELAY_ACCEPT_FD");
            ServerSocketChannel inherited;
            try {
                inherited = acceptFd == null || acceptFd.isEmpty() ? null : Network.inherited(acceptFd);
            } catch (IllegalArgumentException e) {
                throw new ParameterException(e.getMessage());
            }
            OperatorSettings operator = settings == null ? null : SettingsFile.read(settings);
            AmqpConfig broker = amqp(amqp, operator);
            Counters counters = new Counters();
            Network network =
                    new Network(config.settings().settings().allowed().connectTimeout(), config.descriptors());
            // Listens first, so that the operators hear 'not yet' while the relay warms up.
            Management management = config.mgmt() == null ? null : Management.listen(network, config.mgmt());
            WarmUp.run(config, state, WARM_UP);
            Extension extension = broker == null
                    ? null
                    : new AmqpExtension(
                            broker, config.classes(), config.settings().settings(), network);
            Platform platform = new Platform(
                    config, state, counters, network, extension, operator == null ? null : operator.storm(), inherited);
            if (management != null) {
                management.operate(platform);
            }
            AutoCloseable fleet = operator == null || operator.fleet() == null
                    ? () -> {}
                    : FleetCommands.join(operator.fleet(), config.name(), state, counters);
            LoggerFactory.getLogger(Main.class).info("serving on {}", config.listen());
            if (remoteWrite != null) {
                new RemoteWrite(remoteWrite, config.name(), Math.max(1, every) * 1000L, counters::text, network)
                        .start();
            }
            Runtime.getRuntime()
                    .addShutdownHook(new Thread(
                            () -> {
                                try {
                                    platform.drain();
                                    System.err.print(counters.text());
                                    platform.close();
                                    fleet.close();
                                } catch (Exception e) {
                                    System.err.println("juniperusher: at the end: " + e);
                                }
                            },
                            "drain"));
            while (true) {
                reloads.await();
                platform.reload(file);
            }
        }
    }

    /** The AMQP front's configuration, or null where it is off. */
    private static AmqpConfig amqp(String file, OperatorSettings operator) throws IOException {
        if (file == null) {
            return operator == null || operator.amqp() == null ? null : AmqpConfig.of(operator.amqp());
        }
        if (operator != null && operator.amqp() != null) {
            throw new ParameterException("--amqp and [amqp] in the file of --settings: expected one of them");
        }
        LoggerFactory.getLogger(Main.class)
                .atWarn()
                .addKeyValue("file", file)
                .log("--amqp is the older form: move it to [amqp] in the file that --settings names, see "
                        + "deploy/relay.toml");
        return AmqpConfig.read(Path.of(file));
    }

    @Parameters(commandDescription = "Prints the counters of relays that run, in Prometheus' text format")
    private static final class ShowCounters implements Command {
        @Parameter(description = "address of a relay, as host:port; more may follow", required = true)
        private List<String> addresses = new ArrayList<>();

        @Override
        public int run() throws IOException {
            for (String address : addresses) {
                System.out.print(Scrape.counters(Config.address(address)));
            }
            return 0;
        }
    }

    @Parameters(commandDescription = "Prints what the journal in a folder holds; it changes nothing")
    private static final class ShowState implements Command {
        @Parameter(description = "the folder that RELAY_STATE names", required = true)
        private String folder;

        @Override
        public int run() throws IOException {
            for (Journal.Owed owed : Journal.read(Path.of(folder))) {
                System.out.println(owed.number() + " " + owed.request().key() + " dest="
                        + owed.request().destination() + " class="
                        + owed.request().messageClass()
                        + " attempts=" + owed.attempts() + " may_have_run=" + owed.mayHaveRun() + " end="
                        + (owed.end() == null
                                ? "owed"
                                : owed.end().kind().name().toLowerCase(Locale.ROOT)));
            }
            return 0;
        }
    }

    @Parameters(
            commandDescription = "The operator's file: 'show' prints every key with its default, "
                    + "'show FILE' what is in force with the file, 'check FILE...' checks files")
    private static final class ShowSettings implements Command {
        @Parameter(description = "show [FILE] or check FILE...", required = true)
        private List<String> words = new ArrayList<>();

        @Override
        public int run() throws IOException {
            List<String> files = words.subList(1, words.size());
            if (words.get(0).equals("show") && files.size() <= 1) {
                System.out.print(
                        files.isEmpty()
                                ? OperatorSettings.shown()
                                : SettingsFile.read(files.get(0)).toml());
            } else if (words.get(0).equals("check") && !files.isEmpty()) {
                for (String file : files) {
                    OperatorSettings read = SettingsFile.read(file);
                    System.out.println(file + ": right; storm is " + (read.storm() == null ? "off" : "on")
                            + ", amqp is " + (read.amqp() == null ? "off" : "on") + ", fleet is "
                            + (read.fleet() == null ? "off" : "on") + ", control is "
                            + (read.control() == null ? "off" : "on"));
                }
            } else {
                throw new ParameterException("settings: expected 'show', 'show FILE' or 'check FILE...'");
            }
            return 0;
        }
    }

    @Parameters(commandDescription = "Starts a relay on loopback for a moment and hands it one RPC")
    private static final class RunSelfTest implements Command {
        @Override
        public int run() throws Exception {
            return SelfTest.run();
        }
    }

    @Parameters(commandDescription = "Prints the version")
    private static final class ShowVersion implements Command {
        @Override
        public int run() {
            String version = Main.class.getPackage().getImplementationVersion();
            System.out.println("juniperusher " + (version == null ? "(not from its jar)" : version));
            return 0;
        }
    }

    @Parameters(commandDescription = "Prints the commands and their options")
    private static final class Help implements Command {
        @Override
        public int run() {
            return 0;
        }
    }

    static String variable(String name) {
        String value = System.getenv(name);
        if (value == null || value.isEmpty()) {
            throw new ParameterException("the variable " + name + " is not set");
        }
        return value;
    }
}
