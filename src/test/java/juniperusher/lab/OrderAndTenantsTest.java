package juniperusher.lab;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.DoubleStream;
import juniperusher.settings.TomlReader;
import org.junit.jupiter.api.Test;

/** Shortened experiments with sequenced classes and with tenants; `juniperusher lab run` runs them in full. */
class OrderAndTenantsTest {
    private static final int SEEDS = 2;

    /** Runs each variant of an experiment with seeds 1 to {@link #SEEDS}. */
    private static Map<String, List<RunResult>> play(String name, String... sets) throws IOException {
        TomlReader reader = TomlReader.withSchema(Experiment.class, "experiment.schema.json");
        Path file = Path.of("experiments/" + name + ".toml");
        Map<String, List<RunResult>> out = new LinkedHashMap<>();
        for (Map.Entry<String, List<String>> one :
                Experiment.variants(reader.read(file, List.of())).entrySet()) {
            List<String> all = new ArrayList<>(List.of("seconds=30"));
            all.addAll(List.of(sets));
            all.addAll(one.getValue());
            List<RunResult> runs = new ArrayList<>();
            for (int seed = 1; seed <= SEEDS; seed++) {
                runs.add(VirtualEngine.run(one.getKey(), Plan.fromJson(reader.read(file, all), seed)));
            }
            out.put(one.getKey(), runs);
        }
        return out;
    }

    private static void assertNoViolations(Map<String, List<RunResult>> runs) {
        runs.forEach((variant, all) ->
                all.forEach(run -> assertEquals(List.of(), run.violations(), variant + ", seed " + run.seed())));
    }

    private static double mean(List<RunResult> runs, String figure) {
        return runs.stream()
                .mapToDouble(run -> run.figures().get(figure))
                .average()
                .orElseThrow();
    }

    @Test
    void keyOrderIsKeptAndCostsLittleWithoutFaults() throws IOException {
        Map<String, List<RunResult>> runs = play("order-cost");
        assertNoViolations(runs);
        List<RunResult> with = runs.get("in order");
        List<RunResult> without = runs.get("without keys");
        for (String figure : List.of("p50_sequenced", "p99_sequenced")) {
            double times = mean(with, figure) / mean(without, figure);
            assertTrue(times > 1, figure + ": keeping the order costs nothing, so it was not kept: " + times);
            assertTrue(times < 2, figure + ": " + times);
        }
        assertTrue(Math.abs(mean(with, "worth") - mean(without, "worth")) < 0.02);
    }

    @Test
    void relaysWithoutKeysBreakTheOrder() throws IOException {
        for (RunResult run : play("order-cost", "relays.keys=false").get("in order")) {
            assertTrue(
                    run.figures().get("broken") > 10,
                    "a run without keys keeps the order, so the test of the order proves nothing: " + run.figures());
            assertTrue(
                    run.violations().stream().allMatch(line -> line.contains("of key")),
                    run.violations().toString());
        }
    }

    @Test
    void tenantBeyondItsShareHardlyAffectsTheOthers() throws IOException {
        Map<String, List<RunResult>> runs = play("tenant-share");
        assertNoViolations(runs);
        double told = mean(runs.get("told"), "worth_within_share");
        double notTold = mean(runs.get("not told"), "worth_within_share");
        double calm = mean(runs.get("all within"), "worth_within_share");
        assertTrue(told > notTold + 0.03, told + " where relays know the shares, " + notTold + " where they do not");
        assertTrue(told > calm - 0.08, told + " beside a tenant beyond its share, " + calm + " without one");
        assertTrue(mean(runs.get("told"), "worth_weakest_tenant") > 0.85, "a tenant gets less than its share");
    }

    @Test
    void demandIsTheSameInAllVariants() throws IOException {
        for (List<String> names : List.of(
                List.of("order-cost", "in order", "without keys"), List.of("tenant-share", "told", "not told"))) {
            Map<String, List<RunResult>> runs = play(names.get(0));
            assertEquals(
                    requestedWorth(runs.get(names.get(1)).get(0)),
                    requestedWorth(runs.get(names.get(2)).get(0)),
                    names.get(0));
        }
    }

    private static List<Double> requestedWorth(RunResult run) {
        return DoubleStream.of(run.series().get("worth asked, sound")).boxed().toList();
    }

    @Test
    void keysHaveMeanGapOneRelayAndLimitedLifetime() throws IOException {
        Plan plan = Plan.fromJson(
                TomlReader.withSchema(Experiment.class, "experiment.schema.json")
                        .read(Path.of("experiments/order-cost.toml"), List.of()),
                7);
        KeyModel model = plan.keyModel();
        double rate = 0;
        for (int i = 0; i < plan.destinations().size(); i++) {
            rate += plan.requestRate(i) * plan.sequenced().share();
        }
        Map<Long, List<Double>> times = new LinkedHashMap<>();
        Map<Long, Integer> relays = new LinkedHashMap<>();
        int count = 20_000;
        for (int i = 0; i < count; i++) {
            KeyModel.Key key = model.nextKey(i / rate);
            times.computeIfAbsent(key.number(), number -> new ArrayList<>()).add(i / rate);
            assertEquals(relays.computeIfAbsent(key.number(), number -> key.relay()), key.relay());
        }
        times.values().forEach(one -> assertTrue(one.get(one.size() - 1) - one.get(0) < 15, "lives longer than 15 s"));
        double perKey = (double) count / times.size();
        assertEquals(plan.sequenced().meanLifetime() / plan.sequenced().meanGap(), perKey, 2, "messages of a key");
        assertEquals(3, relays.values().stream().distinct().count());
    }
}
