package juniperusher.net;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.eclipsesource.json.Json;
import com.eclipsesource.json.JsonArray;
import com.eclipsesource.json.JsonObject;
import java.io.IOException;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import juniperusher.TestPorts;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Restarts after SIGTERM and SIGKILL, and reloads on SIGHUP, with unfinished messages in the journal. */
public class RestartTest {
    private static final String ENDPOINT_LIST = "{\"version\":1,\"full\":true,\"servers\":[{\"id\":\"s-1\","
            + "\"kind\":\"pequeno-projeto\",\"cell\":7,\"state\":\"up\",\"weight\":5}]}";
    private static final String WATCH_REQUESTS = watchRequests("platform", ENDPOINT_LIST, 1);

    private Path folder;
    private ExchangePlayer player;
    private Process program;
    private int port;

    @BeforeMethod
    public void configure() throws Exception {
        folder = Files.createTempDirectory("restart");
        player = new ExchangePlayer();
        port = TestPorts.unused();
        player.client("client", port);
        JsonObject json = Json.parse(Files.readString(Path.of("src/main/resources/selftest.json")))
                .asObject();
        json.set("listen", "127.0.0.1:" + port).set("discovery", "127.0.0.1:" + player.server("platform"));
        json.get("known")
                .asObject()
                .set(
                        "servers",
                        new JsonArray()
                                .add(new JsonObject()
                                        .add("id", "s-1")
                                        .add("addr", "127.0.0.1:" + player.server("endpoint"))
                                        .add("zone", "lisboa-1")
                                        .add("cell", 7)
                                        .add("kind", "pequeno-projeto")
                                        .add("state", "up")
                                        .add("weight", 5)));
        // The timeout of an order's call depends on this objective; the call must last until the test ends it.
        json.get("settings")
                .asObject()
                .get("requestClasses")
                .asArray()
                .get(1)
                .asObject()
                .set("objectiveS", 4);
        Files.writeString(folder.resolve("relay.json"), json.toString());
    }

    @AfterMethod(alwaysRun = true)
    public void stop() throws Exception {
        program.destroyForcibly().waitFor();
        player.close();
    }

    private void start() throws Exception {
        start("exec \"$@\"");
    }

    private void start(String shell) throws Exception {
        ProcessBuilder builder = new ProcessBuilder(
                "sh",
                "-c",
                shell,
                "sh",
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-cp",
                System.getProperty("surefire.test.class.path", System.getProperty("java.class.path")),
                "juniperusher.cli.Main",
                "serve");
        builder.environment().put("RELAY_CONFIG", folder.resolve("relay.json").toString());
        builder.environment().put("RELAY_STATE", folder.resolve("state").toString());
        program = builder.redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.DISCARD)
                .start();
        for (int i = 0; ; i++) {
            try (Socket probe = new Socket("127.0.0.1", port)) {
                return;
            } catch (IOException e) {
                assertTrue(i < 200 && program.isAlive(), "the program does not listen");
                Thread.sleep(50);
            }
        }
    }

    /**
     * The program's two requests to a source, each on a connection of its own: first the whole list, since the index of
     * a watch is valid only at the source that issued it, then the watch from that index on, by the party with a 0.
     */
    private static String watchRequests(String party, String list, long version) {
        return party + "< GET /discovery/hosts HTTP/1.1\\r\\nHost: discovery\\r\\n\\r\\n\n"
                + party + "> HTTP/1.1 200 OK\\r\\nContent-Length: " + list.length() + "\\r\\n\\r\\n" + list
                + '\n' + party + "!\n" + party + "0< GET /discovery/hosts?stream=1&index=" + version
                + " HTTP/1.1\\r\\nHost: discovery\\r\\n\\r\\n\n";
    }

    private void play(String lines) throws Exception {
        player.play(Files.writeString(folder.resolve("exchange.txt"), lines));
    }

    private static String submit(String party, String id, String kind) {
        return party + "> POST /" + kind + " HTTP/1.1\\r\\nHost: a\\r\\nX-Call-Id: " + id
                + "\\r\\nX-Call-Class: " + kind
                + "\\r\\nX-Budget: 15000m\\r\\nContent-Length: 2\\r\\nX-Envelope: dest=7\\r\\n\\r\\nab\n"
                + party
                + "< HTTP/1.1 202 Accepted\\r\\nContent-Length: 0\\r\\n\\r\\n\n";
    }

    private static String receiveCall(String party, String id) {
        return party + "< POST /receive HTTP/1.1\\r\\nHost: endpoint\\r\\nX-Call-Id: " + id
                + "\\r\\nX-Budget: {*}m\\r\\nContent-Length: 2\\r\\n\\r\\nab\n";
    }

    @Test
    public void afterSigkillOrderThatMayHaveRunFailsAndNoticeIsResent() throws Exception {
        start();
        play(WATCH_REQUESTS
                + submit("client1", "order", "ordem-build")
                + receiveCall("endpoint1", "order")
                + submit("client2", "notice", "aviso-push")
                + receiveCall("endpoint2", "notice"));
        program.destroyForcibly().waitFor();
        start();
        // Only the notice reaches the endpoint again; the order's call was in flight when the process was killed.
        // The status report of the order's failure comes on a separate connection, before or after the watch.
        play(watchRequests("platform2", ENDPOINT_LIST, 1).replace("platform20<", "platform20^ G\nplatform20<")
                + receiveCall("endpoint3", "notice")
                + "endpoint3> HTTP/1.1 200 OK\\r\\nContent-Length: 0\\r\\n\\r\\n\n");
        play("platform3< POST /status HTTP/1.1\\r\\nHost: platform\\r\\nContent-Length: 41\\r\\n\\r\\n"
                + "{\"message\":\"order\",\"outcome\":\"given_up\"}\\n\n"
                + "platform3> HTTP/1.1 204 No Content\\r\\n\\r\\n\n");
    }

    private void sendSighup() throws Exception {
        assertEquals(
                new ProcessBuilder("kill", "-HUP", Long.toString(program.pid()))
                        .start()
                        .waitFor(),
                0);
    }

    /** Processes inherit an ignored signal, so a relay under nohup never receives SIGHUP and watches the file. */
    @Test
    public void changedFileIsReloadedWhenSighupIsIgnored() throws Exception {
        assertReload("trap '' HUP; exec \"$@\"");
    }

    @Test
    public void sighupMovesWatchAndReportsAndIgnoresBrokenFile() throws Exception {
        assertReload("exec \"$@\"");
    }

    private void assertReload(String shell) throws Exception {
        start(shell);
        play(WATCH_REQUESTS + submit("client1", "order", "ordem-build") + receiveCall("endpoint1", "order"));
        Path file = folder.resolve("relay.json");
        JsonObject json = Json.parse(Files.readString(file)).asObject();
        Files.writeString(file, json.toString().substring(0, 900));
        sendSighup();
        play("~ 300\n" + submit("client1", "m1", "aviso-push") + receiveCall("endpoint2", "m1")
                + "endpoint2> HTTP/1.1 200 OK\\r\\nContent-Length: 0\\r\\n\\r\\n\n");
        Files.writeString(
                file,
                json.set("discovery", "127.0.0.1:" + player.server("moved")).toString());
        sendSighup();
        // Another source may use other version numbers for its lists.
        play("platform0!\n" + watchRequests("moved", "{\"version\":0,\"full\":true,\"servers\":[]}", 0)
                + "endpoint1x\nmoved2< POST /status HTTP/1.1\\r\\nHost: platform\\r\\n"
                + "Content-Length: 41\\r\\n\\r\\n{\"message\":\"order\",\"outcome\":\"given_up\"}\\n\n"
                + "moved2> HTTP/1.1 204 No Content\\r\\n\\r\\n\n");
        assertTrue(program.isAlive());
    }

    private void moveDiscoveryTo(String party, JsonObject json) throws Exception {
        Files.writeString(
                folder.resolve("relay.json"),
                json.set("discovery", "127.0.0.1:" + player.server(party)).toString());
        sendSighup();
    }

    @Test
    public void sighupIsHandledDuringShutdown() throws Exception {
        start();
        play(WATCH_REQUESTS);
        program.destroy();
        moveDiscoveryTo(
                "moved",
                Json.parse(Files.readString(folder.resolve("relay.json"))).asObject());
        play("platform0!\n" + watchRequests("moved", ENDPOINT_LIST.replace("\"up\"", "\"draining\""), 1));
        assertTrue(program.waitFor(5, TimeUnit.SECONDS), "the program does not exit");
        assertEquals(program.exitValue(), 143);
    }

    /** The restarted relay knows the list from before SIGHUP, whose version belongs to another source. */
    @Test
    public void killAfterSighupDiscardsVersionOfPreviousSource() throws Exception {
        start();
        play(WATCH_REQUESTS);
        moveDiscoveryTo(
                "moved",
                Json.parse(Files.readString(folder.resolve("relay.json"))).asObject());
        program.destroyForcibly().waitFor();
        player.server("moved"); // ignores the connections of the killed process
        JsonObject json =
                Json.parse(Files.readString(folder.resolve("relay.json"))).asObject();
        Files.writeString(
                folder.resolve("relay.json"),
                json.set("discovery", "127.0.0.1:" + player.server("back")).toString());
        start();
        String list = ENDPOINT_LIST.replace("\"version\":1", "\"version\":0").replace("\"up\"", "\"draining\"");
        play(watchRequests("back", list, 0)
                + submit("client1", "m1", "aviso-push").replace("15000m", "400m")
                + "back2< POST /status HTTP/1.1\\r\\nHost: platform\\r\\nContent-Length: 59\\r\\n\\r\\n"
                + "{\"message\":\"m1\",\"outcome\":\"handed_back\",\"retry_in_ms\":{*}}\\n\n"
                + "back2> HTTP/1.1 204 No Content\\r\\n\\r\\n\n");
    }

    @Test
    public void sigtermServesArrivingMessagesAndExitsInTime() throws Exception {
        start();
        play(WATCH_REQUESTS + submit("client1", "m1", "aviso-push") + receiveCall("endpoint1", "m1")
                + "endpoint1> HTTP/1.1 200 OK\\r\\nContent-Length: 0\\r\\n\\r\\n\n");
        long startMillis = System.currentTimeMillis();
        program.destroy();
        play("~ 300\n" + submit("client1", "m2", "aviso-push") + receiveCall("endpoint2", "m2")
                + "endpoint2> HTTP/1.1 200 OK\\r\\nContent-Length: 0\\r\\n\\r\\n\n~ 1600\n"
                + submit("client2", "order", "ordem-build"));
        assertTrue(program.waitFor(5, TimeUnit.SECONDS), "the program does not exit");
        long tookMillis = System.currentTimeMillis() - startMillis;
        assertTrue(tookMillis < 4_000, "the program exited after " + tookMillis + " ms");
        assertEquals(program.exitValue(), 143);
        start();
        // The order was accepted too late to be sent; the next process sends it from the journal.
        play(receiveCall("endpoint3", "order") + "endpoint3> HTTP/1.1 200 OK\\r\\nContent-Length: 0\\r\\n\\r\\n\n");
    }

    /**
     * Clients submit on their open connections until the process exits. Calls in flight may complete before that. A
     * message that arrives too late is accepted but not sent; otherwise it would reach the endpoint a second time
     * after the restart.
     */
    @Test
    public void callsInFlightAtExitCompleteAndLateMessagesAreSentOnceAfterRestart() throws Exception {
        start();
        play(WATCH_REQUESTS);
        program.destroy();
        play("~ 3000\n" + submit("client1", "m1", "aviso-push") + receiveCall("endpoint1", "m1")
                + "~ 270\n" + submit("client1", "m2", "aviso-push")
                + "endpoint1> HTTP/1.1 200 OK\\r\\nContent-Length: 0\\r\\n\\r\\n\n");
        assertTrue(program.waitFor(5, TimeUnit.SECONDS), "the program does not exit");
        start();
        play(receiveCall("endpoint2", "m2") + "endpoint2> HTTP/1.1 200 OK\\r\\nContent-Length: 0\\r\\n\\r\\n\n");
    }
}
