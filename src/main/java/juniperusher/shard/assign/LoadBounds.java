package juniperusher.shard.assign;

/**
 * The permitted load of a relay, relative to its fair share. The fair share of an available relay is a part of its
 * region's destinations, in proportion to its weight among the region's available relays. Immutable.
 *
 * @param minLoadRatio the lower bound, from 0 to 1; a relay with less load is assigned more destinations
 * @param maxLoadRatio the upper bound, at least 1; destinations are moved away from a relay with more load
 */
public record LoadBounds(double minLoadRatio, double maxLoadRatio) {
    /** Permits loads from 10 % below to 10 % above the fair share. */
    public static final LoadBounds DEFAULT = new LoadBounds(0.9, 1.1);

    /**
     * Checks the bounds.
     *
     * @throws IllegalArgumentException if no assignment could keep them
     */
    public LoadBounds {
        if (!(minLoadRatio >= 0 && minLoadRatio <= 1 && maxLoadRatio >= 1 && maxLoadRatio < Double.POSITIVE_INFINITY)) {
            throw new IllegalArgumentException(
                    "bounds on both sides of 1 were expected, got " + minLoadRatio + " and " + maxLoadRatio);
        }
    }

    long minLoad(double fairShare) {
        return (long) Math.floor(minLoadRatio * fairShare);
    }

    long maxLoad(double fairShare) {
        return (long) Math.ceil(maxLoadRatio * fairShare);
    }
}
