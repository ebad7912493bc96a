package juniperusher.status;

import java.util.List;

/** Something that the adapter is to do; steps are carried out in their order. */
public sealed interface Step<R> {
    /**
     * Send these reports in one post. With {@code newConnection} no idle connection may carry it, as an
     * earlier post was not answered on one.
     */
    record Post<R>(int number, List<R> reports, boolean newConnection) implements Step<R> {}

    /** Give the post up and close its connection. */
    record Abandon<R>(int number) implements Step<R> {}

    /** The report is acknowledged; told once for each report. */
    record Acknowledged<R>(R report) implements Step<R> {}
}
