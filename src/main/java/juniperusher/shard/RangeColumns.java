package juniperusher.shard;

import java.util.Arrays;

/**
 * The ranges of a map in parallel arrays of primitive values, 18 bytes per range. A range ends at the start of the next
 * one. Ranges are added while a map is built; the columns do not change after that, and may then be shared between
 * threads.
 */
final class RangeColumns {
    /** The owner index of an unowned range. */
    static final int UNOWNED = -1;

    private int[] starts;
    private int[] owners;
    private short[] regions;
    private long[] movedAt;
    private int size;

    RangeColumns(int capacity) {
        starts = new int[capacity];
        owners = new int[capacity];
        regions = new short[capacity];
        movedAt = new long[capacity];
    }

    void add(int start, int owner, int region, long movedAtEpoch) {
        if (size == starts.length) {
            resize(Math.max(8, size + size / 2));
        }
        starts[size] = start;
        owners[size] = owner;
        regions[size] = (short) region;
        movedAt[size] = movedAtEpoch;
        size++;
    }

    /** Releases unused memory. */
    void trim() {
        if (size < starts.length) {
            resize(size);
        }
    }

    private void resize(int capacity) {
        starts = Arrays.copyOf(starts, capacity);
        owners = Arrays.copyOf(owners, capacity);
        regions = Arrays.copyOf(regions, capacity);
        movedAt = Arrays.copyOf(movedAt, capacity);
    }

    int size() {
        return size;
    }

    int start(int index) {
        return starts[index];
    }

    int owner(int index) {
        return owners[index];
    }

    int region(int index) {
        return regions[index];
    }

    long movedAt(int index) {
        return movedAt[index];
    }

    /** Returns the index of the range that contains the destination, which must not be below the first start. */
    int indexOf(int destination) {
        int searchResult = Arrays.binarySearch(starts, 0, size, destination);
        return searchResult >= 0 ? searchResult : -searchResult - 2;
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof RangeColumns columns
                && Arrays.equals(starts, 0, size, columns.starts, 0, columns.size)
                && Arrays.equals(owners, 0, size, columns.owners, 0, columns.size)
                && Arrays.equals(regions, 0, size, columns.regions, 0, columns.size)
                && Arrays.equals(movedAt, 0, size, columns.movedAt, 0, columns.size);
    }

    @Override
    public int hashCode() {
        int hash = size;
        for (int i = 0; i < size; i++) {
            hash = 31 * hash + starts[i] + 7 * owners[i] + Long.hashCode(movedAt[i]);
        }
        return hash;
    }
}
