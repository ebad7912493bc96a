package juniperusher.distribution;

/**
 * Limits on the memory and work of a publisher. Subscribers that are control processes are exempt from the limits on
 * subscribers and on concurrent snapshots: relays depend on them, and there are few of them.
 *
 * @param maxSubscribers number of subscribers at which further relays are rejected
 * @param windowBytes unacknowledged bytes at which nothing but heartbeats is sent to a subscriber
 * @param maxWindowMessages maximum number of unacknowledged messages of a subscriber
 * @param maxPartBytes maximum bytes of the encoded state in one message
 * @param maxDeltaBytes maximum bytes of changes in one message, exceeded only by a single larger change
 * @param maxChangeBytes maximum bytes of one change
 * @param maxConcurrentSnapshots maximum number of concurrent snapshots to relays
 * @param maxSnapshotSlotSeconds seconds after which a snapshot no longer counts as concurrent, so that slow subscribers
 *     do not block others
 * @param maxStateBytes maximum bytes of an encoded state
 * @param maxLogChanges maximum number of changes kept for subscribers that are behind
 * @param maxLogBytes maximum bytes of those changes
 * @param maxRetryAfterSeconds maximum retry-after delay of a rejected subscriber in seconds, before jitter
 */
public record Limits(
        int maxSubscribers,
        int windowBytes,
        int maxWindowMessages,
        int maxPartBytes,
        int maxDeltaBytes,
        int maxChangeBytes,
        int maxConcurrentSnapshots,
        double maxSnapshotSlotSeconds,
        int maxStateBytes,
        int maxLogChanges,
        int maxLogBytes,
        double maxRetryAfterSeconds) {
    private static final int KB = 1 << 10;
    private static final int MB = 1 << 20;

    /** Limits for 4,300 relays on 21 control processes, some of which are down, and a state of a few MB. */
    public static final Limits DEFAULT =
            new Limits(1_000, 64 * KB, 64, 8 * KB, 8 * KB, 64 * KB, 16, 20, 32 * MB, 16_384, 4 * MB, 30);

    /** Checks that the limits are consistent and that messages fit into a frame. */
    public Limits {
        if (maxSubscribers < 1
                || windowBytes < 1
                || maxWindowMessages < 2
                || maxConcurrentSnapshots < 1
                || maxLogChanges < 1) {
            throw new IllegalArgumentException(
                    "limits on counts and the window must be positive, and windowMessages at least 2");
        }
        int overhead = KB;
        if (maxPartBytes < 1
                || maxDeltaBytes < 1
                || maxChangeBytes < 1
                || Math.max(maxPartBytes, maxDeltaBytes + maxChangeBytes)
                        > ControlMessageCodec.MAX_FRAME_BYTES - overhead) {
            throw new IllegalArgumentException("snapshot part or delta does not fit into a frame");
        }
        if (maxLogBytes < maxChangeBytes
                || maxStateBytes < 1
                || !(maxRetryAfterSeconds > 0)
                || !(maxSnapshotSlotSeconds > 0)) {
            throw new IllegalArgumentException("log cannot hold the largest change, or a limit is not positive");
        }
    }
}
