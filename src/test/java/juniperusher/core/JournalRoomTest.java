package juniperusher.core;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.Random;
import org.testng.annotations.Test;

/** When a message fits into the folder, and when a snapshot is worth its length. */
public class JournalRoomTest {
    private static final long SEED = 62;
    private static final long DISK_BYTES = 3 << 20;
    private static final int MAX_PENDING = 600;

    private final JournalRoom room = new JournalRoom(DISK_BYTES, MAX_PENDING);

    @Test
    public void snapshotThatFreesNothingNeverPays() {
        JournalRoom.Use full = new JournalRoom.Use(1_400_000, 1_400_000, 0, 0);
        assertFalse(room.admits(full, 20_000));
        assertFalse(room.snapshotPaysForMessage(full, 20_000));
        assertFalse(room.snapshotPaysForRecord(full));
    }

    @Test
    public void snapshotPaysForAMessageThatIsAdmittedAfterIt() {
        assertTrue(room.snapshotPaysForMessage(new JournalRoom.Use(1_700_000, 1_100_000, 0, 0), 20_000));
        // not admitted after it either
        assertFalse(room.snapshotPaysForMessage(new JournalRoom.Use(1_700_000, 1_100_000, 0, 0), 400_000));
        // frees less than a quarter of what it writes
        assertFalse(room.snapshotPaysForMessage(new JournalRoom.Use(1_600_000, 1_300_000, 0, 0), 20_000));
    }

    @Test
    public void snapshotNeverPaysWithoutRoomBesideBothProcesses() {
        assertFalse(room.snapshotPaysForMessage(new JournalRoom.Use(1_400_000, 700_000, 600_000, 0), 1_000));
        assertFalse(room.snapshotPaysForRecord(new JournalRoom.Use(1_400_000, 700_000, 600_000, 0)));
        assertTrue(room.snapshotPaysForRecord(new JournalRoom.Use(1_400_000, 700_000, 500_000, 0)));
    }

    /** Whatever two processes accept and end, two snapshots at the same moment fit beside their segments. */
    @Test
    public void bothProcessesCanAlwaysWriteASnapshot() {
        System.out.println("seed " + SEED);
        Random random = new Random(SEED);
        long[] segments = new long[2];
        long[] snapshot = new long[2];
        for (int step = 0; step < 100_000; step++) {
            int own = random.nextInt(2);
            JournalRoom.Use use = new JournalRoom.Use(segments[own], snapshot[own], segments[1 - own], 0);
            long size = 1 + random.nextInt(64 * 1024);
            if (random.nextInt(3) == 0) {
                snapshot[own] -= Math.min(snapshot[own], size); // a message ends
            } else if (room.admits(use, size)) {
                segments[own] += size;
                snapshot[own] += size;
            } else if (room.snapshotPaysForMessage(use, size)) {
                assertTrue(sum(segments) + snapshot[own] <= room.limitBytes(), "step " + step);
                segments[own] = snapshot[own];
            }
            assertTrue(sum(segments) + sum(snapshot) <= room.limitBytes(), "two snapshots at step " + step);
        }
    }

    private static long sum(long[] bytes) {
        return bytes[0] + bytes[1];
    }
}
