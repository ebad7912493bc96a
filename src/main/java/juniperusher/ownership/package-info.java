/**
 * One owner at a time for work on behalf of the fleet. Owns the lease as a state machine
 * ({@link juniperusher.ownership.Lease}): whether this process may act as the owner of a thing now, under
 * which
 * fencing token, and what is to be asked of the store next. Whatever is done on behalf of the fleet is a
 * transaction made by {@link juniperusher.ownership.Holding#fence}.
 *
 * <p>Must not know: sockets, threads, clocks, files, relays. Times are seconds of the process's monotonic
 * clock, told with each event; nobody judges by a wall clock.
 */
package juniperusher.ownership;
