/**
 * The shard map: which relay owns which destinations. Owns the immutable map with its epoch
 * ({@link juniperusher.shard.ShardMap}), the steps that make the next epoch, and the binary forms of a whole map and of
 * the difference between two ({@link juniperusher.shard.ShardMapCodec}).
 *
 * <p>Must not know: sockets, threads, clocks, files, how maps are stored or distributed, or which relay is alive.
 */
package juniperusher.shard;
