package juniperusher.membership;

/**
 * Timeouts and backoffs of the watch on discovery, in seconds. The platform assumes that a relay knows a change
 * {@link #NOTIFICATION_LIMIT_SECONDS} after discovery has it and is reachable, even if calls to discovery fail.
 * Therefore no backoff and no silence timeout may exceed that limit, and neither may the sum of one of each. A silent
 * watch may have missed changes since its last byte, so the time from that byte to the third attempt has to stay below
 * the limit as well: one silence timeout and three first-byte timeouts.
 *
 * @param silenceTimeoutSeconds time without data after which a watch is considered broken; discovery sends at least an
 *     empty line every 2 s
 * @param firstByteTimeoutSeconds the same until the first byte of an answer, whose header an agent sends immediately;
 *     it is doubled each time that no byte arrives, up to the silence timeout
 * @param firstBackoffSeconds base of the first backoff before a refused or lost watch is reopened; it doubles with each
 *     consecutive failure
 * @param maxBackoffSeconds upper bound of the backoff after a refusal, including the retry-after delay, or after
 *     unreadable data
 * @param maxBackoffAfterEndSeconds upper bound of the backoff after a watch has ended; it is short so that a recovery
 *     of discovery is noticed soon
 * @param goneRetentionSeconds time for which an endpoint that is gone is kept; no call to it is in flight after that
 */
public record WatchTiming(
        double silenceTimeoutSeconds,
        double firstByteTimeoutSeconds,
        double firstBackoffSeconds,
        double maxBackoffSeconds,
        double maxBackoffAfterEndSeconds,
        double goneRetentionSeconds) {
    /** Seconds after which the platform assumes that a relay knows a change of the list. */
    public static final double NOTIFICATION_LIMIT_SECONDS = 6;
    /** Defaults for the platform's discovery agent. */
    public static final WatchTiming DEFAULT = new WatchTiming(2.9, 0.9, 0.5, 2.4, 1, 30);

    public WatchTiming {
        if (!(silenceTimeoutSeconds > 0
                && firstByteTimeoutSeconds > 0
                && firstBackoffSeconds > 0
                && maxBackoffSeconds >= firstBackoffSeconds
                && maxBackoffAfterEndSeconds >= firstBackoffSeconds
                && goneRetentionSeconds >= 0)) {
            throw new IllegalArgumentException(
                    "times of the watch must be above 0, and each backoff bound at least the first backoff");
        }
    }
}
