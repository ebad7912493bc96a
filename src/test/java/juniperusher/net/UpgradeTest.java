package juniperusher.net;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.eclipsesource.json.Json;
import com.eclipsesource.json.JsonObject;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.BooleanSupplier;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import juniperusher.TestPorts;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.Test;

/**
 * An upgrade with two real processes on one state folder. The second process leaves the journal alone while the first
 * one runs, and takes it over after the first one's SIGKILL. Then it fails the order whose call was in flight
 * permanently and sends neither that order nor the delivered notice again.
 */
public class UpgradeTest {
    private static final Pattern ID = Pattern.compile("X-Call-Id: (\\S+)");
    private static final long CONDITION_TIMEOUT_MILLIS = 10_000;

    private final List<String> receivedIds = new CopyOnWriteArrayList<>(); // ids of calls in the order of arrival
    private final List<String> statusReports = new CopyOnWriteArrayList<>();
    private final List<Process> processes = new CopyOnWriteArrayList<>();
    private final List<ServerSocket> servers = new CopyOnWriteArrayList<>();

    @AfterMethod(alwaysRun = true)
    public void stop() throws Exception {
        for (Process program : processes) {
            program.destroyForcibly().waitFor();
        }
        for (ServerSocket server : servers) {
            server.close();
        }
    }

    /** Reads the head and content of one request; null at the end of the connection. */
    private static String readRequest(InputStream in) throws IOException {
        ByteArrayOutputStream head = new ByteArrayOutputStream();
        while (!head.toString(StandardCharsets.ISO_8859_1).endsWith("\r\n\r\n")) {
            int b = in.read();
            if (b < 0) {
                return null;
            }
            head.write(b);
        }
        String text = head.toString(StandardCharsets.ISO_8859_1);
        Matcher length = Pattern.compile("(?i)Content-Length: (\\d+)").matcher(text);
        return text
                + new String(
                        in.readNBytes(length.find() ? Integer.parseInt(length.group(1)) : 0),
                        StandardCharsets.ISO_8859_1);
    }

    /** Starts a server that handles each connection on a separate thread, and returns its port. */
    private int serve(Handler handler) throws IOException {
        ServerSocket server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        servers.add(server);
        Thread thread = new Thread(() -> {
            while (!server.isClosed()) {
                try {
                    Socket socket = server.accept();
                    Thread connectionThread = new Thread(() -> {
                        try (socket) {
                            for (String request = readRequest(socket.getInputStream());
                                    request != null;
                                    request = readRequest(socket.getInputStream())) {
                                handler.handle(request, socket.getOutputStream());
                            }
                        } catch (IOException e) {
                            // the program closed the connection or was killed
                        }
                    });
                    connectionThread.setDaemon(true);
                    connectionThread.start();
                } catch (IOException e) {
                    return;
                }
            }
        });
        thread.setDaemon(true);
        thread.start();
        return server.getLocalPort();
    }

    private interface Handler {
        void handle(String request, OutputStream out) throws IOException;
    }

    private static void write(OutputStream out, String text) throws IOException {
        out.write(text.getBytes(StandardCharsets.ISO_8859_1));
        out.flush();
    }

    private Process start(Path config, Path state, int listen) throws Exception {
        ProcessBuilder builder = new ProcessBuilder(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-cp",
                System.getProperty("surefire.test.class.path", System.getProperty("java.class.path")),
                "juniperusher.cli.Main",
                "serve");
        builder.environment().put("RELAY_CONFIG", config.toString());
        builder.environment().put("RELAY_STATE", state.toString());
        Process program = builder.redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.DISCARD)
                .start();
        processes.add(program);
        await("the program listens", () -> {
            try (Socket probe = new Socket(InetAddress.getLoopbackAddress(), listen)) {
                return true;
            } catch (IOException e) {
                assertTrue(program.isAlive(), "the program ended");
                return false;
            }
        });
        return program;
    }

    private static int submit(int port, String id, String kind) throws IOException {
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
            socket.setSoTimeout(5_000);
            write(
                    socket.getOutputStream(),
                    "POST /" + kind + " HTTP/1.1\r\nHost: a\r\nX-Call-Id: " + id
                            + "\r\nX-Call-Class: " + kind + "\r\nX-Budget: 15000m\r\nX-Envelope: dest=7\r\n"
                            + "Content-Length: 2\r\n\r\nab");
            return Integer.parseInt(
                    new String(socket.getInputStream().readNBytes(12), StandardCharsets.ISO_8859_1).substring(9));
        }
    }

    private static void await(String what, BooleanSupplier condition) throws InterruptedException {
        long deadlineMillis = System.currentTimeMillis() + CONDITION_TIMEOUT_MILLIS;
        while (!condition.getAsBoolean()) {
            assertTrue(System.currentTimeMillis() < deadlineMillis, "timed out waiting for: " + what);
            Thread.sleep(10);
        }
    }

    private long receivedCount(String id) {
        return receivedIds.stream().filter(id::equals).count();
    }

    @Test
    public void secondProcessTakesOverOnlyAfterFirstIsKilled() throws Exception {
        Path folder = Files.createTempDirectory("upgrade");
        Path state = folder.resolve("state");
        // The endpoint answers notices but never orders, so the order in flight when the first process ends may
        // have run. Retries of the first process do not change the counts: it never sends an order twice, and a
        // delivered notice is finished.
        int endpoint = serve((request, out) -> {
            Matcher id = ID.matcher(request);
            if (id.find()) {
                receivedIds.add(id.group(1));
                if (id.group(1).equals("notice")) {
                    write(out, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
                }
            }
        });
        String list = "{\"version\":1,\"full\":true,\"servers\":[{\"id\":\"s-1\",\"addr\":\"127.0.0.1:"
                + endpoint + "\",\"zone\":\"lisboa-1\",\"kind\":\"pequeno-projeto\",\"cell\":7,"
                + "\"state\":\"up\",\"weight\":5}]}";
        int discovery = serve((request, out) -> {
            if (request.startsWith("GET /discovery/hosts?stream=1")) {
                write(out, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"); // a watch without data
            } else if (request.startsWith("GET /discovery/hosts")) {
                write(out, "HTTP/1.1 200 OK\r\nContent-Length: " + list.length() + "\r\n\r\n" + list);
            } else {
                statusReports.add(request.substring(request.indexOf("\r\n\r\n") + 4));
                write(out, "HTTP/1.1 204 No Content\r\n\r\n");
            }
        });
        JsonObject json = Json.parse(Files.readString(Path.of("src/main/resources/selftest.json")))
                .asObject();
        json.set("discovery", "127.0.0.1:" + discovery);
        json.get("known")
                .asObject()
                .set("servers", Json.parse(list).asObject().get("servers").asArray());
        // The timeout of an order's call depends on this objective; the call must last until the process ends.
        json.get("settings")
                .asObject()
                .get("requestClasses")
                .asArray()
                .get(1)
                .asObject()
                .set("objectiveS", 4);
        int firstPort = TestPorts.unused();
        int secondPort = TestPorts.unused();
        Path firstConfig = Files.writeString(
                folder.resolve("one.json"),
                json.set("listen", "127.0.0.1:" + firstPort).toString());
        Path secondConfig = Files.writeString(
                folder.resolve("two.json"),
                json.set("listen", "127.0.0.1:" + secondPort).toString());

        Process firstProcess = start(firstConfig, state, firstPort);
        assertEquals(submit(firstPort, "order", "ordem-build"), 202);
        assertEquals(submit(firstPort, "notice", "aviso-push"), 202);
        await("both calls are in flight", () -> receivedCount("order") == 1 && receivedCount("notice") == 1);
        start(secondConfig, state, secondPort);
        Thread.sleep(500); // a second process that read the journal would have sent both again by now
        assertEquals(
                receivedCount("order"), 1L, "the second process sent the order while the first process was running");
        assertEquals(
                receivedCount("notice"), 1L, "the second process sent the notice while the first process was running");

        firstProcess.destroyForcibly().waitFor();
        await(
                "the order is reported as given up",
                () -> statusReports.stream()
                        .anyMatch(text -> text.contains("{\"message\":\"order\",\"outcome\":\"given_up\"}")));
        Thread.sleep(500); // by now the second process has sent what it took over
        assertEquals(receivedCount("order"), 1L, "an order that may have run was sent again");
        assertEquals(receivedCount("notice"), 1L, "a delivered notice was sent again");
    }
}
