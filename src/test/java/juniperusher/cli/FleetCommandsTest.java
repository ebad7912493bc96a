package juniperusher.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.eclipsesource.json.Json;
import com.eclipsesource.json.JsonObject;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import juniperusher.TestPorts;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Runs the program as separate processes. Checks which classes {@code serve} loads with the fleet disabled and enabled,
 * and the errors that {@code control} prints for invalid settings.
 */
class FleetCommandsTest {
    private static final Pattern FLEET_CLASS = Pattern.compile("juniperusher\\.(fleet|shard|distribution)\\.\\S+");
    private static final long TIMEOUT_SECONDS = 60;

    @TempDir
    Path folder;

    private final List<Process> startedProcesses = new ArrayList<>();

    @AfterEach
    void stopProcesses() throws InterruptedException {
        for (Process process : startedProcesses) {
            process.destroyForcibly().waitFor(TIMEOUT_SECONDS, TimeUnit.SECONDS);
        }
    }

    private Process startProgram(String log, String... arguments) throws Exception {
        List<String> command = new ArrayList<>(List.of(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-XX:TieredStopAtLevel=1",
                "-Xmx128m",
                "-Xlog:class+load:file=" + folder.resolve(log + ".classes"),
                "-cp",
                System.getProperty("java.class.path"),
                "juniperusher.cli.Main"));
        command.addAll(List.of(arguments));
        ProcessBuilder builder = new ProcessBuilder(command);
        builder.environment().put("RELAY_CONFIG", folder.resolve("relay.json").toString());
        builder.environment().put("RELAY_STATE", folder.resolve("state").toString());
        builder.redirectErrorStream(true);
        builder.redirectOutput(folder.resolve(log).toFile());
        Process process = builder.start();
        startedProcesses.add(process);
        return process;
    }

    private int writeRelayConfiguration() throws Exception {
        JsonObject configuration;
        try (InputStream in = Main.class.getResourceAsStream("/selftest.json")) {
            configuration = Json.parse(new InputStreamReader(in, StandardCharsets.UTF_8))
                    .asObject();
        }
        int port = TestPorts.unused();
        configuration.set("listen", "127.0.0.1:" + port).set("discovery", "127.0.0.1:" + TestPorts.unused());
        Files.writeString(folder.resolve("relay.json"), configuration.toString());
        return port;
    }

    private void awaitCondition(String expected, Process process, String log, BooleanSupplier condition)
            throws Exception {
        long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_SECONDS);
        while (!condition.getAsBoolean()) {
            assertTrue(
                    System.nanoTime() < deadlineNanos && process.isAlive(),
                    () -> "timed out, or the process ended, before: " + expected + "; "
                            + readIfPresent(folder.resolve(log)));
            TimeUnit.MILLISECONDS.sleep(20);
        }
    }

    private static String readIfPresent(Path file) {
        try {
            return Files.exists(file) ? Files.readString(file) : "";
        } catch (java.io.IOException e) {
            throw new java.io.UncheckedIOException(e);
        }
    }

    private List<String> loadedFleetClasses(String log) throws Exception {
        try (Stream<String> lines = Files.lines(folder.resolve(log + ".classes"))) {
            return lines.map(FLEET_CLASS::matcher)
                    .filter(java.util.regex.Matcher::find)
                    .map(java.util.regex.Matcher::group)
                    .toList();
        }
    }

    private static String fetchMetrics(int port) {
        try (Socket socket = new Socket("127.0.0.1", port)) {
            socket.setSoTimeout(5_000);
            socket.getOutputStream()
                    .write("GET /metrics HTTP/1.1\r\nHost: relay\r\nConnection: close\r\n\r\n"
                            .getBytes(StandardCharsets.US_ASCII));
            return new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        } catch (java.io.IOException e) {
            return "";
        }
    }

    @Test
    void serveWithDisabledFleetLoadsNoFleetClasses() throws Exception {
        int port = writeRelayConfiguration();
        Files.writeString(folder.resolve("relay.toml"), "[storm]\n[fleet]\non = false\n");
        Process serve = startProgram(
                "serve", "serve", "--settings", folder.resolve("relay.toml").toString());
        awaitCondition(
                "the relay serves", serve, "serve", () -> fetchMetrics(port).contains("juniperusher_"));
        assertFalse(fetchMetrics(port).contains("juniperusher_fleet"));
        assertEquals(List.of(), loadedFleetClasses("serve"));
    }

    @Test
    void serveWithFleetSubscribesAndReportsTheMapInItsMetrics() throws Exception {
        int port = writeRelayConfiguration();
        int control = TestPorts.unused();
        Files.writeString(folder.resolve("relays"), "relay-1 north a 1\n");
        Files.writeString(
                folder.resolve("control.toml"),
                "[control]\nlisten = '127.0.0.1:" + control + "'\nstate = '" + folder.resolve("control-state")
                        + "'\nrelays = '" + folder.resolve("relays") + "'\n");
        Process leader = startProgram(
                "control",
                "control",
                "--settings",
                folder.resolve("control.toml").toString());
        awaitCondition(
                "the leader listens",
                leader,
                "control",
                () -> readIfPresent(folder.resolve("control")).contains("control process on"));
        Files.writeString(
                folder.resolve("relay.toml"),
                "[fleet]\ncontrol = ['127.0.0.1:" + control + "']\nregion = 'north'\nzone = 'a'\n");
        Process serve = startProgram(
                "serve", "serve", "--settings", folder.resolve("relay.toml").toString());
        awaitCondition(
                "the map is active",
                serve,
                "serve",
                () -> fetchMetrics(port).contains("juniperusher_fleet_map_epoch 1.0"));
        assertTrue(fetchMetrics(port).contains("juniperusher_fleet_maps_refused 0.0"));
        assertFalse(loadedFleetClasses("serve").isEmpty(), "the class log shows fleet classes if they are loaded");
        awaitCondition(
                "the map is saved",
                serve,
                "serve",
                () -> Files.exists(folder.resolve("state").resolve("shard-map")));
    }

    @Test
    void invalidControlSettingsGiveOneLineAndExitCodeTwo() throws Exception {
        Files.writeString(folder.resolve("bad.toml"), "[control]\nlisten = '127.0.0.1:70000'\nstate = 's'\n");
        assertRefused("bad", "bad.toml", "bad.toml:2: 'control.listen' = \"127.0.0.1:70000\"");
        Files.writeString(folder.resolve("none.toml"), "[storm]\n");
        assertRefused("none", "none.toml", "none.toml: expected a table [control] that is on");
        Files.writeString(
                folder.resolve("list.toml"),
                "[control]\nlisten = '127.0.0.1:0'\nstate = 's'\nrelays = 'no-such-file'\n".replace(":0'", ":1'"));
        assertRefused("list", "list.toml", "'control.relays' = \"no-such-file\": there is no such file");
    }

    private void assertRefused(String log, String file, String expected) throws Exception {
        Process control =
                startProgram(log, "control", "--settings", folder.resolve(file).toString());
        assertTrue(control.waitFor(TIMEOUT_SECONDS, TimeUnit.SECONDS));
        String output = readIfPresent(folder.resolve(log));
        assertEquals(2, control.exitValue(), output);
        assertTrue(output.contains(expected), output);
        assertEquals(1, output.lines().count(), output);
    }
}
