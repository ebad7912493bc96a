package juniperusher.distribution;

import java.util.List;

/**
 * Encodes and decodes a state and applies changes to it. States are immutable. Methods are called on the thread that
 * drives the publisher or the subscriber.
 *
 * @param <S> the state
 */
public interface StateCodec<S> {
    /** Encodes a state. */
    byte[] encode(S state);

    /**
     * Decodes and checks a state.
     *
     * @throws DamagedStateException if the bytes are not a valid state
     */
    S decode(byte[] bytes) throws DamagedStateException;

    /**
     * Returns the state after a change.
     *
     * @throws DamagedStateException if the delta is invalid or does not apply to the state
     */
    S apply(S state, byte[] delta) throws DamagedStateException;

    /**
     * Returns the state after several changes, applied in order. Implementations may override it to apply all changes
     * in one pass.
     *
     * @throws DamagedStateException if a delta is invalid or does not apply; no change is applied then
     */
    default S applyAll(S state, List<byte[]> deltas) throws DamagedStateException {
        S next = state;
        for (byte[] delta : deltas) {
            next = apply(next, delta);
        }
        return next;
    }
}
