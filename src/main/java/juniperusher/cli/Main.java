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
import juniperusher.core.UnfinishedMessage;
import juniperusher.http.Config;
import juniperusher.http.RelayServer;
import juniperusher.http.WarmUp;
import juniperusher.mgmt.OperatorListener;
import juniperusher.net.Network;
import juniperusher.settings.OperatorSettings;
import juniperusher.sim.MalformedInputException;
import juniperusher.sim.SimHost;
import org.slf4j.LoggerFactory;

/**
 * The command line. Exit codes: 0 for success, 2 for invalid arguments or an invalid TOML file, 3 if an experiment of
 * the laboratory does not meet its expectations, and 1 for any other failure.
 */
public final class Main {
    private static final long MAX_WARM_UP_MILLIS = 2_000; // only before the first start

    private Main() {}

    /** A sub-command. */
    interface Command {
        /** Runs the command and returns the exit code. */
        int run() throws Exception;
    }

    /** Runs the sub-command that the arguments name, and exits with its code if that is not 0. */
    public static void main(String[] args) throws Exception {
        // The properties have to be set before the first logger is created. Logs go to standard error, because
        // standard output carries the simulator's protocol.
        System.setProperty("org.slf4j.simpleLogger.showDateTime", "true");
        System.setProperty("org.slf4j.simpleLogger.dateTimeFormat", "HH:mm:ss.SSS");
        int exitCode;
        try {
            exitCode = command(args).run();
        } catch (ParameterException e) {
            System.err.println("juniperusher: " + e.getMessage());
            exitCode = 2;
        } catch (NoSuchFileException e) {
            System.err.println("juniperusher: file not found: " + e.getMessage());
            exitCode = 1;
        } catch (IllegalArgumentException | IOException | MalformedInputException | UncheckedIOException e) {
            System.err.println("juniperusher: " + e.getMessage());
            exitCode = 1;
        }
        if (exitCode != 0) {
            System.exit(exitCode);
        }
    }

    private static Command command(String[] args) {
        if (args.length > 0 && args[0].equals("lab")) {
            return LabCommands.command(args);
        }
        JCommander commands = JCommander.newBuilder()
                .programName("juniperusher")
                .addCommand("serve", new Serve())
                .addCommand("simhost", new RunSimHost())
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
            throw new ParameterException("expected one of the commands "
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

    @Parameters(
            commandDescription =
                    "Runs instances of the decision module for the simulator, over standard input and output")
    private static final class RunSimHost implements Command {
        @Override
        public int run() throws IOException {
            return SimHost.run(System.in, System.out);
        }
    }

    @Parameters(
            commandDescription = "Runs one relay; RELAY_CONFIG names its configuration file and RELAY_STATE its folder")
    private static final class Serve implements Command {
        @Parameter(
                names = "--amqp",
                description = "JSON file of the AMQP 0-9-1 front, the older form of [amqp] in the --settings file")
        private String amqpFile;

        @Parameter(
                names = "--settings",
                description = "The operator's TOML file; without it all features that it can enable are off")
        private String settingsFile;

        @Parameter(
                names = "--remote-write",
                description = "Receiver of the counters by Prometheus remote "
                        + "write, as http://host:port/path; without it none are sent")
        private String remoteWriteUrl;

        @Parameter(names = "--remote-write-every", description = "Seconds between two writes to it")
        private int remoteWriteIntervalSeconds = 15;

        @Override
        public int run() throws Exception {
            Path configFile = Path.of(requireVariable("RELAY_CONFIG"));
            ReloadSignal reloadSignal = new ReloadSignal(configFile);
            Config config = Config.read(configFile);
            Path stateFolder = Path.of(requireVariable("RELAY_STATE"));
            String acceptFd = System.getenv("RELAY_ACCEPT_FD");
            ServerSocketChannel inheritedSocket;
            try {
                inheritedSocket = acceptFd == null || acceptFd.isEmpty() ? null : Network.inheritedSocket(acceptFd);
            } catch (IllegalArgumentException e) {
                throw new ParameterException(e.getMessage());
            }
            OperatorSettings operator = settingsFile == null ? null : SettingsFile.read(settingsFile);
            AmqpConfig amqpConfig = readAmqpConfig(amqpFile, operator);
            Counters counters = new Counters();
            Network network =
                    new Network(config.parsedSettings().settings().limits().connectTimeout(), config.maxDescriptors());
            // Listens before the warm-up, so that the operators' requests are answered 'not yet' in the meantime.
            OperatorListener operatorListener = config.operatorAddress() == null
                    ? null
                    : OperatorListener.listen(network, config.operatorAddress());
            WarmUp.run(config, stateFolder, MAX_WARM_UP_MILLIS);
            Extension extension = amqpConfig == null
                    ? null
                    : new AmqpExtension(
                            amqpConfig,
                            config.classNames(),
                            config.parsedSettings().settings(),
                            network,
                            counters);
            RelayServer relayServer = new RelayServer(
                    config,
                    stateFolder,
                    counters,
                    network,
                    extension,
                    operator == null ? null : operator.storm(),
                    inheritedSocket);
            if (operatorListener != null) {
                operatorListener.setRelay(relayServer);
            }
            AutoCloseable fleetMembership = operator == null || operator.fleet() == null
                    ? () -> {}
                    : FleetCommands.subscribeToShardMap(operator.fleet(), config.name(), stateFolder, counters);
            LoggerFactory.getLogger(Main.class).info("serving on {}", config.listen());
            if (remoteWriteUrl != null) {
                new RemoteWrite(
                                remoteWriteUrl,
                                config.name(),
                                Math.max(1, remoteWriteIntervalSeconds) * 1000L,
                                counters::text,
                                network)
                        .start();
            }
            Runtime.getRuntime()
                    .addShutdownHook(new Thread(
                            () -> {
                                try {
                                    relayServer.drain();
                                    System.err.print(counters.text());
                                    relayServer.close();
                                    fleetMembership.close();
                                } catch (Exception e) {
                                    System.err.println("juniperusher: shutdown failed: " + e);
                                }
                            },
                            "drain"));
            while (true) {
                reloadSignal.awaitReload();
                relayServer.reload(configFile);
            }
        }
    }

    /** Returns the configuration of the AMQP front, or null if the front is disabled. */
    private static AmqpConfig readAmqpConfig(String jsonFile, OperatorSettings operator) throws IOException {
        if (jsonFile == null) {
            return operator == null || operator.amqp() == null ? null : AmqpConfig.fromTable(operator.amqp());
        }
        if (operator != null && operator.amqp() != null) {
            throw new ParameterException("--amqp and [amqp] in the file of --settings exclude each other");
        }
        LoggerFactory.getLogger(Main.class)
                .atWarn()
                .addKeyValue("file", jsonFile)
                .log("--amqp is the older form: move its content to [amqp] in the file of --settings, see "
                        + "deploy/relay.toml");
        return AmqpConfig.readFile(Path.of(jsonFile));
    }

    @Parameters(commandDescription = "Prints the counters of running relays in the Prometheus text format")
    private static final class ShowCounters implements Command {
        @Parameter(description = "address of a relay, as host:port; more may follow", required = true)
        private List<String> addresses = new ArrayList<>();

        @Override
        public int run() throws IOException {
            for (String address : addresses) {
                System.out.print(MetricsClient.fetchCounters(Config.address(address)));
            }
            return 0;
        }
    }

    @Parameters(commandDescription = "Prints the messages in the journal of a folder, without changing it")
    private static final class ShowState implements Command {
        @Parameter(description = "the folder that RELAY_STATE names", required = true)
        private String folder;

        @Override
        public int run() throws IOException {
            for (UnfinishedMessage message : Journal.read(Path.of(folder))) {
                System.out.println(message.number() + " " + message.request().key() + " dest="
                        + message.request().destination() + " class="
                        + message.request().messageClass()
                        + " attempts=" + message.attempts() + " may_have_run=" + message.mayHaveRun() + " end="
                        + (message.end() == null
                                ? "owed"
                                : message.end().kind().name().toLowerCase(Locale.ROOT)));
            }
            return 0;
        }
    }

    @Parameters(
            commandDescription = "The operator's file: 'show' prints every key with its default, "
                    + "'show FILE' the effective settings of the file, 'check FILE...' checks files")
    private static final class ShowSettings implements Command {
        @Parameter(description = "show [FILE] or check FILE...", required = true)
        private List<String> arguments = new ArrayList<>();

        @Override
        public int run() throws IOException {
            List<String> files = arguments.subList(1, arguments.size());
            if (arguments.get(0).equals("show") && files.size() <= 1) {
                System.out.print(
                        files.isEmpty()
                                ? OperatorSettings.describeKeys()
                                : SettingsFile.read(files.get(0)).toToml());
            } else if (arguments.get(0).equals("check") && !files.isEmpty()) {
                for (String file : files) {
                    OperatorSettings checked = SettingsFile.read(file);
                    System.out.println(file + ": right; storm is " + (checked.storm() == null ? "off" : "on")
                            + ", amqp is " + (checked.amqp() == null ? "off" : "on") + ", fleet is "
                            + (checked.fleet() == null ? "off" : "on") + ", control is "
                            + (checked.control() == null ? "off" : "on"));
                }
            } else {
                throw new ParameterException("settings: expected 'show', 'show FILE' or 'check FILE...'");
            }
            return 0;
        }
    }

    @Parameters(commandDescription = "Starts a relay on loopback, sends it one RPC and stops it")
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

    /** Returns the value of an environment variable that has to be set. */
    static String requireVariable(String name) {
        String value = System.getenv(name);
        if (value == null || value.isEmpty()) {
            throw new ParameterException("the environment variable " + name + " is not set");
        }
        return value;
    }
}
