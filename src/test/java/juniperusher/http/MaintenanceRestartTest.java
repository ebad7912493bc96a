package juniperusher.http;

import static org.testng.Assert.assertTrue;

import com.eclipsesource.json.Json;
import com.eclipsesource.json.JsonObject;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import juniperusher.core.Counters;
import juniperusher.maintenance.Maintenance;
import juniperusher.maintenance.MaintenanceFile;
import juniperusher.net.Network;
import org.testng.annotations.Test;

/** Endpoints under maintenance stay out of service over a restart. */
public class MaintenanceRestartTest {
    private static final long FOLDER_FAILS_MILLIS = 300;

    private static Config config(Path folder) throws Exception {
        JsonObject json = Json.parse(Files.readString(Path.of("src/main/resources/selftest.json")))
                .asObject();
        json.set("listen", "127.0.0.1:" + FakeServer.unusedPort())
                .set("discovery", "127.0.0.1:" + FakeServer.unusedPort());
        return Config.read(Files.writeString(folder.resolve("config.json"), json.toString()));
    }

    private static void restoreFolder(Path state) {
        try {
            Files.delete(state.resolve(MaintenanceFile.NAME));
            new MaintenanceFile(state).write(Maintenance.NONE.enter("s-1"));
            Files.delete(state.resolve("journal-00000001"));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
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
