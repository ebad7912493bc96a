package juniperusher.net;

import com.eclipsesource.json.Json;
import com.eclipsesource.json.JsonArray;
import com.eclipsesource.json.JsonObject;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.stream.Stream;
import juniperusher.TestPorts;
import juniperusher.amqp.AmqpConfig;
import juniperusher.amqp.AmqpExtension;
import juniperusher.core.Counters;
import juniperusher.http.Config;
import juniperusher.http.RelayServer;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Plays each recorded exchange against a new relay and compares what the relay sends. */
public class ExchangesTest {
    private static final Path EXCHANGES_FOLDER = Path.of("src/test/resources/exchanges");

    @DataProvider
    public Object[][] recorded() throws IOException {
        try (Stream<Path> files = Files.list(EXCHANGES_FOLDER)) {
            return files.sorted().map(file -> new Object[] {file}).toArray(Object[][]::new);
        }
    }

    private static String localAddress(int port) {
        return "127.0.0.1:" + port;
    }

    @Test(dataProvider = "recorded")
    public void relayReproducesRecordedExchange(Path file) throws Exception {
        Path folder = Files.createTempDirectory("exchange");
        try (ExchangePlayer player = new ExchangePlayer()) {
            JsonObject json = Json.parse(Files.readString(Path.of("src/main/resources/selftest.json")))
                    .asObject();
            int listen = TestPorts.unused();
            int amqp = TestPorts.unused();
            player.client("client", listen);
            player.client("publisher", amqp);
            json.set("listen", localAddress(listen)).set("discovery", localAddress(player.server("platform")));
            json.get("known")
                    .asObject()
                    .set(
                            "servers",
                            new JsonArray()
                                    .add(new JsonObject()
                                            .add("id", "s-1")
                                            .add("addr", localAddress(player.server("endpoint")))
                                            .add("zone", "lisboa-1")
                                            .add("cell", 7)
                                            .add("kind", "pequeno-projeto")
                                            .add("state", "up")
                                            .add("weight", 5)));
            JsonObject front = Json.parse(Files.readString(Path.of("src/test/resources/amqp.json")))
                    .asObject();
            front.set("listen", localAddress(amqp));
            front.get("brokers").asArray().get(0).asObject().set("address", localAddress(player.server("broker")));
            Files.writeString(folder.resolve("relay.json"), json.toString());
            Config config = Config.read(folder.resolve("relay.json"));
            Network network = new Network(1);
            Counters counters = new Counters();
            try (RelayServer relayServer = new RelayServer(
                    config,
                    folder.resolve("state"),
                    counters,
                    network,
                    new AmqpExtension(
                            AmqpConfig.fromTable(front),
                            config.classNames(),
                            config.parsedSettings().settings(),
                            network,
                            counters))) {
                player.play(file);
            }
        }
    }
}
