/**
 * Exclusive ownership of work that one process does for the whole fleet. Owns the lease as a state machine
 * ({@link juniperusher.ownership.Lease}): whether this process may act as the owner of a resource now, under which
 * fencing token, and the next request to the store. All writes on behalf of the fleet are transactions made by
 * {@link juniperusher.ownership.Holding#fence}.
 *
 * <p>Must not depend on: sockets, threads, clocks, files, relays. Times are seconds of the process's monotonic clock,
 * passed in with each event; wall clocks are not used.
 */
package juniperusher.ownership;
