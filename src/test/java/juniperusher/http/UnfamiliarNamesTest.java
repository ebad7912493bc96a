package juniperusher.http;

import static org.testng.Assert.assertEquals;

import com.eclipsesource.json.Json;
import com.eclipsesource.json.JsonArray;
import com.eclipsesource.json.JsonObject;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import juniperusher.Protocol.Effect;
import juniperusher.Protocol.Phase;
import juniperusher.Protocol.Target;
import juniperusher.TestPorts;
import juniperusher.clock.SteadyClock;
import juniperusher.core.CallEnd;
import juniperusher.core.CallResult;
import juniperusher.core.Counters;
import juniperusher.core.Journal;
import juniperusher.core.RpcRequest;
import juniperusher.net.ExchangePlayer;
import juniperusher.net.HttpPool;
import juniperusher.net.Network;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Classes, kinds and keys whose names occur only in the settings, with one class for each effect. */
public class UnfamiliarNamesTest {
    private static final List<String> CLASSES = List.of("leitura", "recibo", "levantamento");
    private static final List<String> EFFECTS = List.of("idempotent", "deduplicated", "at_most_once");

    private ExchangePlayer player;
    private Path folder;
    private Config config;
    private Network network;

    @BeforeMethod
    public void configure() throws Exception {
        player = new ExchangePlayer();
        folder = Files.createTempDirectory("names");
        network = new Network(1);
        int listen = TestPorts.unused();
        player.client("client", listen);
        JsonObject json = Json.parse(Files.readString(Path.of("src/main/resources/selftest.json")))
                .asObject();
        JsonObject settings = json.get("settings").asObject();
        JsonArray classes = new JsonArray();
        for (int i = 0; i < CLASSES.size(); i++) {
            classes.add(
                    Json.parse(settings.get("requestClasses").asArray().get(0).toString())
                            .asObject()
                            .set("name", CLASSES.get(i))
                            .set("effect", EFFECTS.get(i))
                            .set("group", "all")
                            .set("keyTtlS", 1.0)
                            .set("sequential", true)
                            .set("objectiveS", 2.0)
                            .set("deadlineS", 9.0));
        }
        settings.set("requestClasses", classes)
                .set("azs", new JsonArray().add("vale-1"))
                .set("locality", 0)
                .set("kinds", new JsonArray().add("centros").add("balcoes"));
        json.set("listen", "127.0.0.1:" + listen).set("discovery", "127.0.0.1:" + player.server("platform"));
        json.get("known")
                .asObject()
                .set(
                        "servers",
                        new JsonArray()
                                .add(new JsonObject()
                                        .add("id", "e-1")
                                        .add("addr", "127.0.0.1:" + player.server("endpoint"))
                                        .add("zone", "vale-1")
                                        .add("cell", 7)
                                        .add("kind", "balcoes")
                                        .add("state", "up")
                                        .add("weight", 5)));
        config = Config.read(Files.writeString(folder.resolve("relay.json"), json.toString()));
    }

    @AfterMethod(alwaysRun = true)
    public void closeAll() throws IOException {
        player.close();
        network.close();
    }

    private void play(String lines) throws Exception {
        player.play(Files.writeString(folder.resolve("exchange.txt"), lines));
    }

    @Test
    public void unfamiliarClassesKindsAndKeysPassUnchanged() throws Exception {
        assertEquals(
                config.parsedSettings().settings().classes().stream()
                        .map(one -> one.effect())
                        .toList(),
                List.of(Effect.SAFE, Effect.KEYED, Effect.UNSAFE));
        Counters counters = new Counters();
        RelayServer relayServer = new RelayServer(config, folder.resolve("state"), counters, network, null);
        try {
            for (int i = 0; i < CLASSES.size(); i++) {
                // A call that came before the previous answer was read would be accepted as the call after that.
                int deliveredBefore = i;
                FakeServer.await(
                        "the answer", () -> counters.get("attempts_total", "end", "delivered") == deliveredBefore);
                String key = i == 1 ? "Idempotency-Key: 85281f\"37\\r\\n" : "";
                play("client1> POST /" + CLASSES.get(i) + " HTTP/1.1\\r\\nHost: a\\r\\nX-Call-Id: m" + i
                        + "\\r\\nX-Call-Class: " + CLASSES.get(i) + "\\r\\nX-Budget: 9000m\\r\\n" + key
                        + "Content-Length: 2\\r\\nX-Envelope: dest=7\\r\\n\\r\\nab\n"
                        + "client1< HTTP/1.1 202 Accepted\\r\\nContent-Length: 0\\r\\n\\r\\n\n"
                        + "endpoint" + i + "< POST /receive HTTP/1.1\\r\\nHost: endpoint\\r\\nX-Call-Id: m" + i
                        + "\\r\\nX-Budget: {*}m\\r\\n" + key + "Content-Length: 2\\r\\n\\r\\nab\n"
                        + "endpoint" + i + "> HTTP/1.1 200 OK\\r\\nContent-Length: 0\\r\\n\\r\\n\n");
            }
            play("client1> POST /aviso-push HTTP/1.1\\r\\nHost: a\\r\\nX-Call-Id: m9\\r\\n"
                    + "X-Call-Class: aviso-push\\r\\nX-Budget: 9000m\\r\\nContent-Length: 0\\r\\n"
                    + "X-Envelope: dest=7\\r\\n\\r\\n\n"
                    + "client1< HTTP/1.1 400 Bad Request\\r\\nContent-Length: 24\\r\\n\\r\\n"
                    + "X-Call-Class is unknown\\n\n");
        } finally {
            relayServer.close();
        }
    }

    private static String submission(String client, String id, String query, String answer) {
        return client + "> POST /recibo" + query + " HTTP/1.1\\r\\nHost: a\\r\\nX-Call-Id: " + id
                + "\\r\\nX-Call-Class: recibo\\r\\nX-Caller: agencia\\r\\nX-Budget: 9000m\\r\\n"
                + "Content-Length: 2\\r\\nX-Envelope: dest=7\\r\\n\\r\\nab\n"
                + client + "< HTTP/1.1 " + answer + "\n";
    }

    private static String expectedCall(String party, String id) {
        return party + "< POST /receive HTTP/1.1\\r\\nHost: endpoint\\r\\nX-Call-Id: " + id
                + "\\r\\nX-Budget: {*}m\\r\\nContent-Length: 2\\r\\n\\r\\nab\n";
    }

    @Test
    public void messagesOfOneSubjectAreCalledInTurnAndAnUnreadableSubjectIsRefused() throws Exception {
        String accepted = "202 Accepted\\r\\nContent-Length: 0\\r\\n\\r\\n";
        RelayServer relayServer = new RelayServer(config, folder.resolve("state"), new Counters(), network, null);
        try {
            play(submission("client1", "m1", "?subject=a%2Fb%20c", accepted)
                    + expectedCall("endpoint1", "m1")
                    + submission("client2", "m2", "?other=1&subject=a/b+c", accepted)
                    + "endpoint- 300\n" // the second message waits for the first
                    + "endpoint1> HTTP/1.1 200 OK\\r\\nContent-Length: 0\\r\\n\\r\\n\n"
                    + expectedCall("endpoint2", "m2")
                    + "endpoint2> HTTP/1.1 200 OK\\r\\nContent-Length: 0\\r\\n\\r\\n\n"
                    + submission(
                            "client1",
                            "m3",
                            "?subject=%zz",
                            "400 Bad Request\\r\\nContent-Length: 32\\r\\n\\r\\n"
                                    + "the path's query cannot be read\\n"));
        } finally {
            relayServer.close();
        }
    }

    private static RpcRequest keyed(String id, String key) {
        return new RpcRequest(id, "http", 1, 7, SteadyClock.millis() + 9_000, "", false, new byte[] {'a'}, false, key);
    }

    @Test
    public void eachMessageOfABatchCarriesItsIdempotencyKey() throws Exception {
        HttpPool pool = new HttpPool(network, 5, 8);
        Resolver resolver = new Resolver(config, pool, network, new Counters(), (snapshot, list) -> {});
        Target target = resolver.loadKnownList(config.knownEndpoints(), List.of())
                .endpoints()
                .values()
                .iterator()
                .next()
                .target();
        assertEquals(target.phase(), Phase.READY);
        List<CompletableFuture<CallResult>> results = List.of(new CompletableFuture<>(), new CompletableFuture<>());
        new HttpSubchannels(config, pool, network, resolver)
                .call(
                        target,
                        List.of(keyed("m1", "k1"), keyed("m2", "")),
                        2,
                        () -> true,
                        (place, result) -> results.get(place).complete(result));
        play("endpoint1< POST /receive-many HTTP/1.1\\r\\nHost: endpoint\\r\\nContent-Type: application/json"
                + "\\r\\nX-Budget: 2000m\\r\\nContent-Length: {*}\\r\\n\\r\\n"
                + "[{\"id\":\"m1\",\"key\":\"k1\",\"body\":\"YQ==\"},{\"id\":\"m2\",\"body\":\"YQ==\"}]\n"
                + "endpoint1> HTTP/1.1 200 OK\\r\\nContent-Length: 65\\r\\n\\r\\n"
                + "[{\"id\":\"m1\",\"state\":\"delivered\"},{\"id\":\"m2\",\"state\":\"delivered\"}]\n");
        for (CompletableFuture<CallResult> result : results) {
            assertEquals(result.get().end(), CallEnd.DELIVERED);
        }
    }

    @Test
    public void anIdempotencyKeySurvivesARestart() throws Exception {
        Journal before = new Journal(folder.resolve("state"), 3 << 20, 10);
        before.writeAccepted(keyed("m1", "85281f"), "recibo");
        before.close();
        Journal after = new Journal(folder.resolve("state"), 3 << 20, 10);
        assertEquals(after.recovered().get(0).request().idempotencyKey(), "85281f");
        assertEquals(Set.of("recibo"), Set.of(after.recovered().get(0).className()));
        after.close();
    }
}
