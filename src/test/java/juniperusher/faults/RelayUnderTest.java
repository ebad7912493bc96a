package juniperusher.faults;

import com.eclipsesource.json.Json;
import com.eclipsesource.json.JsonArray;
import com.eclipsesource.json.JsonObject;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import juniperusher.TestPorts;

/** A relay process that runs {@code serve} with the JVM options of the deployment and the fault library. */
final class RelayUnderTest implements AutoCloseable {
    private static final Path INHERIT_SOURCE = Path.of("src/test/c/inherit.c");
    private static final Path INHERIT_PROGRAM = Path.of("target/inherit").toAbsolutePath();
    private static final Path DEPLOY_FILE = Path.of("deploy/balancer.toml");
    private static final long START_TIMEOUT_MILLIS = 30_000;
    /** The message classes in {@code selftest.json}. Messages of the second one must not be repeated. */
    static final List<String> CLASSES = List.of("aviso-push", "ordem-build");

    private final Path folder;
    private final String suffix;
    private final Path log;
    private final JsonObject config;
    private final FaultShim faults;
    private final int port;
    private List<String> extraJvmOptions = List.of();
    private boolean inheritsSocket;
    private Process process;

    RelayUnderTest(Path folder, PlatformStandIn platform, JsonArray servers) throws IOException, InterruptedException {
        this(folder, "", platform, servers);
    }

    /** Creates one of several processes that share {@code folder}; the suffix tells their files apart. */
    RelayUnderTest(Path folder, String suffix, PlatformStandIn platform, JsonArray servers)
            throws IOException, InterruptedException {
        this.folder = folder;
        this.suffix = suffix;
        log = folder.resolve("log" + suffix);
        Path state = Files.createDirectories(folder.resolve("state"));
        faults = new FaultShim(state, folder.resolve("faults" + suffix));
        port = TestPorts.unused();
        config = Json.parse(Files.readString(Path.of("src/main/resources/selftest.json")))
                .asObject();
        config.set("listen", "127.0.0.1:" + port).set("discovery", "127.0.0.1:" + platform.port());
        config.get("known").asObject().set("servers", servers);
        writeConfig();
    }

    /** Sets one of the limits in the configuration of the next start, such as {@code disk_mb}. */
    void setLimit(String name, int value) throws IOException {
        config.get("limits").asObject().set(name, value);
        writeConfig();
    }

    void writeConfig() throws IOException {
        Files.writeString(folder.resolve("relay" + suffix + ".json"), config.toString());
    }

    Path folder() {
        return folder;
    }

    FaultShim faults() {
        return faults;
    }

    InetSocketAddress address() {
        return new InetSocketAddress("127.0.0.1", port);
    }

    /**
     * Starts a process and waits until it reports that it is up.
     *
     * @throws IOException if the process exits or is not up in time
     */
    void start() throws IOException, InterruptedException {
        List<String> command = new ArrayList<>();
        if (inheritsSocket) {
            CProgram.build(INHERIT_SOURCE, INHERIT_PROGRAM);
            command.add(INHERIT_PROGRAM.toString());
            command.add(Integer.toString(port));
        }
        command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        command.addAll(deployedJvmOptions());
        command.addAll(extraJvmOptions); // of two that contradict each other, the last one counts
        command.add("-Dorg.slf4j.simpleLogger.log.juniperusher.messages=debug");
        command.add("-cp");
        command.add(System.getProperty("surefire.test.class.path", System.getProperty("java.class.path")));
        command.add("juniperusher.cli.Main");
        command.add("serve");
        ProcessBuilder builder = new ProcessBuilder(command);
        builder.environment()
                .put("RELAY_CONFIG", folder.resolve("relay" + suffix + ".json").toString());
        builder.environment().put("RELAY_STATE", folder.resolve("state").toString());
        builder.environment().putAll(faults.environment());
        if (inheritsSocket) {
            builder.environment().put("RELAY_ACCEPT_FD", "0");
        }
        builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
        process = builder.start();
        awaitReady();
    }

    /** The options of the deployed command but for its class archive, which belongs to the jar. */
    private static List<String> deployedJvmOptions() throws IOException {
        String run = Files.readAllLines(DEPLOY_FILE).stream()
                .filter(line -> line.startsWith("run = "))
                .findFirst()
                .orElseThrow();
        return Stream.of(run.substring(run.indexOf(" java ") + " java ".length(), run.indexOf(" -jar "))
                        .split(" "))
                .filter(option -> !option.contains("SharedArchiveFile"))
                .toList();
    }

    /** Lets the next starts inherit their listening socket, as at an upgrade. */
    void inheritSocket() {
        inheritsSocket = true;
    }

    /** Sets options of the next starts beyond those of the deployment. */
    void setJvmOptions(String... options) {
        extraJvmOptions = List.of(options);
    }

    /** Waits for the process to exit and returns its exit code, or -1 if it lives on. */
    int awaitExit(long millis) throws InterruptedException {
        return process.waitFor(millis, TimeUnit.MILLISECONDS) ? process.exitValue() : -1;
    }

    private void awaitReady() throws IOException, InterruptedException {
        long deadline = System.nanoTime() + START_TIMEOUT_MILLIS * 1_000_000;
        while (System.nanoTime() < deadline) {
            if (!process.isAlive()) {
                throw new IOException(
                        "the relay process exited with code " + process.exitValue() + ": " + lastLines(5));
            }
            try (Socket socket = new Socket()) {
                socket.connect(address(), 200);
                socket.setSoTimeout(1_000);
                socket.getOutputStream()
                        .write("GET /up HTTP/1.1\r\nHost: relay\r\nConnection: close\r\n\r\n"
                                .getBytes(StandardCharsets.US_ASCII));
                if (new String(socket.getInputStream().readNBytes(12), StandardCharsets.US_ASCII).endsWith(" 200")) {
                    return;
                }
            } catch (IOException e) {
                Thread.sleep(20); // not listening yet
            }
        }
        throw new IOException("the relay did not report that it is up: " + lastLines(5));
    }

    /** The last lines of the log, at most {@code count}. */
    List<String> lastLines(int count) throws IOException {
        List<String> lines = Files.readAllLines(log);
        return lines.subList(Math.max(0, lines.size() - count), lines.size());
    }

    /** The current size of the log in bytes. */
    long logBytes() throws IOException {
        return Files.size(log);
    }

    boolean isAlive() {
        return process.isAlive();
    }

    /** Sends the signal with this name, such as {@code HUP}. */
    void signal(String name) throws IOException, InterruptedException {
        new ProcessBuilder("kill", "-" + name, Long.toString(process.pid()))
                .start()
                .waitFor();
    }

    /** Sends SIGKILL and waits for the process to exit. */
    void kill() throws InterruptedException {
        process.destroyForcibly();
        process.waitFor(10, TimeUnit.SECONDS);
    }

    @Override
    public void close() throws InterruptedException {
        if (process != null) {
            kill();
        }
    }
}
