package juniperusher.http;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.eclipsesource.json.Json;
import com.eclipsesource.json.JsonArray;
import com.eclipsesource.json.JsonObject;
import java.nio.file.Files;
import java.nio.file.Path;
import org.testng.annotations.Test;

/** The warm-up with in-memory RPCs before the first start. */
public class WarmUpTest {
    @Test
    public void rpcsAreDeliveredInMemoryBeforeTheFirstStartOnly() throws Exception {
        Path folder = Files.createTempDirectory("warm");
        JsonObject json = Json.parse(Files.readString(Path.of("src/main/resources/selftest.json")))
                .asObject();
        // No server listens at these addresses, and the first cannot be bound on this machine.
        json.set("listen", "203.0.113.1:1").set("discovery", "203.0.113.1:2");
        json.get("known")
                .asObject()
                .set(
                        "servers",
                        new JsonArray()
                                .add(new JsonObject()
                                        .add("id", "s-1")
                                        .add("addr", "203.0.113.1:3")
                                        .add("cell", 7)
                                        .add("kind", "pequeno-projeto")
                                        .add("state", "up"))
                                .add(new JsonObject()
                                        .add("id", "s-2")
                                        .add("addr", "203.0.113.1:4")
                                        .add("cell", 8)
                                        .add("kind", "grande-parceiro")
                                        .add("state", "up")));
        Config config = Config.read(Files.writeString(folder.resolve("relay.json"), json.toString()));
        Path state = folder.resolve("state");
        long delivered = WarmUp.run(config, state, 2_000);
        assertTrue(delivered > 50, "delivered " + delivered);
        assertTrue(!Files.exists(state), "the warm-up wrote into the state folder");
        Files.createDirectories(state);
        Files.writeString(state.resolve("journal-00000001"), "");
        assertEquals(WarmUp.run(config, state, 2_000), 0, "a restart skips the warm-up");
    }
}
