/**
 * The distribution of the shard map on sockets: one event loop on one thread carries out the steps of the
 * state machines in {@code distribution}. The doors are {@link juniperusher.fleet.ControlServer}, a control
 * process, and {@link juniperusher.fleet.ControlClient}, the subscription of a relay or of a control process.
 *
 * <p>Must not know: fronts, calls to endpoints, the decision module, the journal. It decides nothing about maps;
 * that is the work of {@code shard} and {@code distribution}. Nothing here is loaded unless {@code [fleet]} is on.
 */
package juniperusher.fleet;
