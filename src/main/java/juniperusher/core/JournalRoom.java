package juniperusher.core;

/**
 * Decides how the segments of a journal use the room of their folder. Free of I/O and of the clock.
 *
 * <p>A snapshot is written beside the segments that it replaces, so a message is accepted only if there is room for
 * both copies afterwards, and for the small records that accepted messages still add. When that room is used up, a
 * snapshot is written only if it pays: what it frees, the segments' bytes less its own, must be worth its length.
 * Otherwise each step of a full journal would write the whole state. A snapshot for an accepted message frees at least
 * one byte for {@link #MAX_BYTES_WRITTEN_PER_BYTE_FREED} that it writes, which bounds what is written for each byte
 * accepted.
 *
 * <p>The other process of an upgrade may write a snapshot at any moment, so its segments count twice.
 *
 * <p>Snapshots without which the folder would lack steps, after a start, a take-over or a failed write, are no matter
 * of room and not decided here.
 */
final class JournalRoom {
    /** Bytes that a snapshot for an accepted message may write for each byte that it frees. */
    static final int MAX_BYTES_WRITTEN_PER_BYTE_FREED = 4;

    // Upper bound of the bytes that an accepted RPC still adds in small records (attempts, outcomes, its end).
    private static final int SMALL_RECORD_BYTES_PER_RPC = 560;
    // Kept free for rounding up file sizes to disk blocks and for other files, which are small as a rule.
    private static final int FOLDER_OVERHEAD_BYTES = 8 * 1024;
    private static final int SMALL_FILE_BYTES = FOLDER_OVERHEAD_BYTES / 2;
    private static final int MAX_RESERVE_DIVISOR = 4; // the part of the room that small records may reserve
    // A snapshot for a small record has to free this part of the reserve: the rest may be used since the last one.
    private static final int FREED_RESERVE_DIVISOR = 2;

    private final long limitBytes;
    private final long reserveBytes;

    /**
     * What the folder holds, in bytes.
     *
     * @param segments the journal's own segments
     * @param snapshot a snapshot of the journal's current state, as an upper bound
     * @param otherProcess the segments of the other process of an upgrade; 0 without one
     * @param otherFiles all files that are no segments
     */
    record Use(long segments, long snapshot, long otherProcess, long otherFiles) {
        /** What a snapshot would free. */
        private long garbage() {
            return segments - snapshot;
        }

        /**
         * The most that the folder holds while both processes write a snapshot and the other files are replaced, which
         * have a second copy then, too.
         */
        private long withSnapshots() {
            return segments + snapshot + 2 * otherProcess + Math.max(0, 2 * otherFiles - SMALL_FILE_BYTES);
        }

        private Use afterSnapshot() {
            return new Use(snapshot, snapshot, otherProcess, otherFiles);
        }
    }

    /**
     * Creates the rules for a folder.
     *
     * @param diskBytes upper bound of the folder's size
     * @param maxPending maximum number of pending messages, for whose further records room is reserved
     */
    JournalRoom(long diskBytes, int maxPending) {
        limitBytes = diskBytes - FOLDER_OVERHEAD_BYTES;
        reserveBytes = Math.min(limitBytes / MAX_RESERVE_DIVISOR, (long) maxPending * SMALL_RECORD_BYTES_PER_RPC);
    }

    /** Bytes that segments may take in all. */
    long limitBytes() {
        return limitBytes;
    }

    /** Whether both processes of an upgrade can write a snapshot at the same time if a message is accepted here. */
    boolean admits(Use use, long messageBytes) {
        return use.withSnapshots() + 2 * messageBytes + reserveBytes <= limitBytes;
    }

    /** Whether a snapshot pays because the message, which is not admitted now, is admitted after it. */
    boolean snapshotPaysForMessage(Use use, long messageBytes) {
        return admits(use.afterSnapshot(), messageBytes)
                && hasRoomForSnapshot(use)
                && use.garbage() * MAX_BYTES_WRITTEN_PER_BYTE_FREED >= use.snapshot();
    }

    /** Whether a snapshot can still be written after a record of an accepted message. */
    boolean fits(Use use, long recordBytes) {
        return use.withSnapshots() + recordBytes <= limitBytes;
    }

    /**
     * Whether a snapshot pays before a record of an accepted message that does not fit. If it does not, the record is
     * appended all the same: it is short, and the room of both copies grows again as messages end.
     */
    boolean snapshotPaysForRecord(Use use) {
        long enough = Math.min(reserveBytes / FREED_RESERVE_DIVISOR, use.snapshot() / MAX_BYTES_WRITTEN_PER_BYTE_FREED);
        return hasRoomForSnapshot(use) && use.garbage() > 0 && use.garbage() >= enough;
    }

    private boolean hasRoomForSnapshot(Use use) {
        return use.withSnapshots() <= limitBytes;
    }
}
