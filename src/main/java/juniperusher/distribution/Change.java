package juniperusher.distribution;

import java.util.Arrays;

/**
 * A change from one state to the next. An empty delta leaves the state unchanged: a new leader begins its term with
 * such a change.
 *
 * @param version version of the state after the change
 * @param delta the change as encoded for {@link StateCodec#apply}; must not be modified
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
