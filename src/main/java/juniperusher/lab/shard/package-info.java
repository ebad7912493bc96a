/**
 * Figures of the shard map and its assignment at the size of the fleet to come, measured on this machine and printed as
 * tables: {@link juniperusher.lab.shard.ShardFigures}.
 *
 * <p>Must not know: relays, sockets, files.
 */
package juniperusher.lab.shard;
