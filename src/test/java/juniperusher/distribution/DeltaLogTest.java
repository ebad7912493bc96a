package juniperusher.distribution;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

/** The limits of the delta log, and which versions it covers. */
class DeltaLogTest {
    private static final String SEED = "20261202";
    private static final int UNLIMITED_BYTES = 1 << 20;

    private static DeltaLog log(int maxChanges, int changes) {
        DeltaLog log = new DeltaLog(maxChanges, UNLIMITED_BYTES);
        log.reset(new Version(1, 10));
        for (int i = 1; i <= changes; i++) {
            log.append(new Change(new Version(1, 10 + i), new byte[i]));
        }
        return log;
    }

    @Property(tries = 300, seed = SEED)
    void keepsTheNewestChanges(
            @ForAll @IntRange(min = 1, max = 100) int maxChanges, @ForAll @IntRange(max = 400) int changes) {
        DeltaLog log = log(maxChanges, changes);
        int kept = Math.min(maxChanges, changes);
        assertEquals(kept, log.changeCount());
        for (int behind = 0; behind <= kept; behind++) {
            Version version = new Version(1, 10 + changes - behind);
            assertTrue(log.covers(version));
            List<Change> since = log.changesAfter(version, UNLIMITED_BYTES);
            assertEquals(behind, since.size());
            for (int i = 0; i < behind; i++) {
                assertEquals(version.revision() + 1 + i, since.get(i).version().revision());
                assertEquals(version.revision() + 1 + i - 10, since.get(i).delta().length);
            }
        }
        assertFalse(log.covers(new Version(1, 10 + changes - kept - 1)));
        assertFalse(log.covers(new Version(1, 10 + changes + 1)));
    }

    @Test
    void staysWithinItsByteLimit() {
        DeltaLog log = new DeltaLog(1_000, 500);
        log.reset(new Version(1, 1));
        for (int i = 2; i < 200; i++) {
            log.append(new Change(new Version(1, i), new byte[100]));
            assertTrue(log.totalBytes() <= 500);
        }
        assertEquals(4, log.changeCount());
    }

    /** A subscriber that applied another leader's changes must not get the changes that follow the same revision. */
    @Test
    void doesNotCoverTheSameRevisionOfAnotherTerm() {
        DeltaLog log = log(100, 3);
        log.append(new Change(new Version(2, 14), new byte[0]));
        log.append(new Change(new Version(2, 15), new byte[1]));
        assertTrue(log.covers(new Version(1, 13)));
        assertTrue(log.covers(new Version(2, 14)));
        assertFalse(log.covers(new Version(1, 14)));
        assertThrows(IllegalArgumentException.class, () -> log.changesAfter(new Version(1, 14), UNLIMITED_BYTES));
    }

    @Test
    void returnsAsManyChangesAsFitButAtLeastOne() {
        DeltaLog log = log(100, 20);
        assertEquals(1, log.changesAfter(new Version(1, 10), 1).size());
        assertEquals(3, log.changesAfter(new Version(1, 10), 3 * 12 + 6).size());
        assertEquals(20, log.changesAfter(new Version(1, 10), UNLIMITED_BYTES).size());
    }

    @Test
    void refusesChangesThatAreNotConsecutive() {
        DeltaLog log = log(100, 1);
        assertThrows(IllegalArgumentException.class, () -> log.append(new Change(new Version(1, 13), new byte[0])));
        assertThrows(IllegalArgumentException.class, () -> log.append(new Change(new Version(0, 12), new byte[0])));
    }
}
