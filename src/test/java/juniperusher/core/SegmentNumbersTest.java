package juniperusher.core;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.Test;

/** Segment numbers start again after the last one that fits into a file name, and keep their order. */
public class SegmentNumbersTest {
    @Test
    public void theFirstNumberFollowsTheLastOne() {
        assertEquals(SegmentNumbers.plus(SegmentNumbers.NONE, 1), 1);
        assertEquals(SegmentNumbers.plus(SegmentNumbers.NONE, 10_000), 10_000);
        assertEquals(SegmentNumbers.plus(SegmentNumbers.LAST, 1), 1);
        assertEquals(SegmentNumbers.plus(SegmentNumbers.LAST - 1, 10_000), 9_999);
    }

    @Test
    public void laterNumbersAreNewerAcrossTheLastOne() {
        for (int number : new int[] {1, 2, 500_000_000, SegmentNumbers.LAST - 1, SegmentNumbers.LAST}) {
            int later = SegmentNumbers.plus(number, 20_000);
            assertTrue(SegmentNumbers.compare(number, later) < 0, number + " before " + later);
            assertTrue(SegmentNumbers.compare(later, number) > 0, later + " after " + number);
            assertEquals(SegmentNumbers.compare(number, number), 0);
        }
    }
}
