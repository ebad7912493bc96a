/**
 * Distributes the shard map over TCP. A single-threaded event loop carries out the steps of the state machines in
 * {@code distribution}. Entry points: {@link juniperusher.fleet.ControlService} runs a control process, with
 * {@link juniperusher.fleet.ControlServer} as its network side; {@link juniperusher.fleet.FleetMembership} subscribes a
 * relay, with {@link juniperusher.fleet.ControlClient} as its network side.
 *
 * <p>The package must not depend on fronts, calls to endpoints, the decision module or the journal. All decisions about
 * maps are made in {@code shard} and {@code distribution}. A relay loads these classes only if {@code [fleet]} is on.
 */
package juniperusher.fleet;
