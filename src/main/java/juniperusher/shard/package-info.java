/**
 * The shard map, which assigns destinations to relays. The package contains the immutable map of one epoch
 * ({@link juniperusher.shard.ShardMap}), the steps that lead to the next epoch
 * ({@link juniperusher.shard.ShardMapStep}), and the binary forms of a whole map and of the difference between two maps
 * ({@link juniperusher.shard.ShardMapCodec}).
 *
 * <p>This package must not depend on sockets, threads, clocks or files, on the storage and distribution of maps, or on
 * the availability of relays.
 */
package juniperusher.shard;
