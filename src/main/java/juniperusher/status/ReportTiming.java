package juniperusher.status;

/**
 * Bounds of a {@link ReportQueue}, times in milliseconds.
 *
 * @param reportsPerPost reports that one post carries at most
 * @param posts          posts that may be out at once
 * @param hedgeAfter     time without an answer after which the next post may go on another connection
 * @param slowestHedge   the pause between repeats grows up to this while nothing is answered
 * @param patience       time for which a post is left out before another may take its place
 * @param retryPause     pause after a post that failed, from the second one in a row on
 */
public record ReportTiming(
        int reportsPerPost, int posts, long hedgeAfter, long slowestHedge, long patience, long retryPause) {
    /**
     * What serves a platform that answers at once and wants each report within 300 ms. An answer takes up to
     * 80 ms on a part of a core, and three silent connections cost 320 ms; 100 lines stay well below the limit
     * of a body.
     */
    public static final ReportTiming USUAL = new ReportTiming(100, 8, 80, 200, 640, 50);
}
