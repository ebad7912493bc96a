/**
 * Simulation of relays: models of destinations, clients and the network between relays, without I/O or wall-clock
 * time. {@link juniperusher.lab.VirtualEngine}, the entry point, runs the relay's production decision code against
 * these models in virtual time. Equal plans and seeds produce equal histories.
 *
 * <p>This package must not depend on sockets, files, threads or the relay's fronts. {@code lab.sockets} runs the same
 * plans on real sockets; {@code lab.report} writes the results.
 */
package juniperusher.lab;
