package juniperusher.storm;

/**
 * Operator settings of the handling of retry storms. Immutable. The keys in messages of exceptions are those of the
 * operator file.
 *
 * @param outageAfterSeconds seconds of failures without a success after which a destination is considered in an outage
 * @param resubmittedShare fraction of resubmissions among the arrivals above which a storm begins
 * @param resubmittedShareCalm fraction of resubmissions at or below which a storm can end
 * @param pendingSeconds pending messages, in seconds of this relay's share of the destination's rate, above which a
 *     storm begins
 * @param pendingSecondsCalm the same, at or below which a storm can end
 * @param quietSeconds seconds for which both values have to stay low before a storm ends
 * @param pendingShare fraction of the relay's maximum of pending messages that one destination in a storm may use while
 *     the relay is loaded
 * @param rateMargin fraction of the accepted rate of a destination that is sent to it during a storm
 * @param noteIntervalSeconds seconds between two peer notes during a storm
 */
public record StormSettings(
        double outageAfterSeconds,
        double resubmittedShare,
        double resubmittedShareCalm,
        double pendingSeconds,
        double pendingSecondsCalm,
        double quietSeconds,
        double pendingShare,
        double rateMargin,
        double noteIntervalSeconds) {
    /** Default settings. */
    public static final StormSettings DEFAULT = new StormSettings(1.5, 0.3, 0.1, 3, 0.5, 2, 0.4, 1, 0.25);

    public StormSettings {
        positive("outage_after", outageAfterSeconds);
        share("again_share", resubmittedShare);
        share("again_calm", resubmittedShareCalm);
        positive("owed_seconds", pendingSeconds);
        positive("owed_calm", pendingSecondsCalm);
        positive("quiet", quietSeconds);
        share("held_share", pendingShare);
        share("margin", rateMargin);
        positive("note_every", noteIntervalSeconds);
        if (resubmittedShareCalm >= resubmittedShare || pendingSecondsCalm >= pendingSeconds) {
            throw new IllegalArgumentException("again_calm must be below again_share, and owed_calm below "
                    + "owed_seconds; otherwise a storm would begin and end repeatedly");
        }
    }

    private static void positive(String key, double value) {
        if (!(value > 0 && value < 3600)) {
            throw new IllegalArgumentException(key + " must be above 0 s and below 3600 s, not " + value);
        }
    }

    private static void share(String key, double value) {
        if (!(value > 0 && value <= 1)) {
            throw new IllegalArgumentException(key + " must be above 0 and at most 1, not " + value);
        }
    }
}
