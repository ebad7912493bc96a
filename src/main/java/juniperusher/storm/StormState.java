package juniperusher.storm;

/** Retry-storm state of a destination. */
public enum StormState {
    /** The destination accepts all calls; its rate is not limited. */
    CALM,
    /** The destination is in an outage, or pending or resubmitted messages exceed its rate. */
    STORM,
    /** The destination has recovered from an outage and is in slow start. */
    RECOVERING
}
