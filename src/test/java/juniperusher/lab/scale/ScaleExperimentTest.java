package juniperusher.lab.scale;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.eclipsesource.json.Json;
import com.eclipsesource.json.JsonObject;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Stream;
import juniperusher.settings.TomlReader;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;

class ScaleExperimentTest {
    private static final String LEAST =
            "title = 'a'\n[[slopes]]\nname = 'storm.notes.datagrams'\nsizes = [2, 20, 200]\n";

    @TempDir
    Path folder;

    private static JsonObject json(Path file) throws IOException {
        return TomlReader.withSchema(ScaleExperiment.class, ScaleExperiment.SCHEMA)
                .read(file, List.of());
    }

    private ScaleExperiment read(String text) throws IOException {
        return new ScaleExperiment(json(Files.writeString(folder.resolve("x.toml"), text)));
    }

    static Stream<Path> files() throws IOException {
        return Files.list(Path.of("experiments"))
                .filter(file -> file.getFileName().toString().startsWith("scale"));
    }

    @ParameterizedTest
    @MethodSource("files")
    void eachFileOfTheRepositoryCanBeRead(Path file) throws IOException {
        new ScaleExperiment(json(file));
    }

    @Test
    void theLargeFormMeasuresEverySlopeThatThereIs() throws IOException {
        Set<String> measured = new TreeSet<>();
        json(Path.of("experiments/scale.toml"))
                .get("slopes")
                .asArray()
                .forEach(slope -> measured.add(slope.asObject().getString("name", "")));
        assertEquals(new TreeSet<>(SlopeCatalog.slopes(0).keySet()), measured);
    }

    @Test
    void theCapacityPageHasEverySlopeAndEveryWallOfTheLargeForm() throws IOException {
        String page = Files.readString(Path.of("docs/CAPACITY.md"));
        JsonObject file = json(Path.of("experiments/scale.toml"));
        List<String> missing = new ArrayList<>();
        file.get("slopes").asArray().forEach(one -> {
            String row = "| `" + one.asObject().getString("name", "") + "` |";
            if (!page.contains(row)) {
                missing.add(row);
            }
        });
        file.get("walls").asArray().forEach(one -> {
            String cell = "| " + one.asObject().getString("resource", "") + " |";
            if (!page.contains(cell)) {
                missing.add(cell);
            }
        });
        assertEquals(List.of(), missing);
    }

    @ParameterizedTest
    @CsvSource(delimiter = '|', quoteCharacter = '"', textBlock = """
            szes = [1]                                       | x.toml:5: 'slopes.0.szes' is not known
            least_r_squared = 2                              | x.toml:5: 'slopes.0.least_r_squared' = 2
            most_slope = 0                                   | x.toml:5: 'slopes.0.most_slope' = 0
            [[slopes]];name = 'x';sizes = [1, 2, 3]             | slopes.1.name: there is no slope 'x'; expected one of
            [[slopes]];name = 'storm.notes.bytes';sizes = [1] | x.toml:7: 'slopes.1.sizes'
            [[slopes]];name = 'storm.notes.bytes';sizes = [9, 3, 12] | slopes.1.sizes: expected sizes that grow
            [[slopes]];name = 'storm.notes.bytes';sizes = [0, 3, 4] | x.toml:7: 'slopes.1.sizes.0' = 0
            [[slopes]];name = 'storm.notes.datagrams';sizes = [1, 2, 3] | 'storm.notes.datagrams' is named twice
            [[walls]];resource = 'r';target = 1;mechanism = 'm';state = 'lost' | x.toml:9: 'walls.0.state'
            [[walls]];resource = 'r';target = 1;mechanism = 'm';state = 'built' | walls.0: expected either slopes
            [[walls]];resource = 'r';target = 1;mechanism = 'm';state = 'built';slopes = ['y'] | 'y' is not measured
            """)
    void aMistakeIsOneLine(String text, String expected) {
        String message = assertThrows(
                        IllegalArgumentException.class, () -> read(LEAST + text.replace(';', '\n') + '\n'))
                .getMessage();
        assertTrue(message.contains(expected), message);
        assertEquals(1, message.lines().count());
    }

    @Test
    void theSmallFormFindsCostsThatGrowAndWritesThemDown() throws IOException {
        ScaleResults results = new ScaleExperiment(json(Path.of("experiments/scale-small.toml"))).run(name -> {});
        assertTrue(results.held(), results.table());
        results.write(folder);
        ScaleReport.write(results, folder);
        JsonObject written =
                Json.parse(Files.readString(folder.resolve("result.json"))).asObject();
        assertEquals(results.slopes().size(), written.get("slopes").asArray().size());
        assertEquals(results.walls().size(), written.get("walls").asArray().size());
        String report = Files.readString(folder.resolve("report.html"));
        assertEquals(results.slopes().size(), report.split("data:image/png;base64,", -1).length - 1);
        assertFalse(report.contains("http://") || report.contains("https://"), "the report needs a network");
        // The mechanism has to bring a relay below the budget that all destinations pass.
        Wall memory = results.walls().get(0);
        assertTrue(memory.share() < 1, results.table());
        assertTrue(memory.neededAfter() < memory.budget(), results.table());
    }

    private static boolean held(LinearFit fit, double leastRSquared, Double mostSlope) {
        SlopeResult.Expected expected = new SlopeResult.Expected(leastRSquared, mostSlope);
        return new SlopeResult("a", "B", "one", List.of(), fit, expected).held();
    }

    @Test
    void aCostThatDoesNotGrowAlongALineFails() {
        LinearFit falling = new LinearFit(10, -1, 0.1, 1);
        LinearFit scattered = new LinearFit(10, 1, 5, 0.2);
        assertFalse(held(falling, 0, null));
        assertFalse(held(scattered, 0.5, null));
        assertTrue(held(scattered, 0.1, null));
    }

    @Test
    void aCostThatIsNotToGrowFailsWhenItDoes() {
        assertTrue(held(new LinearFit(10, 0.5, 0.1, 1), 0, 1.0));
        assertTrue(held(new LinearFit(10, -0.5, 0.1, 0), 0, 1.0));
        assertFalse(held(new LinearFit(10, 1.5, 0.1, 1), 0, 1.0));
    }
}
