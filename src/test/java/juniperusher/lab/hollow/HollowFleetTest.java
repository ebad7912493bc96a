package juniperusher.lab.hollow;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import juniperusher.settings.TomlReader;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;

class HollowFleetTest {
    private static final Path SMALL = Path.of("experiments/hollow-small.toml");
    private static final long MEMORY_MB = 2_048;

    @TempDir
    Path folder;

    private static HollowExperiment read(Path file, String... sets) throws Exception {
        return HollowExperiment.fromJson(TomlReader.withSchema(HollowExperiment.class, HollowExperiment.SCHEMA)
                .read(file, List.of(sets)));
    }

    private HollowResults play(HollowExperiment experiment) throws Exception {
        return HollowFleet.run(experiment, "juniperusher.cli.Main", folder, MEMORY_MB, what -> {});
    }

    private static Set<Long> children() {
        return ProcessHandle.current().children().map(ProcessHandle::pid).collect(Collectors.toSet());
    }

    static Stream<Path> files() throws Exception {
        return Files.list(Path.of("experiments"))
                .filter(file -> file.getFileName().toString().startsWith("hollow"));
    }

    @ParameterizedTest
    @MethodSource("files")
    void eachFileOfTheRepositoryCanBeRead(Path file) throws Exception {
        assertTrue(read(file).relays() > 0);
    }

    /** Real sockets and processes through one fault of each kind. */
    @Test
    void theSmallFleetKeepsItsBudgetsAndLeavesNoProcess() throws Exception {
        Set<Long> before = children();
        HollowResults results = play(read(SMALL));
        assertTrue(results.held(), results.table());
        assertTrue(results.figure("changes in force, counted") > 1_000, results.table());
        assertTrue(results.figure("returns, counted") >= 24, results.table());
        assertEquals(0, results.figure("changes refused"), results.table());
        Set<Long> left = children();
        left.removeAll(before);
        assertEquals(Set.of(), left);
    }

    @Test
    void aBudgetThatIsBrokenIsSaid() throws Exception {
        HollowResults results = play(read(
                SMALL,
                "seconds=1",
                "relays=4",
                "followers=1",
                "faults=[]",
                "restarts_per_second=0",
                "budgets.in_force=0.000001"));
        assertFalse(results.held());
        assertTrue(results.table().contains("BROKEN"), results.table());
    }

    @Test
    void aFleetBeyondTheMemoryIsRefusedBeforeItStarts() throws Exception {
        HollowExperiment experiment = read(SMALL, "host_heap_mb=8000");
        assertTrue(assertThrows(IllegalArgumentException.class, () -> play(experiment))
                .getMessage()
                .contains("half of the machine's memory"));
    }

    @ParameterizedTest
    @CsvSource(delimiter = '|', textBlock = """
            relays=3           | relays = 3: expected at least two for each of 2 regions
            destinations=10    | destinations = 10: expected one for each range, 192
            faults.0.region=2  | names a region, zone or control process that there is not
            relays=0           | 'relays' = 0
            faults.0.kind='x'  | 'faults.0.kind' = "x"
            """)
    void aMistakeIsOneLine(String set, String expected) {
        String said = assertThrows(IllegalArgumentException.class, () -> read(SMALL, set))
                .getMessage();
        assertTrue(said.contains(expected), said);
        assertEquals(1, said.lines().count());
    }
}
