/**
 * Schedule of status reports to the platform. Owns the reports that are not yet acknowledged and the posts that carry
 * them: which reports are sent now, which again on another connection (hedged requests), and which post is abandoned.
 * The entry point is {@link juniperusher.status.ReportQueue}: it receives events with their time and returns steps.
 *
 * <p>Must not depend on: sockets, threads, clocks, JSON, the content of reports. The adapter
 * {@code http.StatusReporter} carries out the steps.
 */
package juniperusher.status;
