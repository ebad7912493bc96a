package juniperusher.lab;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.eclipsesource.json.JsonObject;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;
import juniperusher.http.Config;
import juniperusher.settings.TomlReader;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;

class ExperimentTest {
    private static final String MINIMAL_FILE = "title = 'a'\n[[destinations]]\nname = 'x'\nrate = 10\n";

    @TempDir
    Path folder;

    private Experiment read(String text) throws IOException {
        Path file = Files.writeString(folder.resolve("x.toml"), text);
        return read(file);
    }

    private static Experiment read(Path file) throws IOException {
        TomlReader reader = TomlReader.withSchema(Experiment.class, "experiment.schema.json");
        JsonObject written = reader.read(file, List.of());
        Map<String, JsonObject> variants = new LinkedHashMap<>();
        for (Map.Entry<String, List<String>> one : Experiment.variants(written).entrySet()) {
            variants.put(one.getKey(), reader.read(file, one.getValue()));
        }
        return Experiment.fromJson(written, variants);
    }

    /** Experiment files except those of `lab hollow` and `lab scale`, which have their own schemas and tests. */
    static Stream<Path> files() throws IOException {
        return Files.list(Path.of("experiments"))
                .filter(file -> !file.getFileName().toString().matches("(hollow|scale).*"));
    }

    @ParameterizedTest
    @MethodSource("files")
    void everyRepositoryFileIsReadableAndHasExpectations(Path file) throws IOException {
        assertTrue(read(file).expectations().size() > 0, file.toString());
    }

    @ParameterizedTest
    @CsvSource(delimiter = '|', quoteCharacter = '"', textBlock = """
            rte = 3                                          | x.toml:5: 'destinations.0.rte' is not known
            [relays];count = 0                               | x.toml:6: 'relays.count' = 0
            [[destinations.troubles]];kind = 'shut' | required property 'from'
            [[destinations.troubles]];kind = 'bad';from = 5;until = 6 | x.toml:6: 'destinations.0.troubles
            [[destinations.troubles]];kind = 'shut';from = 5;until = 4 | until after from
            [[crashes]];relay = 3;at = 1                     | relay 3 of 3; expected 0 to 2
            [[expect]];figure = 'worth'                      | has no bound
            [[expect]];figure = 'worht'                      | 'expect.0.figure'
            [[expect]];figure = 'worth';against = 'b';at_least = 0 | there is no variant 'b'; expected one of
            [[variants]];name = 'b';[[variants]];name = 'b'  | 'b' is named twice
            [[variants]];name = 'b';set = ['relays.cuont=1'] | --set relays.cuont=1: 'relays.cuont' is not
            [[tenants]];name = 't';share = 0.5               | tenants: their shares add up to 0.500; expected 1
            [[tenants]];name = 't';share = 1;usage = -1      | x.toml:8: 'tenants.0.usage' = -1
            [sequenced];gap = 0                              | x.toml:6: 'sequenced.gap' = 0
            [sequenced];effect = 'keyed'                     | x.toml:6: 'sequenced.effect'
            [[expect]];figure = 'p50_sequenced';at_most = 1  | no figure of variant 'as written'; expected
            [[expect]];figure = 'worth_within_share';at_least = 0 | no figure of variant 'as written'
            """)
    void invalidFilesAreReportedInOneLine(String text, String expected) {
        String message = assertThrows(
                        IllegalArgumentException.class, () -> read(MINIMAL_FILE + text.replace(';', '\n') + '\n'))
                .getMessage();
        assertTrue(message.contains(expected), message);
        assertEquals(1, message.lines().count());
    }

    private static RunResult run(String variant, double worth) {
        return new RunResult(variant, 1, Map.of("worth", worth), Map.of(), Map.of(), List.of(), 0);
    }

    @Test
    void expectationsAreJudgedPerVariant() throws IOException {
        Experiment experiment = read(MINIMAL_FILE + "[[variants]]\nname = 'off'\n[[variants]]\nname = 'on'\n"
                + "[[expect]]\nfigure = 'worth'\nagainst = 'off'\nat_least = 0.0\n"
                + "[[expect]]\nfigure = 'worth'\nover = 'max'\nat_most = 0.9\n"
                + "[[expect]]\nfigure = 'worth'\nagainst = 'off'\nat_most_times = 1.1\n");
        List<RunResult> good = List.of(run("off", 0.8), run("on", 0.7), run("on", 0.9));
        assertEquals(
                List.of(true, true, true, true),
                experiment.evaluate(good).stream().map(Experiment.Verdict::met).toList());
        List<RunResult> bad = List.of(run("off", 0.6), run("on", 0.2), run("on", 0.95));
        assertEquals(
                List.of(false, true, false, true),
                experiment.evaluate(bad).stream().map(Experiment.Verdict::met).toList());
        assertEquals(
                false,
                experiment
                        .evaluate(List.of(run("off", 0.5), run("on", 0.6)))
                        .get(3)
                        .met());
    }

    @ParameterizedTest
    @CsvSource({
        "storm-recovery, off, 2",
        "order-cost, in order, 3",
        "tenant-share, told, 2",
        "tenant-share, not told, 2"
    })
    void bothEnginesConfigureRelaysIdentically(String name, String variant, int classes) throws IOException {
        Plan plan = read(Path.of("experiments/" + name + ".toml"))
                .plans()
                .get(variant)
                .get(0);
        JsonObject json = com.eclipsesource.json.Json.parse(
                        Files.readString(Path.of("src/main/resources/selftest.json")))
                .asObject();
        json.set("listen", "127.0.0.1:1")
                .set("discovery", "127.0.0.1:2")
                .set("settings", LabSettings.json(plan, 2, 10));
        Config config = Config.read(Files.writeString(folder.resolve("relay.json"), json.toString()));
        assertEquals(LabSettings.of(plan), config.parsedSettings().settings());
        assertEquals(classes, config.classNames().size());
        assertEquals(LabSettings.CLASS_NAMES, config.classNames().subList(0, 2));
        assertEquals(2, config.relayIndex());
    }
}
