/**
 * Handling of retry storms, which follow the recovery of a destination from an outage or a wave of resubmitted
 * messages. Owns the state of each destination (calm, storm, recovering), the rate that all relays together may send to
 * it and this relay's share of it, the bound on pending messages, the time at which refused clients should return, and
 * the notes between relays about these. The entry point is {@link juniperusher.storm.StormAdvisor}: it sees the events
 * of the decision module before each round and its actions after it, and advises the module by {@code
 * Protocol.DestinationAdvice}.
 *
 * <p>Must not depend on: sockets, threads, clocks, files, internals of the decision module. It makes no decision about
 * a single message.
 */
package juniperusher.storm;
