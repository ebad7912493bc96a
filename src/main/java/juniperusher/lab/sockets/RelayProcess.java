package juniperusher.lab.sockets;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** One relay process, started with the options of the deployment, killed and started again on its folder. */
final class RelayProcess implements AutoCloseable {
    private static final List<String> OPTIONS = List.of(
            "-XX:+UseSerialGC",
            "-XX:TieredStopAtLevel=1",
            "-XX:-UsePerfData",
            "-Xms16m",
            "-Xmx64m",
            "-Xss256k",
            "-XX:MaxMetaspaceSize=48m");
    private static final long PATIENCE = 30_000; // ms for a start
    private static final long LAST = 10; // s to end by itself

    private final Path folder;
    private final InetSocketAddress listen;
    private final List<String> arguments;
    private Process process;

    /**
     * A program of the own class path, by its main class and its arguments; a relay's configuration is in
     * the folder
     * as {@code relay.json}.
     */
    RelayProcess(Path folder, InetSocketAddress listen, List<String> arguments) {
        this.folder = folder;
        this.listen = listen;
        this.arguments = arguments;
    }

    InetSocketAddress listen() {
        return listen;
    }

    synchronized boolean alive() {
        return process != null && process.isAlive();
    }

    /** Starts it; it is not up yet. */
    synchronized void start() throws IOException {
        List<String> command = new ArrayList<>();
        command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        command.addAll(OPTIONS);
        command.addAll(List.of("-cp", System.getProperty("java.class.path")));
        command.addAll(arguments);
        ProcessBuilder builder = new ProcessBuilder(command);
        builder.environment().put("RELAY_CONFIG", folder.resolve("relay.json").toString());
        builder.environment()
                .put(
                        "RELAY_STATE",
                        Files.createDirectories(folder.resolve("state")).toString());
        builder.redirectErrorStream(true);
        builder.redirectOutput(
                ProcessBuilder.Redirect.appendTo(folder.resolve("log").toFile()));
        process = builder.start();
    }

    /** Waits until it answers; an {@link IOException} with the end of its log if it does not. */
    void awaitUp() throws IOException, InterruptedException {
        long until = System.currentTimeMillis() + PATIENCE;
        while (System.currentTimeMillis() < until && alive()) {
            try (Socket socket = new Socket()) {
                socket.connect(listen, 200);
                socket.setSoTimeout(1000);
                socket.getOutputStream()
                        .write("GET /up HTTP/1.1\r\nHost: relay\r\nConnection: close\r\n\r\n"
                                .getBytes(StandardCharsets.US_ASCII));
                if (new String(socket.getInputStream().readNBytes(12), StandardCharsets.US_ASCII).endsWith(" 200")) {
                    return;
                }
            } catch (IOException e) {
                Thread.sleep(20); // not yet
            }
        }
        List<String> log = Files.readAllLines(folder.resolve("log"));
        throw new IOException("a relay does not come up: " + (log.isEmpty() ? "" : log.get(log.size() - 1)));
    }

    /** SIGKILL. */
    synchronized void kill() {
        process.destroyForcibly();
    }

    /** Ends it as a planned end does, and by force if that takes too long. */
    @Override
    public synchronized void close() {
        if (process == null) {
            return;
        }
        process.destroy();
        try {
            if (!process.waitFor(LAST, TimeUnit.SECONDS)) {
                process.destroyForcibly().waitFor(LAST, TimeUnit.SECONDS);
            }
        } catch (InterruptedException e) {
            process.destroyForcibly();
            Thread.currentThread().interrupt();
        }
    }
}
