package juniperusher.http;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import com.eclipsesource.json.Json;
import com.eclipsesource.json.JsonArray;
import com.eclipsesource.json.JsonObject;
import com.eclipsesource.json.JsonValue;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import juniperusher.Protocol.Effect;
import juniperusher.TestPorts;
import juniperusher.core.Counters;
import juniperusher.net.Network;
import org.testng.annotations.Test;

/** Reloads on SIGHUP: classes added and removed, stricter classes, fewer attempts, invalid files. */
public class ReloadTest {
    private static JsonObject baseFile(int listen) throws Exception {
        JsonObject json = Json.parse(Files.readString(Path.of("src/main/resources/selftest.json")))
                .asObject();
        json.set("listen", "127.0.0.1:" + listen).set("discovery", "127.0.0.1:" + TestPorts.unused());
        json.get("known")
                .asObject()
                .set(
                        "servers",
                        new JsonArray()
                                .add(Json.parse("{\"id\":\"s-1\","
                                        + "\"addr\":\"127.0.0.1:" + TestPorts.unused()
                                        + "\",\"zone\":\"a\",\"kind\":\"pequeno-projeto\","
                                        + "\"cell\":7,\"state\":\"up\",\"weight\":1.0,\"started_ms\":0}")));
        return json;
    }

    /** A newer file: ordem-build comes first, aviso-push is gone, a stricter class is new, attempts are fewer. */
    private static JsonObject newerFile(JsonObject old) {
        JsonObject json = Json.parse(old.toString()).asObject();
        JsonObject settings = json.get("settings").asObject();
        JsonArray classes = settings.get("requestClasses").asArray();
        JsonObject added = Json.parse(classes.get(0).toString())
                .asObject()
                .set("name", "aviso-push-ii")
                .set("effect", "at_most_once");
        settings.set("requestClasses", new JsonArray().add(classes.get(1)).add(added));
        settings.get("allowed").asObject().set("maxAttempts", 3);
        return json;
    }

    @Test
    public void classesKeepTheirIndexNewOnesAreAppendedAndNewLimitsApply() throws Exception {
        Path folder = Files.createTempDirectory("retune");
        JsonObject old = baseFile(TestPorts.unused());
        Config first = Config.read(Files.writeString(folder.resolve("a.json"), old.toString()));
        Config read = Config.read(
                Files.writeString(folder.resolve("b.json"), newerFile(old).toString()));
        Config after = first.reloadedFrom(read);
        assertEquals(after.classNames(), List.of("aviso-push", "ordem-build", "aviso-push-ii"));
        assertEquals(after.parsedSettings().settings().classes().size(), 3);
        assertEquals(
                after.parsedSettings().settings().classes().get(0),
                first.parsedSettings().settings().classes().get(0),
                "a class that the newer file lacks changed");
        assertEquals(
                after.parsedSettings().settings().classes().get(1),
                read.parsedSettings().settings().classes().get(0));
        assertEquals(after.parsedSettings().settings().classes().get(2).effect(), Effect.UNSAFE);
        assertEquals(after.parsedSettings().settings().limits().maxAttempts(), 3);
        assertEquals(
                after.parsedSettings().settings().tenants(),
                first.parsedSettings().settings().tenants());
    }

    @Test
    public void anInvalidFileIsReportedInOneLine() throws Exception {
        Path folder = Files.createTempDirectory("broken");
        JsonObject old = baseFile(TestPorts.unused());
        String whole = old.toString();
        JsonObject noKey = Json.parse(whole).asObject();
        noKey.get("settings").asObject().remove("allowed");
        JsonObject deadline = Json.parse(whole).asObject();
        deadline.get("settings")
                .asObject()
                .get("requestClasses")
                .asArray()
                .get(0)
                .asObject()
                .set("deadlineS", -5);
        JsonObject attempts = Json.parse(whole).asObject();
        attempts.get("settings").asObject().get("allowed").asObject().set("maxAttempts", 0);
        for (String broken : List.of(
                "",
                whole.substring(0, whole.length() / 2),
                noKey.toString(),
                deadline.toString(),
                attempts.toString())) {
            try {
                Config.read(Files.writeString(folder.resolve("c.json"), broken));
                throw new AssertionError("read: " + broken);
            } catch (IllegalArgumentException e) {
                assertFalse(e.getMessage().contains("\n"), "more than one line: " + e.getMessage());
                assertTrue(e.getMessage().startsWith("configuration c.json cannot be read: "), e.getMessage());
            }
        }
    }

    // Guards against a file at SIGHUP that lacks a key and is put in force all the same: without a class's group,
    // messages that may have run in one zone went to another.
    @Test
    public void aFileThatLacksAnyKeyOfTheOneInForceIsRejected() throws Exception {
        Path folder = Files.createTempDirectory("incomplete");
        JsonObject whole = baseFile(TestPorts.unused());
        Config inForce = Config.read(Files.writeString(folder.resolve("a.json"), whole.toString()));
        List<String> accepted = new ArrayList<>();
        for (String without : filesWithoutOneKey(whole)) {
            try {
                inForce.reloadedFrom(Config.read(Files.writeString(folder.resolve("b.json"), without)));
                accepted.add(without);
            } catch (IllegalArgumentException e) {
                assertFalse(e.getMessage().contains("\n"), "more than one line: " + e.getMessage());
            }
        }
        assertEquals(accepted, List.of(), "incomplete files that were put in force");
        inForce.reloadedFrom(Config.read(Files.writeString(folder.resolve("b.json"), whole.toString())));
    }

    /** The file without each of its keys in turn, but for those inside the list of endpoints. */
    private static List<String> filesWithoutOneKey(JsonObject whole) {
        List<String> files = new ArrayList<>();
        removeEachKey(whole, () -> files.add(whole.toString()));
        return files;
    }

    private static void removeEachKey(JsonValue value, Runnable withoutOneKey) {
        if (value.isArray()) {
            value.asArray().forEach(element -> removeEachKey(element, withoutOneKey));
        } else if (value.isObject()) {
            for (String key : List.copyOf(value.asObject().names())) {
                JsonValue removed = value.asObject().get(key);
                value.asObject().remove(key);
                withoutOneKey.run();
                value.asObject().add(key, removed);
                if (!key.equals("known")) {
                    removeEachKey(removed, withoutOneKey);
                }
            }
        }
    }

    @Test
    public void aFileMayLackOptionalKeysAndTenants() throws Exception {
        Path folder = Files.createTempDirectory("optional");
        JsonObject whole = baseFile(TestPorts.unused());
        String withoutThem = whole.toString();
        JsonObject settings = whole.get("settings").asObject();
        settings.get("obligations").asObject().set("keyQuietS", 0.5);
        settings.set(
                "tenants",
                new JsonArray()
                        .add(new JsonObject().add("name", "a").add("share", 1.0).add("quotaPerS", 5)));
        settings.get("requestClasses")
                .asArray()
                .forEach(one -> one.asObject().set("sequential", true).set("aimStretch", 1.0));
        Config inForce = Config.read(Files.writeString(folder.resolve("a.json"), whole.toString()));
        Config after = inForce.reloadedFrom(Config.read(Files.writeString(folder.resolve("b.json"), withoutThem)));
        assertFalse(after.parsedSettings().settings().classes().get(0).ordered());
    }

    @Test
    public void classNamesHaveToBeUnique() throws Exception {
        Path folder = Files.createTempDirectory("twice");
        JsonObject twice = baseFile(TestPorts.unused());
        twice.get("settings")
                .asObject()
                .get("requestClasses")
                .asArray()
                .get(0)
                .asObject()
                .set("name", "ordem-build");
        Path file = Files.writeString(folder.resolve("a.json"), twice.toString());
        String message = expectThrows(IllegalArgumentException.class, () -> Config.read(file))
                .getMessage();
        assertTrue(message.contains("'ordem-build'"), message);
    }

    /** Sends one request on its own connection and returns the status of the answer. */
    private static int submit(int port, String messageClass) throws Exception {
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
            socket.setSoTimeout(5_000);
            OutputStream out = socket.getOutputStream();
            out.write(("POST /" + messageClass + " HTTP/1.1\r\nHost: relay\r\nX-Call-Id: "
                            + System.nanoTime()
                            + "\r\nX-Call-Class: " + messageClass + "\r\nX-Budget: 4000m\r\nX-Envelope: dest=7\r\n"
                            + "Connection: close\r\nContent-Length: 2\r\n\r\nhi")
                    .getBytes(StandardCharsets.ISO_8859_1));
            InputStream in = socket.getInputStream();
            String head = new String(in.readNBytes(12), StandardCharsets.ISO_8859_1);
            return Integer.parseInt(head.substring(9, 12));
        }
    }

    @Test
    public void aReloadAddsANewClassAndAnInvalidFileChangesNothing() throws Exception {
        Path folder = Files.createTempDirectory("retune-socket");
        int listen = TestPorts.unused();
        JsonObject old = baseFile(listen);
        Path file = Files.writeString(folder.resolve("config.json"), old.toString());
        Counters counters = new Counters();
        Network network = new Network(1.0);
        try (RelayServer relayServer =
                new RelayServer(Config.read(file), folder.resolve("state"), counters, network, null)) {
            assertEquals(submit(listen, "aviso-push-ii"), 400);
            Files.writeString(file, newerFile(old).toString());
            relayServer.reload(file);
            assertEquals(submit(listen, "aviso-push-ii"), 202);
            assertEquals(submit(listen, "aviso-push"), 202, "a class the newer file lacks was refused");
            Files.writeString(file, "");
            relayServer.reload(file);
            assertEquals(submit(listen, "aviso-push-ii"), 202);
            assertTrue(counters.text().contains("juniperusher_reloads_total{result=\"refused\"} 1"), counters.text());
            JsonObject withoutGroup = newerFile(old);
            withoutGroup
                    .get("settings")
                    .asObject()
                    .get("requestClasses")
                    .asArray()
                    .get(0)
                    .asObject()
                    .remove("group");
            Files.writeString(file, withoutGroup.toString());
            relayServer.reload(file);
            assertTrue(counters.text().contains("juniperusher_reloads_total{result=\"refused\"} 2"), counters.text());
        }
    }
}
