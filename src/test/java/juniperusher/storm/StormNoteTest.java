package juniperusher.storm;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

class StormNoteTest {
    private static final StormNote.Entry ENTRY = new StormNote.Entry(
            7, true, 12.34, Double.POSITIVE_INFINITY, 300, 2, 0.5, new RateShares.TimestampEcho(1000.123, 0.25));

    private static byte[] largestNote() {
        List<StormNote.Entry> entries = new ArrayList<>();
        for (int i = 0; i < StormNote.MAX_ENTRIES; i++) {
            entries.add(new StormNote.Entry(i, false, 1, 2, i, -1, 0, new RateShares.TimestampEcho(0, 0)));
        }
        return new StormNote(99.5, entries).encode();
    }

    @Test
    void decodesWhatItEncodes() {
        StormNote read = StormNote.decode(new StormNote(1234.5, List.of(ENTRY)).encode());
        assertEquals(1234.5, read.sentAt());
        StormNote.Entry entry = read.entries().get(0);
        assertEquals(7, entry.destination());
        assertTrue(entry.inOutage());
        assertEquals(12.34, entry.outageAgeSeconds(), 0.011);
        assertEquals(Double.POSITIVE_INFINITY, entry.recoveryAgeSeconds());
        assertEquals(300, entry.pending());
        assertEquals(2, entry.borrower());
        assertEquals(1000.123, entry.echo().timestamp(), 0.0011);
        assertTrue(entry.echo().timestamp() <= 1000.123 && entry.echo().ageSeconds() <= 0.25, "times are rounded down");
        assertTrue(entry.lentFraction() <= 0.5 && entry.lentFraction() > 0.49, "the fraction is rounded down");
    }

    @Test
    void largestNoteFitsIntoADatagram() {
        assertTrue(largestNote().length <= StormNote.MAX_BYTES, largestNote().length + " bytes");
        assertEquals(
                StormNote.MAX_ENTRIES, StormNote.decode(largestNote()).entries().size());
        assertThrows(
                IllegalArgumentException.class,
                () -> new StormNote(1, java.util.Collections.nCopies(StormNote.MAX_ENTRIES + 1, ENTRY)));
    }

    @Test
    void truncatedOrDamagedNotesAreRejected() {
        byte[] valid = largestNote();
        for (int length = 0; length < valid.length; length++) {
            assertNull(StormNote.decode(Arrays.copyOf(valid, length)), length + " bytes");
        }
        for (int bit = 0; bit < valid.length * 8; bit++) {
            byte[] damaged = valid.clone();
            damaged[bit / 8] ^= (byte) (1 << bit % 8);
            assertNull(StormNote.decode(damaged), "bit " + bit);
        }
    }

    @Property(tries = 2_000, seed = "20261201")
    void randomBytesNeverThrow(@ForAll @Size(max = 300) byte[] bytes) {
        StormNote note = StormNote.decode(bytes);
        if (note != null) {
            assertArrayEquals(bytes, note.encode());
        }
    }
}
