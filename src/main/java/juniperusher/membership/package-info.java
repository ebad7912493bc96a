/**
 * Endpoints of all destinations and their phases. Owns the entries of every source, the numbers of endpoints, the
 * watch on discovery (when it is opened, abandoned and reopened) and the snapshot that all readers share. The entry
 * point is {@link juniperusher.membership.Membership}: it receives events with their time and returns steps.
 *
 * <p>Must not depend on: sockets, threads, clocks, JSON, the configuration, the decision module's decisions, health.
 * An adapter parses the data of a source and carries out the steps; for discovery it is {@code http.Resolver}.
 */
package juniperusher.membership;
