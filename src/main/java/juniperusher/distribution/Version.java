package juniperusher.distribution;

/**
 * Identifies one published state. Versions are ordered by term, then by revision. A leader uses each revision of its
 * term once and continues from the revision that it took over, so a version identifies a single state and the sequence
 * of changes that led to it.
 *
 * @param term the fencing token under which the publisher of the state led
 * @param revision number of changes; continues across terms
 */
public record Version(long term, long revision) implements Comparable<Version> {
    /** The version of a process without a state; older than any published version. */
    public static final Version NONE = new Version(0, 0);

    /** Checks that neither number is negative. */
    public Version {
        if (term < 0 || revision < 0) {
            throw new IllegalArgumentException("term and revision must not be negative: " + term + ", " + revision);
        }
    }

    @Override
    public int compareTo(Version other) {
        return term != other.term ? Long.compare(term, other.term) : Long.compare(revision, other.revision);
    }

    /** Whether this one is newer than the other. */
    public boolean isAfter(Version other) {
        return compareTo(other) > 0;
    }

    @Override
    public String toString() {
        return term + "." + revision;
    }
}
