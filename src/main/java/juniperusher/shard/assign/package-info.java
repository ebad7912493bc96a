/**
 * Decides which relay owns which ranges of the shard map. The entry point is {@link
 * juniperusher.shard.assign.AssignmentPlanner}: from a map and the set of available relays it computes the steps to the
 * next map.
 *
 * <p>This package must not depend on sockets, threads, clocks or files, on how availability is detected, or on when a
 * change of the map is allowed.
 */
package juniperusher.shard.assign;
