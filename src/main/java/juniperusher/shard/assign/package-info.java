/**
 * Which relay is to own which ranges of the shard map. The door is {@link juniperusher.shard.assign.Assignment}: it is
 * given a map and the relays that are available, and gives the steps to the next map.
 *
 * <p>Must not know: sockets, threads, clocks, files, how availability is found out, when a change may be made.
 */
package juniperusher.shard.assign;
