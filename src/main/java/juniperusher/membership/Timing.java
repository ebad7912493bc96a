package juniperusher.membership;

/**
 * Times of the watch, in seconds.
 *
 * @param silent      without even an empty line, due every 2 s, a watch is given up
 * @param silentWhole the same for the whole list, which an agent tells at once; each time that it does not,
 *                    it is given twice as long, up to {@code silent}
 * @param again       before a watch is opened anew
 * @param memory      for which an endpoint that is gone is remembered; no call is out to it after that
 */
public record Timing(double silent, double silentWhole, double again, double memory) {
    /** What fits the platform's agent. */
    public static final Timing USUAL = new Timing(4.5, 1, 0.25, 30);

    public Timing {
        if (!(silent > 0 && silentWhole > 0 && again > 0 && memory >= 0)) {
            throw new IllegalArgumentException("times of the watch must be above 0");
        }
    }
}
