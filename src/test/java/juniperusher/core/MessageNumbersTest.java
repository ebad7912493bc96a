package juniperusher.core;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.util.HashSet;
import java.util.Set;
import org.testng.annotations.Test;

/** Message numbers stay positive, apart from those of the other process, and are not used twice at a time. */
public class MessageNumbersTest {
    private static final int RANGE_SIZE = 1 << 28;

    @Test
    public void numbersInUseAreSkipped() {
        MessageNumbers numbers = new MessageNumbers(MessageNumbers.FIRST_RANGE);
        Set<Integer> inUse = Set.of(1, 2, 4);
        assertEquals(numbers.next(inUse::contains), 3);
        assertEquals(numbers.next(inUse::contains), 5);
    }

    // Guards against numbers that leave the range, or overflow, once the range is used up.
    @Test
    public void aRangeThatIsUsedUpIsUsedAgain() {
        for (int range = 0; range < 8; range++) {
            MessageNumbers numbers = new MessageNumbers(range);
            int first = numbers.next(number -> false);
            int last = range * RANGE_SIZE + RANGE_SIZE - 1;
            assertEquals(numbers.next(number -> number < last), last);
            assertTrue(first > 0 && last > 0, "range " + range + " from " + first + " to " + last);
            assertEquals(numbers.next(number -> number == first), first + 1, "after the last number of range " + range);
        }
    }

    @Test
    public void aRangeApartFromAllUsedOnesIsChosen() throws IOException {
        assertEquals(MessageNumbers.apartFrom(Set.of()).range(), 0);
        assertEquals(MessageNumbers.apartFrom(Set.of(0, 2)).range(), 1);
        assertThrows(IOException.class, () -> MessageNumbers.apartFrom(Set.of(0, 1, 2, 3, 4, 5, 6, 7)));
    }

    // Guards against a successor in the range that an owner of an earlier version, whose numbers have no range, enters.
    @Test
    public void numbersNearTheEndOfARangeUseTheNextRangeToo() throws IOException {
        Set<Integer> ranges = new HashSet<>();
        MessageNumbers.addRangesOf(RANGE_SIZE - 1, ranges);
        assertEquals(ranges, Set.of(0, 1));
        ranges.clear();
        MessageNumbers.addRangesOf(Integer.MAX_VALUE, ranges);
        assertEquals(ranges, Set.of(7, 0));
        ranges.clear();
        MessageNumbers.addRangesOf(Integer.MIN_VALUE, ranges);
        assertEquals(ranges, Set.of());
        assertNotEquals(MessageNumbers.apartFrom(Set.of(0)).range(), 0);
    }
}
