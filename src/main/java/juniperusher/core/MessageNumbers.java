package juniperusher.core;

import java.io.IOException;
import java.util.Set;
import java.util.function.IntPredicate;

/**
 * Allocates the message numbers of one process.
 *
 * <p>The two processes of an upgrade write to one folder at the same time, so the positive numbers are divided into
 * ranges and each process allocates from one range only. A process goes through its range again and again and skips the
 * numbers that are in use, so it never runs out of numbers and never leaves its range.
 *
 * <p>Not safe for use by several threads.
 */
final class MessageNumbers {
    /** The range of a journal that records none: that of a new folder. */
    static final int FIRST_RANGE = 0;

    private static final int RANGE_COUNT = 8;
    // RANGE_COUNT ranges of this size are all non-negative integers.
    private static final int RANGE_SIZE = 1 << 28;
    // How far the numbers of an earlier version may run ahead of the highest one that is read.
    private static final int UNRANGED_HEADROOM = 1 << 24;

    private final int range;
    private int lastOffset; // within the range; 0 is not used

    /** Allocates from the range with this index, starting at its lowest number. */
    MessageNumbers(int range) {
        this.range = range;
    }

    /**
     * Allocates from a range that is not used.
     *
     * @throws IOException if all ranges are used
     */
    static MessageNumbers apartFrom(Set<Integer> usedRanges) throws IOException {
        for (int range = 0; range < RANGE_COUNT; range++) {
            if (!usedRanges.contains(range)) {
                return new MessageNumbers(range);
            }
        }
        throw new IOException("no range of message numbers is free");
    }

    /** Adds the ranges that a process may use which has allocated the number; none if the number is not positive. */
    static void addRangesOf(int number, Set<Integer> ranges) {
        if (number > 0) {
            ranges.add(number / RANGE_SIZE);
            ranges.add((int) (((long) number + UNRANGED_HEADROOM) / RANGE_SIZE) % RANGE_COUNT);
        }
    }

    /** Index of the range. */
    int range() {
        return range;
    }

    /** Allocates the next number that is not in use. Fewer numbers than the range has must be in use. */
    int next(IntPredicate isInUse) {
        int number;
        do {
            lastOffset = lastOffset == RANGE_SIZE - 1 ? 1 : lastOffset + 1;
            number = range * RANGE_SIZE + lastOffset;
        } while (isInUse.test(number));
        return number;
    }
}
