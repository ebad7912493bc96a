/**
 * The fleet's machines in virtual time: nodes, a store and the ways between them, each of which can be cut,
 * slow, or
 * lose what it carries; a checker of what must hold; and timelines drawn as text. Deterministic: one seed,
 * one history.
 *
 * <p>Must not know: sockets, threads, clocks, files.
 */
package juniperusher.lab.fleet;
