package juniperusher.distribution;

/**
 * Names one published state. The term is the fencing token under which its publisher led, the revision counts
 * changes. Ordered by term first. A leader gives out each revision of its term once and goes on from the revision
 * that it found, so a version names one state only, and with it all changes that led there.
 */
public record Version(long term, long revision) implements Comparable<Version> {
    /** The version of who has no state yet: older than any that is published. */
    public static final Version NONE = new Version(0, 0);

    /** Checks that neither number is negative. */
    public Version {
        if (term < 0 || revision < 0) {
            throw new IllegalArgumentException("a version needs numbers from 0, not " + term + " and " + revision);
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
