/**
 * Which endpoints there are and what is true of each just now. Owns the word of every source of endpoints,
 * the
 * numbers that endpoints go by, the watch on discovery (when it is opened, given up and opened again) and the
 * snapshot that all readers share. The door is {@link juniperusher.membership.Membership}: it is given events
 * with their time and gives steps to carry out.
 *
 * <p>Must not know: sockets, threads, clocks, JSON, the configuration, the module's decisions, health.
 * Reading
 * what a source sends and carrying out steps is the part of the adapter, {@code http.Resolver} for discovery.
 */
package juniperusher.membership;
