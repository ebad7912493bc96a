/**
 * Key-value store that the processes of an installation share, with the semantics of etcd v3: increasing revisions,
 * conditional transactions, leases that expire, and changes that can be read from a revision on. The entry points are
 * {@link juniperusher.store.Request} and {@link juniperusher.store.Reply}; {@link juniperusher.store.StoreState} is a
 * complete store in memory, for simulations in virtual time and for test doubles.
 *
 * <p>Must not depend on: sockets, threads, clocks, files, relays. Times are seconds passed in by the caller.
 */
package juniperusher.store;
