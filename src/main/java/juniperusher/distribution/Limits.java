package juniperusher.distribution;

/**
 * Limits on the memory and work of a publisher. Subscribers that are control processes are exempt from the limits on
 * subscribers and on concurrent snapshots: relays depend on them, and there are few of them.
 *
 * @param subscribers number of subscribers at which further relays are rejected
 * @param windowBytes unacknowledged bytes at which nothing but heartbeats is sent to a subscriber
 * @param windowMessages maximum number of unacknowledged messages of a subscriber
 * @param partBytes maximum bytes of the encoded state in one message
 * @param deltaBytes maximum bytes of changes in one message, exceeded only by a single larger change
 * @param changeBytes maximum bytes of one change
 * @param snapshotsAtOnce maximum number of concurrent snapshots to relays
 * @param snapshotSeconds seconds after which a snapshot no longer counts as concurrent, so that slow subscribers do not
 *     block others
 * @param stateBytes maximum bytes of an encoded state
 * @param logChanges maximum number of changes kept for subscribers that are behind
 * @param logBytes maximum bytes of those changes
 * @param retryAfter maximum retry-after delay of a rejected subscriber in seconds, before jitter
 */
public record Limits(
        int subscribers,
        int windowBytes,
        int windowMessages,
        int partBytes,
        int deltaBytes,
        int changeBytes,
        int snapshotsAtOnce,
        double snapshotSeconds,
        int stateBytes,
        int logChanges,
        int logBytes,
        double retryAfter) {
    private static final int KB = 1 << 10;
    private static final int MB = 1 << 20;

    /** Limits for 4,300 relays on 21 control processes, some of which are down, and a state of a few MB. */
    public static final Limits USUAL =
            new Limits(1_000, 64 * KB, 64, 8 * KB, 8 * KB, 64 * KB, 16, 20, 32 * MB, 16_384, 4 * MB, 30);

    /** Checks that the limits are consistent and that messages fit into a frame. */
    public Limits {
        if (subscribers < 1 || windowBytes < 1 || windowMessages < 2 || snapshotsAtOnce < 1 || logChanges < 1) {
            throw new IllegalArgumentException(
                    "limits on counts and the window must be positive, and windowMessages at least 2");
        }
        int overhead = KB;
        if (partBytes < 1
                || deltaBytes < 1
                || changeBytes < 1
                || Math.max(partBytes, deltaBytes + changeBytes) > ControlMessageCodec.MAX_FRAME - overhead) {
            throw new IllegalArgumentException("snapshot part or delta does not fit into a frame");
        }
        if (logBytes < changeBytes || stateBytes < 1 || !(retryAfter > 0) || !(snapshotSeconds > 0)) {
            throw new IllegalArgumentException("log cannot hold the largest change, or a limit is not positive");
        }
    }
}
