/**
 * What is shown of an experiment: a table, {@code result.json}, one self-contained {@code report.html} with
 * plots, and
 * two results side by side. The door is {@link juniperusher.lab.report.Results}.
 *
 * <p>Must not know: sockets, relays, how runs are played.
 */
package juniperusher.lab.report;
