/**
 * What processes of an installation share, with the semantics of etcd v3: revisions that only grow,
 * transactions that compare, leases that end by themselves, changes read from a revision on. The door is
 * {@link juniperusher.store.Request}, what a client asks, and {@link juniperusher.store.Reply}, what it is
 * told;
 * {@link juniperusher.store.StoreState} is a store's whole inside, for virtual time and for stand-ins.
 *
 * <p>Must not know: sockets, threads, clocks, files, relays. Times are seconds that its caller tells.
 */
package juniperusher.store;
