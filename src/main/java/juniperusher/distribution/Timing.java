package juniperusher.distribution;

/**
 * Intervals, timeouts and backoffs of publishers and subscribers, all in seconds.
 *
 * @param heartbeatIntervalSeconds interval of a publisher's heartbeats
 * @param silenceTimeoutSeconds time without a message after which a subscriber closes its connection
 * @param acknowledgementTimeoutSeconds time without progress in acknowledgements after which a publisher closes a
 *     connection
 * @param connectTimeoutSeconds timeout of an attempt to connect
 * @param initialBackoffSeconds backoff before jitter, doubled with each failure
 * @param maxBackoffSeconds maximum backoff of a relay
 * @param maxControlBackoffSeconds maximum backoff of a control process; shorter, because there are few of them and
 *     relays depend on them
 * @param maxSourceAgeSeconds age of a source's state above which a subscriber changes to another source
 * @param preferredSourceRetrySeconds minimum time after which a subscriber of another source tries the preferred source
 *     again, so that relays return to a control process that has recovered; a random delay of up to the same length is
 *     added
 * @param batchIntervalSeconds minimum time between two rounds of deltas, so that the changes of a burst share messages
 */
public record Timing(
        double heartbeatIntervalSeconds,
        double silenceTimeoutSeconds,
        double acknowledgementTimeoutSeconds,
        double connectTimeoutSeconds,
        double initialBackoffSeconds,
        double maxBackoffSeconds,
        double maxControlBackoffSeconds,
        double maxSourceAgeSeconds,
        double preferredSourceRetrySeconds,
        double batchIntervalSeconds) {
    /**
     * The defaults. A change has to be active on all relays within 13 s, also if a control process is killed: the
     * silence timeout, the backoffs and a second attempt to connect take less than 8 s.
     */
    public static final Timing DEFAULT = new Timing(1, 3, 10, 2, 0.5, 6, 1, 4, 600, 0.1);

    /** Checks that the times are consistent. */
    public Timing {
        if (!(heartbeatIntervalSeconds > 0
                && silenceTimeoutSeconds > 2 * heartbeatIntervalSeconds
                && acknowledgementTimeoutSeconds > silenceTimeoutSeconds)) {
            throw new IllegalArgumentException("silence timeout must exceed two heartbeat intervals,"
                    + " and the acknowledgement timeout must exceed the silence timeout");
        }
        if (!(initialBackoffSeconds > 0
                && maxBackoffSeconds >= initialBackoffSeconds
                && maxControlBackoffSeconds >= initialBackoffSeconds
                && connectTimeoutSeconds > 0
                && preferredSourceRetrySeconds > 0
                && batchIntervalSeconds >= 0)) {
            throw new IllegalArgumentException(
                    "backoffs and timeouts must be positive, and no maximum backoff less than the initial one");
        }
        if (!(maxSourceAgeSeconds > 3 * heartbeatIntervalSeconds)) {
            throw new IllegalArgumentException(
                    "maximum source age must exceed three heartbeat intervals: two may be missed in normal operation");
        }
    }
}
