package juniperusher.status;

/**
 * Limits of a {@link ReportQueue}; times are milliseconds.
 *
 * @param maxReportsPerPost maximum number of reports in a post
 * @param maxPostsInFlight maximum number of posts in flight
 * @param hedgeAfterMillis time without an answer after which the next post may be sent on another connection
 * @param maxRepeatIntervalMillis upper bound of the interval between repeats, which grows while no post is answered
 * @param postTimeoutMillis time after which the oldest post may be abandoned for a new one
 * @param retryBackoffMillis backoff after a failed post, from the second consecutive failure on
 */
public record ReportTiming(
        int maxReportsPerPost,
        int maxPostsInFlight,
        long hedgeAfterMillis,
        long maxRepeatIntervalMillis,
        long postTimeoutMillis,
        long retryBackoffMillis) {
    /**
     * Defaults for a platform that answers immediately and expects each report within 300 ms. An answer takes up to
     * 80 ms if the platform has a part of a core; three unresponsive connections take 320 ms. A body of 100 lines stays
     * well below the platform's limit.
     */
    public static final ReportTiming DEFAULT = new ReportTiming(100, 8, 80, 200, 640, 50);
}
