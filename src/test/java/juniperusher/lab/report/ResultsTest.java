package juniperusher.lab.report;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import juniperusher.lab.Experiment.Verdict;
import juniperusher.lab.RunResult;
import juniperusher.lab.Tally;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class ResultsTest {
    @TempDir
    Path folder;

    private static RunResult run(String variant, long seed, double worth, String... broken) {
        Map<String, Double> figures = new LinkedHashMap<>();
        figures.put("worth", worth);
        figures.put("p99_sound", 2.0);
        double[] percentiles = new double[Tally.PERCENTILES.size()];
        return new RunResult(
                variant,
                seed,
                figures,
                Map.of("owed", new double[] {1, 2, 3}),
                Map.of("sound", percentiles, "struck", percentiles),
                List.of(broken),
                -7);
    }

    private static Results results(double add) {
        List<RunResult> runs = new ArrayList<>();
        for (int seed = 1; seed <= 4; seed++) {
            runs.add(run("a <b>", seed, 0.8 + seed * 0.01 + add));
        }
        return new Results("a & b", "virtual", runs, List.of(new Verdict(true, "worth: 0.9")));
    }

    @Test
    void whatIsWrittenCanBeRead() throws Exception {
        results(0).write(folder);
        Results read = Results.read(folder);
        assertEquals(results(0).table(), read.table());
        assertEquals(-7, read.runs().get(0).hash());
        assertArrayEquals(new double[] {1, 2, 3}, read.runs().get(3).series().get("owed"));
    }

    @Test
    void whatIsNoResultIsOneLine() throws Exception {
        for (String text : List.of("", "{}", "[1]", "{\"format\":1}", "{\"format\":2}")) {
            Files.writeString(folder.resolve("result.json"), text);
            String message = assertThrows(IllegalArgumentException.class, () -> Results.read(folder))
                    .getMessage();
            assertTrue(message.contains("result.json: not the result of an experiment"), message);
            assertEquals(1, message.lines().count());
        }
    }

    @Test
    void aBrokenRuleOrAnUnmetExpectationIsNotHeld() {
        assertTrue(results(0).held());
        assertFalse(new Results("", "", List.of(run("a", 1, 1, "1.0 s: broken")), List.of()).held());
        assertFalse(new Results("", "", List.of(run("a", 1, 1)), List.of(new Verdict(false, ""))).held());
    }

    @Test
    void aDifferenceThatAllSeedsShareIsClearOfChanceThoughTheSeedsDiffer() {
        Comparison.Line line = Comparison.of(results(0), results(0.005)).get(0);
        assertEquals(0.005, line.difference(), 1e-9);
        assertTrue(line.clear(), line.toString());
        Results other = new Results("", "", List.of(run("a <b>", 1, 0.9), run("a <b>", 2, 0.7)), List.of());
        assertFalse(Comparison.of(results(0), other).get(0).clear());
        assertFalse(Comparison.of(other, new Results("", "", other.runs().subList(0, 1), List.of()))
                .get(0)
                .clear());
    }

    @Test
    void theReportHoldsAllInOnePageAndNothingOfItIsMarkup() throws Exception {
        Report.write(results(0), folder);
        String page = Files.readString(folder.resolve("report.html"));
        assertTrue(page.contains("a &lt;b&gt;") && !page.contains("a <b>"), "not escaped");
        assertTrue(page.contains("data:image/png;base64,"), "no plot");
        assertFalse(page.contains("src=\"http"), "something is not in the page");
    }
}
