/**
 * The laboratory's engine on sockets: real relay processes among emulated endpoints, discovery, notes and
 * clients, on
 * loopback, bounded in time; and the load tool and the benchmark that share its parts. The doors are
 * {@link juniperusher.lab.sockets.SocketEngine}, {@link juniperusher.lab.sockets.Load} and
 * {@link juniperusher.lab.sockets.Bench}.
 *
 * <p>Must not know: how a relay decides or works inside. It ends only what it started.
 */
package juniperusher.lab.sockets;
