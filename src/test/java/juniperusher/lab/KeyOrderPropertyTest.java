package juniperusher.lab;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.eclipsesource.json.Json;
import com.eclipsesource.json.JsonObject;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import juniperusher.settings.TomlReader;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import net.jqwik.api.lifecycle.AfterContainer;

/**
 * Runs a plan with few keys in virtual time with random restarts, lost notes, troubles and late acknowledgements, and
 * checks that no delivery rule is broken, in particular the order of keys. jqwik shrinks a failing case and prints its
 * seed.
 */
class KeyOrderPropertyTest {
    private static final String SEED = "20261202";
    private static final double SLOT_SECONDS = 3; // between the starts of troubles, and between restarts
    private static final List<String> TROUBLES = List.of("shut", "fast_errors", "hang", "down");
    private static int delivered;

    private static JsonObject file(List<String> sets) throws IOException {
        Path file = Files.createTempFile("key-order", ".toml");
        try {
            Files.writeString(file, """
                    title = "a few keys"
                    seconds = 14
                    [sequenced]
                    share = 0.7
                    gap = 0.25
                    life = 6
                    [[destinations]]
                    name = "a"
                    rate = 25
                    latency = 0.05
                    [[destinations]]
                    name = "b"
                    rate = 15
                    latency = 0.1
                    """);
            return TomlReader.withSchema(Experiment.class, "experiment.schema.json")
                    .read(file, sets);
        } finally {
            Files.delete(file);
        }
    }

    private static String tables(List<String> tables) {
        return "[" + String.join(", ", tables) + "]";
    }

    @Property(seed = SEED, tries = 80)
    void keyOrderHoldsForRandomFaults(
            @ForAll @IntRange(min = 1, max = 1_000_000) int seed,
            @ForAll @IntRange(min = 1, max = 3) int relays,
            @ForAll boolean unsafe,
            @ForAll boolean storm,
            @ForAll @DoubleRange(min = 0, max = 1) double lost,
            @ForAll @DoubleRange(min = 0.5, max = 2) double down,
            @ForAll @DoubleRange(min = 0.5, max = 1.3) double load,
            @ForAll @IntRange(min = 0, max = 3) int toldWait,
            @ForAll @DoubleRange(min = 0, max = 1.5) double acknowledgedAfter,
            @ForAll @Size(max = 3) Set<@IntRange(min = 0, max = 3) Integer> restarts,
            @ForAll @Size(max = 4) List<@IntRange(min = 0, max = 4) Integer> troubles)
            throws IOException {
        List<String> crashes = new ArrayList<>();
        for (int slot : restarts) {
            crashes.add(String.format(
                    Locale.ROOT,
                    "{relay = %d, at = %.2f, down = %.3f}",
                    (seed + slot) % relays,
                    1.5 + slot * SLOT_SECONDS,
                    down));
        }
        List<String> outages = new ArrayList<>();
        for (int i = 0; i < troubles.size(); i++) {
            if (troubles.get(i) < TROUBLES.size()) {
                outages.add(String.format(
                        Locale.ROOT,
                        "{kind = '%s', from = %.1f, until = %.1f, warm = 1.0}",
                        TROUBLES.get(troubles.get(i)),
                        1 + i * SLOT_SECONDS,
                        2.5 + i * SLOT_SECONDS));
            }
        }
        JsonObject file = file(List.of(
                "relays.count=" + relays,
                "relays.storm=" + storm,
                "clients.load=" + load,
                "sequenced.effect=" + (unsafe ? "unsafe" : "safe"),
                "sequenced.acknowledged_after=" + acknowledgedAfter,
                "notes.lost=" + lost,
                "destinations.0.told_wait=" + toldWait * 0.4,
                "crashes=" + tables(crashes),
                "destinations.0.troubles=" + tables(outages)));
        RunResult run = VirtualEngine.run("", Plan.fromJson(file, seed));
        assertEquals(List.of(), run.violations(), Json.array().add(file).toString());
        delivered +=
                (int) java.util.Arrays.stream(run.series().get("delivered")).sum();
    }

    @AfterContainer
    static void enoughMessagesWereDelivered() {
        assertTrue(delivered > 80 * 100, "the cases prove little: " + delivered + " messages delivered");
    }
}
