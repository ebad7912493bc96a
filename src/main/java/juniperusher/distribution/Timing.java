package juniperusher.distribution;

/**
 * The distribution's times, in seconds.
 *
 * @param heartbeat between two heartbeats of a publisher to each subscriber
 * @param silence without a message after which a subscriber takes its connection for broken
 * @param acknowledgePatience without progress in acknowledgements after which a publisher closes a connection
 * @param connectPatience after which an attempt to connect is given up
 * @param firstPause the longest pause before the first new attempt; doubled with each failure
 * @param longestPause the longest pause of a relay before any attempt
 * @param longestControlPause the same of a control process, of which there are few and for which relays wait
 * @param tooStale the age of a publisher beyond which its subscriber looks for another one
 * @param returnAfter after which a subscriber of another source than the first tries that again, doubled at most, so
 *     that who came back gets its share
 * @param batch the shortest time between two deltas to one subscriber, so that changes of a burst share frames
 */
public record Timing(
        double heartbeat,
        double silence,
        double acknowledgePatience,
        double connectPatience,
        double firstPause,
        double longestPause,
        double longestControlPause,
        double tooStale,
        double returnAfter,
        double batch) {
    /** Leaves 13 s room for a killed control process: silence, pauses and a second attempt take under 8 s. */
    public static final Timing USUAL = new Timing(1, 3, 10, 2, 0.5, 6, 1, 4, 600, 0.1);

    /** Checks that the times fit each other. */
    public Timing {
        if (!(heartbeat > 0 && silence > 2 * heartbeat && acknowledgePatience > silence)) {
            throw new IllegalArgumentException("silence has to be longer than two heartbeats,"
                    + " and the patience with acknowledgements longer still");
        }
        if (!(firstPause > 0
                && longestPause >= firstPause
                && longestControlPause >= firstPause
                && connectPatience > 0
                && returnAfter > 0
                && batch >= 0)) {
            throw new IllegalArgumentException(
                    "pauses and patience have to be positive, the longest pauses the longest");
        }
        if (!(tooStale > 3 * heartbeat)) {
            throw new IllegalArgumentException("a publisher's age may miss two heartbeats when all is well");
        }
    }
}
