package juniperusher.fleet;

import juniperusher.distribution.DamagedStateException;
import juniperusher.distribution.StateCodec;
import juniperusher.shard.ShardMap;
import juniperusher.shard.ShardMapCodec;
import juniperusher.shard.ShardMapException;

/**
 * Adapts {@link ShardMapCodec} to the distribution. Bytes that are damaged or do not match the map are refused whole.
 */
public final class ShardMapState implements StateCodec<ShardMap> {
    private final ShardMapCodec codec = new ShardMapCodec();

    @Override
    public byte[] encode(ShardMap map) {
        return codec.encode(map);
    }

    @Override
    public ShardMap decode(byte[] bytes) throws DamagedStateException {
        try {
            return codec.decode(bytes);
        } catch (ShardMapException e) {
            throw new DamagedStateException(e.getMessage());
        }
    }

    @Override
    public ShardMap apply(ShardMap map, byte[] delta) throws DamagedStateException {
        try {
            return codec.apply(map, delta);
        } catch (ShardMapException e) {
            throw new DamagedStateException(e.getMessage());
        }
    }
}
