package juniperusher.shard.assign;

/**
 * Between which loads a relay is left as it is, as parts of its fair share: its weight's part of its region's
 * destinations, over the region's available relays.
 *
 * @param lowest below it a relay is given ranges, from 0 to 1
 * @param highest above it a relay is relieved of ranges, from 1 on
 */
public record LoadBounds(double lowest, double highest) {
    /** A tenth below and above. */
    public static final LoadBounds USUAL = new LoadBounds(0.9, 1.1);

    /** Refuses bounds that no assignment could keep. */
    public LoadBounds {
        if (!(lowest >= 0 && lowest <= 1 && highest >= 1 && highest < Double.POSITIVE_INFINITY)) {
            throw new IllegalArgumentException(
                    "bounds on both sides of 1 were expected, got " + lowest + " and " + highest);
        }
    }

    long lowest(double fairShare) {
        return (long) Math.floor(lowest * fairShare);
    }

    long highest(double fairShare) {
        return (long) Math.ceil(highest * fairShare);
    }
}
