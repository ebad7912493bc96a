package juniperusher.membership;

/**
 * Times of the watch, in seconds.
 *
 * @param silent      without even an empty line, due every 2 s, a watch is given up
 * @param silentWhole the same for the whole list, which an agent tells at once; each time that it does not,
 *                    it is given twice as long, up to {@code silent}
 * @param again       base of the first pause before a watch is opened anew; it doubles with each failure in a
 *                    row
 * @param most        the base is never longer, so that what discovery tells is not heard too late
 * @param memory      for which an endpoint that is gone is remembered; no call is out to it after that
 */
public record Timing(double silent, double silentWhole, double again, double most, double memory) {
    /** What fits the platform's agent. */
    public static final Timing USUAL = new Timing(4.5, 1, 0.5, 4, 30);

    public Timing {
        if (!(silent > 0 && silentWhole > 0 && again > 0 && most >= again && memory >= 0)) {
            throw new IllegalArgumentException("times of the watch must be above 0");
        }
    }
}
