package juniperusher.distribution;

import java.util.Arrays;

/**
 * One step from a state to the next. An empty delta leaves the state as it is: a new leader opens its term with it.
 *
 * @param version the state's version after it
 * @param delta what {@link StateCodec#apply} takes; not to be changed by anybody
 */
public record Change(Version version, byte[] delta) {
    @Override
    public boolean equals(Object other) {
        return other instanceof Change change && version.equals(change.version) && Arrays.equals(delta, change.delta);
    }

    @Override
    public int hashCode() {
        return 31 * version.hashCode() + Arrays.hashCode(delta);
    }

    @Override
    public String toString() {
        return version + "(" + delta.length + " B)";
    }
}
