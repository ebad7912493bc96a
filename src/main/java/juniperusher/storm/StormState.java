package juniperusher.storm;

/** How things stand with a destination. */
public enum StormState {
    /** Nothing is asked of it that it does not take. */
    CALM,
    /** It is out, or more is owed and handed in again than it takes. */
    STORM,
    /** It has come back from an outage, cold. */
    RECOVERING
}
