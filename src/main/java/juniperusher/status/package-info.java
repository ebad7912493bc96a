/**
 * When which status report goes to the platform. Owns the reports that are not yet acknowledged and the posts
 * that carry them: what goes now, what goes a second time on another connection (a hedged request) and which
 * post is given up for it. The door is {@link juniperusher.status.ReportQueue}: it is told events with their
 * time and gives steps to carry out.
 *
 * <p>Must not know: sockets, threads, clocks, JSON, what a report says. Carrying out steps is the part of the
 * adapter, {@code http.StatusReporter}.
 */
package juniperusher.status;
