package juniperusher.lab;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.eclipsesource.json.JsonObject;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import juniperusher.lab.sockets.SocketEngine;
import juniperusher.settings.TomlReader;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Runs relay processes for a few seconds; `juniperusher lab run --engine sockets` runs them longer. */
class SocketEngineTest {
    @TempDir
    Path folder;

    @Test
    void noViolationsDuringOutageAndRelayKill() throws Exception {
        Path file = Files.writeString(folder.resolve("x.toml"), """
                title = "short"
                seconds = 9
                [relays]
                count = 2
                [clients]
                load = 0.5
                orders = 0
                [[destinations]]
                name = "struck"
                rate = 40
                latency = 0.02
                [[destinations.troubles]]
                kind = "fast_errors"
                from = 1
                until = 4
                warm = 2
                [[destinations]]
                name = "sound"
                rate = 40
                latency = 0.02
                [[crashes]]
                relay = 1
                at = 5.5
                down = 0.5
                """);
        JsonObject json = TomlReader.withSchema(Experiment.class, "experiment.schema.json")
                .read(file, List.of());
        RunResult run = SocketEngine.run("short", Plan.fromJson(json, 1), "juniperusher.cli.Main", at -> {});
        assertEquals(List.of(), run.violations());
        assertTrue(run.figures().get("worth_sound") > 0.8, run.figures().toString());
        assertTrue(run.figures().get("worth_struck") > 0.4, run.figures().toString());
        assertTrue(sum(run, "storms") + sum(run, "recovering") > 0, "the relays detected no storm: " + run.series());
        assertTrue(sum(run, "owed") > 0, "the relays had no pending messages");
    }

    @Test
    void retryAfterIsKeptWithTwoConnections() throws Exception {
        Path file = Files.writeString(folder.resolve("y.toml"), """
                title = "told"
                seconds = 5
                [relays]
                count = 1
                storm = false
                [clients]
                load = 1.5
                orders = 0.3
                [[destinations]]
                name = "full"
                rate = 20
                latency = 0.02
                told_wait = 0.5
                connections = 2
                [[destinations]]
                name = "sound"
                rate = 20
                load = 0.5
                latency = 0.02
                """);
        JsonObject json = TomlReader.withSchema(Experiment.class, "experiment.schema.json")
                .read(file, List.of());
        RunResult run = SocketEngine.run("told", Plan.fromJson(json, 2), "juniperusher.cli.Main", at -> {});
        assertEquals(List.of(), run.violations());
        assertTrue(run.figures().get("refused_calls") > 0, "no call was refused: " + run.figures());
        assertTrue(run.figures().get("worth") > 0.3, run.figures().toString());
    }

    @Test
    void keyOrderHoldsWithTenantsDuringOutageAndRelayKill() throws Exception {
        Path file = Files.writeString(folder.resolve("z.toml"), """
                title = "keys"
                seconds = 5
                [relays]
                count = 2
                [clients]
                load = 0.5
                orders = 0
                [sequenced]
                share = 0.6
                gap = 0.5
                life = 4
                [[tenants]]
                name = "within"
                share = 0.7
                usage = 0.8
                [[tenants]]
                name = "beyond"
                share = 0.3
                usage = 2
                [[destinations]]
                name = "struck"
                rate = 40
                latency = 0.02
                [[destinations.troubles]]
                kind = "hang"
                from = 1
                until = 1.5
                warm = 1
                [[destinations]]
                name = "sound"
                rate = 40
                latency = 0.02
                [[crashes]]
                relay = 1
                at = 3
                down = 0.6
                """);
        TomlReader reader = TomlReader.withSchema(Experiment.class, "experiment.schema.json");
        RunResult run = SocketEngine.run(
                "keys", Plan.fromJson(reader.read(file, List.of()), 3), "juniperusher.cli.Main", at -> {});
        assertEquals(List.of(), run.violations());
        assertTrue(run.figures().get("p50_sequenced") > 0, "no sequenced message was delivered: " + run.figures());
        assertTrue(run.figures().get("worth") > 0.3, run.figures().toString());
        RunResult careless = SocketEngine.run(
                "not told",
                Plan.fromJson(
                        reader.read(
                                file,
                                List.of("relays.keys=false", "crashes=[]", "destinations.0.troubles=[]", "seconds=2")),
                        3),
                "juniperusher.cli.Main",
                at -> {});
        assertTrue(
                careless.figures().get("broken") > 0,
                "a run without keys keeps the order, so the run above proves nothing");
    }

    private static double sum(RunResult run, String series) {
        double sum = 0;
        for (double value : run.series().getOrDefault(series, new double[0])) {
            sum += value;
        }
        return sum;
    }
}
