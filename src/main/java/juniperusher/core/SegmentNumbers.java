package juniperusher.core;

/**
 * Arithmetic of segment numbers. They count from 1 to {@value #LAST}, the highest number that a segment's file name
 * holds, and then from 1 again. The segments of a folder are so close to each other that their age can still be told.
 */
final class SegmentNumbers {
    /** Number of no segment. */
    static final int NONE = 0;
    /** The highest segment number. */
    static final int LAST = 999_999_999;

    private SegmentNumbers() {}

    /** The number that is {@code count} after {@code number}, which may be {@link #NONE}. */
    static int plus(int number, int count) {
        return (int) Math.floorMod((long) number - 1 + count, (long) LAST) + 1;
    }

    /** Compares two segments by age: negative if the first one is older. */
    static int compare(int one, int other) {
        int ahead = Math.floorMod(one - other, LAST);
        return ahead == 0 ? 0 : ahead <= LAST / 2 ? 1 : -1;
    }
}
