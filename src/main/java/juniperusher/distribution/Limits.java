package juniperusher.distribution;

/**
 * Bounds of a publisher's memory and work. Control processes are served beyond the bounds on subscribers and on whole
 * states at once, as relays wait for them; they are few.
 *
 * @param subscribers the most relays at once
 * @param windowBytes bytes that may be on their way to one subscriber when another message is sent
 * @param windowMessages messages that may be on their way to one subscriber
 * @param partBytes the most bytes of a state in one message
 * @param deltaBytes the most bytes of changes in one message, unless a single change has more
 * @param changeBytes the most bytes of one change
 * @param snapshotsAtOnce whole states under way at once
 * @param snapshotSeconds after which a whole state that is under way takes no place any more: its reader is slow
 * @param stateBytes the most bytes of a whole state
 * @param logChanges the most changes that are kept for who is behind
 * @param logBytes the most bytes of such changes
 * @param retryAfter the longest time, in seconds, that a subscriber is told to stay away
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

    /** For 4,300 relays on 21 control processes, some of which are down, and a state of some MB. */
    public static final Limits USUAL =
            new Limits(1_000, 64 * KB, 64, 8 * KB, 8 * KB, 64 * KB, 16, 20, 32 * MB, 16_384, 4 * MB, 30);

    /** Checks that the bounds fit each other and the frames. */
    public Limits {
        if (subscribers < 1 || windowBytes < 1 || windowMessages < 2 || snapshotsAtOnce < 1 || logChanges < 1) {
            throw new IllegalArgumentException("a bound that lets nothing pass");
        }
        int overhead = KB;
        if (partBytes < 1
                || deltaBytes < 1
                || changeBytes < 1
                || Math.max(partBytes, deltaBytes + changeBytes) > ControlMessageCodec.MAX_FRAME - overhead) {
            throw new IllegalArgumentException("a part or delta that does not fit a frame");
        }
        if (logBytes < changeBytes || stateBytes < 1 || !(retryAfter > 0) || !(snapshotSeconds > 0)) {
            throw new IllegalArgumentException("a log that cannot hold a change, or a bound that is not positive");
        }
    }
}
