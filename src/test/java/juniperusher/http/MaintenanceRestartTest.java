package juniperusher.http;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.eclipsesource.json.Json;
import com.eclipsesource.json.JsonArray;
import com.eclipsesource.json.JsonObject;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import juniperusher.TestPorts;
import juniperusher.core.Counters;
import juniperusher.maintenance.Maintenance;
import juniperusher.maintenance.MaintenanceFile;
import juniperusher.mgmt.ManagedRelay;
import juniperusher.net.Network;
import org.testng.annotations.Test;

/** Endpoints under maintenance stay out of service over a restart. */
public class MaintenanceRestartTest {
    private static final long FOLDER_FAILS_MILLIS = 300;
    private static final String ENDPOINT = """
            {"id":"%s","addr":"127.0.0.1:%d","zone":"lisboa-1","kind":"pequeno-projeto","cell":0,"state":"up",\
            "weight":1,"started_ms":0}
            """;

    private static Config config(Path folder, String... endpointIds) throws Exception {
        JsonObject json = Json.parse(Files.readString(Path.of("src/main/resources/selftest.json")))
                .asObject();
        json.set("listen", "127.0.0.1:" + TestPorts.unused()).set("discovery", "127.0.0.1:" + TestPorts.unused());
        JsonArray servers = json.get("known").asObject().get("servers").asArray();
        for (String id : endpointIds) {
            servers.add(Json.parse(ENDPOINT.formatted(id, TestPorts.unused())));
        }
        return Config.read(Files.writeString(folder.resolve("config.json"), json.toString()));
    }

    private static void restoreFolder(Path state) {
        try {
            Files.delete(state.resolve(MaintenanceFile.NAME));
            Files.writeString(
                    state.resolve(MaintenanceFile.NAME),
                    Maintenance.NONE.enter("s-1").serialize());
            Files.delete(state.resolve("journal-00000001"));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    // Guards against a call to one process of an upgrade that undoes those to the other one, whose endpoints got calls
    // again.
    @Test
    public void callsToBothProcessesOfAnUpgradeAreKept() throws Exception {
        Path folder = Files.createTempDirectory("maintenance");
        Path state = Files.createDirectory(folder.resolve("state"));
        Config config = config(folder, "s-1", "s-2", "s-3");
        try (RelayServer old = new RelayServer(config, state, new Counters(), new Network(1.0), null);
                RelayServer next = new RelayServer(
                        config(Files.createDirectory(folder.resolve("next")), "s-1", "s-2", "s-3"),
                        state,
                        new Counters(),
                        new Network(1.0),
                        null)) {
            for (int round = 0; round < 5; round++) {
                assertEquals(old.enterMaintenance("s-1"), ManagedRelay.MaintenanceResult.DONE);
                assertEquals(next.enterMaintenance("s-2"), ManagedRelay.MaintenanceResult.DONE);
                assertEquals(old.enterMaintenance("s-3"), ManagedRelay.MaintenanceResult.DONE);
                Set<String> expected = Set.of("s-1", "s-2", "s-3");
                assertEquals(new MaintenanceFile(state).read().endpointIds(), expected, "round " + round);
                assertEquals(next.exitMaintenance("s-3"), ManagedRelay.MaintenanceResult.DONE);
                assertEquals(old.exitMaintenance("s-2"), ManagedRelay.MaintenanceResult.DONE);
                assertEquals(new MaintenanceFile(state).read().endpointIds(), Set.of("s-1"), "round " + round);
            }
        }
    }

    // Guards against a folder that cannot be read for a moment at a start: endpoints under maintenance got calls.
    @Test
    public void maintenanceIsReadOnceTheFolderCanBeRead() throws Exception {
        Path folder = Files.createTempDirectory("maintenance");
        Path state = Files.createDirectory(folder.resolve("state"));
        // a directory in place of a file makes each read fail
        Files.createDirectory(state.resolve("journal-00000001"));
        Files.createDirectory(state.resolve(MaintenanceFile.NAME));
        CompletableFuture<Void> restored = CompletableFuture.runAsync(
                () -> restoreFolder(state),
                CompletableFuture.delayedExecutor(FOLDER_FAILS_MILLIS, TimeUnit.MILLISECONDS));
        Counters counters = new Counters();
        try (RelayServer relayServer = new RelayServer(config(folder), state, counters, new Network(1.0), null)) {
            assertTrue(
                    counters.text().contains("juniperusher_endpoints_maintenance 1.0\n"),
                    "no endpoint is under maintenance when the relay begins to serve");
            restored.get();
        }
    }
}
