package juniperusher.maintenance;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Random;
import java.util.Set;
import org.testng.annotations.Test;

/** Guards against endpoints that get calls again, as one process of an upgrade writes an older set over the other's. */
public class SavedMaintenanceTest {
    private static final long SEED = 62;

    private static MaintenanceChange enter(String id) {
        return new MaintenanceChange(id, true);
    }

    private static MaintenanceChange exit(String id) {
        return new MaintenanceChange(id, false);
    }

    @Test
    public void changeKeepsWhatTheOtherProcessHasSavedSince() throws Exception {
        Path folder = Files.createTempDirectory("maintenance");
        SavedMaintenance old = new SavedMaintenance(new MaintenanceFile(folder));
        SavedMaintenance next = new SavedMaintenance(new MaintenanceFile(folder));
        old.change(enter("s-1"));
        old.change(enter("s-2"));
        assertEquals(next.change(exit("s-1")).endpointIds(), Set.of("s-2"));
        assertEquals(next.change(enter("s-3")).endpointIds(), Set.of("s-2", "s-3"));
        assertEquals(old.refresh().endpointIds(), Set.of("s-2", "s-3"));
    }

    @Test
    public void failedChangeIsSavedOnTopOfLaterOnes() throws Exception {
        Path folder = Files.createTempDirectory("maintenance");
        SavedMaintenance one = new SavedMaintenance(new MaintenanceFile(folder));
        SavedMaintenance other = new SavedMaintenance(new MaintenanceFile(folder));
        other.change(enter("s-1"));
        one.refresh();
        Path lock = folder.resolve(MaintenanceFile.NAME + ".lock");
        Files.delete(lock);
        Files.createDirectory(lock); // makes each save fail
        assertEquals(one.change(enter("s-2")).endpointIds(), Set.of("s-1", "s-2"), "active though not saved");
        assertTrue(one.isPending());
        Files.delete(lock);
        other.change(enter("s-3"));
        other.change(exit("s-1"));
        assertEquals(one.refresh().endpointIds(), Set.of("s-2", "s-3"));
        assertFalse(one.isPending());
        assertEquals(new MaintenanceFile(folder).read().endpointIds(), Set.of("s-2", "s-3"));
    }

    @Test
    public void pendingChangeStaysActiveOverWhatIsAdopted() throws Exception {
        Path folder = Files.createTempDirectory("maintenance");
        SavedMaintenance one = new SavedMaintenance(new MaintenanceFile(folder));
        Path lock = folder.resolve(MaintenanceFile.NAME + ".lock");
        Files.createDirectory(lock);
        one.change(enter("s-1"));
        Files.writeString(
                folder.resolve(MaintenanceFile.NAME),
                Maintenance.NONE.enter("s-2").serialize()); // by a process of an earlier version
        assertEquals(one.refresh().endpointIds(), Set.of("s-1", "s-2"));
        Files.delete(lock);
        one.refresh();
        assertEquals(new MaintenanceFile(folder).read().endpointIds(), Set.of("s-1", "s-2"));
    }

    @Test
    public void brokenContentIsReplacedByTheActiveMaintenance() throws Exception {
        Path folder = Files.createTempDirectory("maintenance");
        SavedMaintenance one = new SavedMaintenance(new MaintenanceFile(folder));
        one.change(enter("s-1"));
        Files.writeString(folder.resolve(MaintenanceFile.NAME), "broken");
        assertEquals(one.refresh().endpointIds(), Set.of("s-1"));
        assertEquals(one.change(enter("s-2")).endpointIds(), Set.of("s-1", "s-2"));
        assertEquals(new MaintenanceFile(folder).read().endpointIds(), Set.of("s-1", "s-2"));
    }

    /** Two processes that each change endpoints of their own, with saves that fail now and then. */
    @Test
    public void eachEndpointEndsAsItsLastCallSays() throws Exception {
        System.out.println("seed " + SEED);
        Random random = new Random(SEED);
        Path folder = Files.createTempDirectory("maintenance");
        SavedMaintenance[] processes = {
            new SavedMaintenance(new MaintenanceFile(folder)), new SavedMaintenance(new MaintenanceFile(folder))
        };
        Path lock = folder.resolve(MaintenanceFile.NAME + ".lock");
        Maintenance expected = Maintenance.NONE;
        for (int step = 0; step < 2_000; step++) {
            int process = random.nextInt(2);
            if (random.nextInt(10) == 0) {
                Files.deleteIfExists(lock);
                if (random.nextBoolean()) {
                    Files.createDirectory(lock);
                }
            }
            if (random.nextInt(4) == 0) {
                processes[process].refresh();
            }
            MaintenanceChange change =
                    new MaintenanceChange("s-" + (2 * random.nextInt(12) + process), random.nextBoolean());
            expected = change.applyTo(expected);
            Maintenance active = processes[process].change(change);
            assertEquals(active.contains(change.endpointId()), change.enters(), "step " + step);
        }
        Files.deleteIfExists(lock);
        processes[0].refresh();
        assertEquals(processes[1].refresh(), expected);
        assertEquals(processes[0].refresh(), expected);
        assertEquals(new MaintenanceFile(folder).read(), expected);
    }
}
