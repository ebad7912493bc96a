/**
 * The laboratory: models of destinations, clients and the notes' network, free of I/O and of the machine's
 * clock,
 * and experiments that run the relay's own decisions among them in virtual time. The same seed gives the same
 * history. The door is {@link juniperusher.lab.VirtualEngine}.
 *
 * <p>Must not know: sockets, files, threads, the relay's fronts. {@code lab.sockets} plays the same plans on
 * sockets,
 * {@code lab.report} shows what came of them.
 */
package juniperusher.lab;
