package juniperusher.ownership;

/**
 * Times of a {@link Lease}, in seconds.
 *
 * @param ttlSeconds time for which the store keeps the lease after it has received a request for it
 * @param safetyMarginSeconds time by which the holder ends the lease before the store does; it covers the drift between
 *     both clocks during the ttl and the duration of an action that is begun at the last moment
 * @param renewIntervalSeconds time between the sending of two renewals
 * @param requestTimeoutSeconds time after which a request is considered lost and sent again
 * @param retryBackoffSeconds base of the backoff before a key that another process holds is claimed again; up to half
 *     of it is subtracted at random
 */
public record LeaseTiming(
        double ttlSeconds,
        double safetyMarginSeconds,
        double renewIntervalSeconds,
        double requestTimeoutSeconds,
        double retryBackoffSeconds) {
    /**
     * Defaults: the lease time of ten seconds bounds the takeover from a crashed owner and has room for three renewals.
     */
    public static final LeaseTiming DEFAULT = new LeaseTiming(10, 1.5, 2.5, 1, 1);

    public LeaseTiming {
        if (!(safetyMarginSeconds > 0
                && renewIntervalSeconds > 0
                && requestTimeoutSeconds > 0
                && retryBackoffSeconds > 0
                && renewIntervalSeconds + requestTimeoutSeconds + safetyMarginSeconds < ttlSeconds)) {
            throw new IllegalArgumentException(
                    "times must be above 0, and renewal interval, request timeout and margin together below" + " ttl");
        }
    }
}
