package juniperusher.maintenance;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertSame;
import static org.testng.Assert.assertThrows;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import juniperusher.Protocol.Phase;
import juniperusher.Protocol.Target;
import juniperusher.membership.Endpoint;
import juniperusher.membership.Snapshot;
import org.pcollections.HashTreePMap;
import org.pcollections.HashTreePSet;
import org.testng.annotations.Test;

/** Phases of endpoints under maintenance, and the file that stores them. */
public class MaintenanceTest {
    private static Snapshot discovered(Phase second) {
        return new Snapshot(
                1,
                "discovery",
                41,
                true,
                0,
                HashTreePMap.<Integer, Endpoint>empty()
                        .plus(0, new Endpoint("s-a", new Target(0, 3, 0, 0, 1, Phase.READY), null, 0))
                        .plus(1, new Endpoint("s-b", new Target(1, 3, 0, 0, 1, second), null, 0)),
                HashTreePSet.singleton(3));
    }

    @Test
    public void endpointUnderMaintenanceIsDraining() {
        Maintenance maintenance = Maintenance.NONE.enter("s-b");
        Snapshot applied = maintenance.applyTo(discovered(Phase.READY));
        assertEquals(applied.target(0).phase(), Phase.READY);
        assertEquals(applied.target(1).phase(), Phase.DRAINING);
        assertEquals(maintenance.applyTo(discovered(Phase.GONE)).target(1).phase(), Phase.GONE);
        Snapshot unchanged = discovered(Phase.READY);
        assertSame(
                Maintenance.NONE.applyTo(unchanged),
                unchanged,
                "a new snapshot was made although no endpoint is under maintenance");
    }

    @Test
    public void entryIsIdempotentAndEachChangeIsReported() {
        Maintenance once = Maintenance.NONE.enter("s-b");
        Maintenance twice = once.enter("s-b");
        assertEquals(twice, once);
        assertEquals(twice.exit("s-b"), Maintenance.NONE);
        List<Target> entered = once.changedFrom(Maintenance.NONE, discovered(Phase.READY));
        assertEquals(entered, List.of(new Target(1, 3, 0, 0, 1, Phase.DRAINING)));
        assertEquals(twice.changedFrom(once, discovered(Phase.READY)), List.of());
        assertEquals(
                Maintenance.NONE.changedFrom(twice, discovered(Phase.READY)),
                List.of(new Target(1, 3, 0, 0, 1, Phase.READY)));
    }

    @Test
    public void fileIsRestoredAndTruncatedContentIsRejected() throws Exception {
        Path folder = Files.createTempDirectory("maintenance");
        MaintenanceFile file = new MaintenanceFile(folder);
        assertEquals(file.read(), Maintenance.NONE);
        Maintenance stored = Maintenance.NONE.enter("s-b").enter("s-a");
        file.apply(List.of(new MaintenanceChange("s-b", true), new MaintenanceChange("s-a", true)), Maintenance.NONE);
        assertEquals(new MaintenanceFile(folder).read(), stored);
        String whole = stored.serialize();
        for (int cut = 0; cut < whole.length(); cut++) {
            String truncated = whole.substring(0, cut);
            assertThrows(IllegalArgumentException.class, () -> Maintenance.parse(truncated));
        }
        try (var remaining = Files.list(folder)) {
            assertEquals(
                    remaining
                            .map(path -> path.getFileName().toString())
                            .sorted()
                            .toList(),
                    List.of(MaintenanceFile.NAME, MaintenanceFile.NAME + ".lock"),
                    "a temporary file was left");
        }
    }
}
