package juniperusher.distribution;

import java.util.List;

/**
 * What the distribution has to know of a state: its bytes and its changes. States are immutable. Methods are called
 * on the thread that drives the publisher or the subscriber.
 *
 * @param <S> the state
 */
public interface StateCodec<S> {
    /** The whole state. */
    byte[] encode(S state);

    /** The state from its bytes, checked. */
    S decode(byte[] bytes) throws DamagedStateException;

    /** The state after one change; a delta that does not fit the state is damaged. */
    S apply(S state, byte[] delta) throws DamagedStateException;

    /** The state after several changes in their order, all or none; worth overriding where one pass is cheaper. */
    default S applyAll(S state, List<byte[]> deltas) throws DamagedStateException {
        S next = state;
        for (byte[] delta : deltas) {
            next = apply(next, delta);
        }
        return next;
    }
}
