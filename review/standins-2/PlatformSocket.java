import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** The clients' listening socket at an upgrade, and the relay processes that inherit it. */
final class PlatformSocket implements AutoCloseable {
    private final World world;
    private final Process holder;
    private final PrintWriter commands;
    private final BufferedReader answers;
    private final List<ProcessHandle> relays = new ArrayList<>();
    final int port;

    PlatformSocket(World world) throws IOException {
        this.world = world;
        port = World.freePort();
        holder = new ProcessBuilder(world.root.resolve("target/review-2/platformsocket").toString(), "" + port)
                .redirectError(ProcessBuilder.Redirect.INHERIT)
                .start();
        commands = new PrintWriter(holder.getOutputStream(), true);
        answers = new BufferedReader(new InputStreamReader(holder.getInputStream()));
        Runtime.getRuntime().addShutdownHook(new Thread(this::close));
    }

    /** Starts the run command of the deploy file; {@code mgmt} is the process's own address for operators. */
    ProcessHandle start(World.Relay relay, int mgmt) throws Exception {
        String run = Files.readAllLines(world.root.resolve("deploy/balancer.toml")).stream()
                .filter(line -> line.startsWith("run = \""))
                .map(line -> line.substring(7, line.lastIndexOf('"')))
                .findFirst()
                .orElseThrow();
        String tmp = Files.createDirectories(world.folder.resolve("tmp")).toString();
        commands.println("cd '" + world.root + "'; export TMPDIR='" + tmp + "' RELAY_NAME=n0 RELAY_LISTEN=127.0.0.1:"
                + port + " RELAY_STATE='" + relay.state + "' RELAY_CONFIG='" + relay.config
                + "' RELAY_DISCOVERY=" + relay.environment.get("RELAY_DISCOVERY") + " RELAY_ACCEPT_FD=0 RELAY_MGMT=127.0.0.1:" + mgmt + "; exec >>'"
                + world.folder.resolve(relay.name + ".log") + "' 2>&1; " + run + relay.arguments);
        long pid = Long.parseLong(answers.readLine());
        Optional<ProcessHandle> handle = ProcessHandle.of(pid);
        ProcessHandle started = handle.orElseThrow(() -> new World.Unplayable("the process did not start"));
        synchronized (relays) {
            relays.add(started);
        }
        world.log("relay " + relay.name + " started, process " + pid);
        return started;
    }

    /** Waits until GET /status at the operators' address answers 200. */
    void awaitYes(int mgmt) throws Exception {
        long until = world.now() + 30_000;
        while (world.now() < until) {
            try (World.Client client = new World.Client(mgmt)) {
                if (client.exchange("GET /status HTTP/1.1\r\nHost: relay\r\n\r\n", new byte[0], 1000).status == 200) {
                    world.log("GET /status at " + mgmt + " answers 200");
                    return;
                }
            } catch (IOException e) {
                // not listening yet
            }
            World.sleep(10);
        }
        throw new World.Unplayable("no yes at " + mgmt + " within 30 s");
    }

    void signal(ProcessHandle process, String signal) throws Exception {
        world.log("process " + process.pid() + " gets SIG" + signal);
        new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
    }

    @Override
    public void close() {
        synchronized (relays) {
            relays.forEach(ProcessHandle::destroyForcibly);
        }
        holder.destroyForcibly();
    }
}
