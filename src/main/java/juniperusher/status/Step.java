package juniperusher.status;

import java.util.List;

/**
 * Instruction of a {@link ReportQueue} to its adapter, which carries out steps in their order.
 *
 * @param <R> type of a report
 */
public sealed interface Step<R> {
    /**
     * Send the reports in one post.
     *
     * @param number        number of the post, to be passed back with its events
     * @param reports       reports in the order in which to send them
     * @param newConnection whether to open a new connection, because an earlier post is unanswered and may have used an
     *                      idle one that is broken
     */
    record Post<R>(int number, List<R> reports, boolean newConnection) implements Step<R> {}

    /** Abandon the post and close its connection. */
    record Abandon<R>(int number) implements Step<R> {}

    /** The report is acknowledged; issued once for each report. */
    record Acknowledged<R>(R report) implements Step<R> {}
}
