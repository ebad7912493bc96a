package juniperusher.http;

import com.eclipsesource.json.Json;
import com.eclipsesource.json.JsonArray;
import com.eclipsesource.json.JsonObject;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.function.BooleanSupplier;

/** A loopback server that stands for an outside system, with a thread per connection; also holds test utilities. */
abstract class FakeServer implements AutoCloseable {
    // The time limit of await, generous for slow machines; a condition that holds ends the wait at once.
    private static final long AWAIT_MILLIS = 20_000;

    final ServerSocket server = new ServerSocket(0, 200, InetAddress.getByName("127.0.0.1"));

    FakeServer() throws IOException {
        startThread(() -> {
            while (true) {
                Socket socket = server.accept();
                socket.setTcpNoDelay(true);
                startThread(() -> serve(socket));
            }
        });
    }

    /** The work of one thread, which ends with an exception when the socket is closed. */
    private interface ServerTask {
        void run() throws Exception;
    }

    /** Serves one connection. */
    abstract void serve(Socket socket) throws Exception;

    private void startThread(ServerTask task) {
        Thread thread = new Thread(
                () -> {
                    try {
                        task.run();
                    } catch (Exception e) {
                        return; // the peer or the test has closed the socket
                    }
                },
                getClass().getSimpleName());
        thread.setDaemon(true);
        thread.start();
    }

    int port() {
        return server.getLocalPort();
    }

    @Override
    public void close() throws IOException {
        server.close();
    }

    /** Writes and reads the configuration of a relay without endpoints; both arguments are ports on loopback. */
    static Config config(Path folder, int listen, int discovery) throws IOException {
        JsonObject json = Json.parse(Files.readString(Path.of("src/main/resources/selftest.json")))
                .asObject();
        json.set("listen", "127.0.0.1:" + listen).set("discovery", "127.0.0.1:" + discovery);
        json.get("known").asObject().set("servers", new JsonArray());
        return Config.read(Files.writeString(folder.resolve("c.json"), json.toString()));
    }

    /** Polls the condition until it holds; fails after {@link #AWAIT_MILLIS}. */
    static void await(String what, BooleanSupplier condition) throws InterruptedException {
        long until = System.currentTimeMillis() + AWAIT_MILLIS;
        while (!condition.getAsBoolean()) {
            if (System.currentTimeMillis() >= until) {
                throw new AssertionError("timed out waiting for: " + what);
            }
            Thread.sleep(5);
        }
    }
}
