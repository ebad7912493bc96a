package juniperusher.core;

import juniperusher.Protocol.Outcome;

/**
 * Every way in which a call or its connection can end. The one place that maps these to the module's outcome:
 * a call begins to run once its last byte has arrived, so what ended before the last byte was written never
 * ran.
 */
public enum CallEnd {
    /** The endpoint has delivered it. */
    DELIVERED(Outcome.DELIVERED),
    /** The endpoint answered with an error. */
    FAILED(Outcome.ERROR),
    /** The answer cannot be read, does not end or is longer than any answer may be. */
    SPOILT(Outcome.ERROR),
    /** The endpoint turned it away unseen. */
    TURNED_AWAY(Outcome.FULL),
    /** The endpoint says that all slots of this relay were taken. */
    NO_SLOT(Outcome.NOT_SENT),
    /** The endpoint says that the message has had all its attempts. */
    SPENT(Outcome.NOT_SENT),
    /** The endpoint says that the message is over: nothing more is owed. */
    OVER(Outcome.NOT_SENT),
    /** Held back before its first byte: a wait, a drain, an end or the deadline had come meanwhile. */
    HELD_BACK(Outcome.NOT_SENT),
    /** The connection was refused, never came up or broke before the last byte was written. */
    NOT_CONNECTED(Outcome.NOT_CONNECTED),
    /** A broker returned the order, or refused it whole: no queue has it, as if nobody were there. */
    UNROUTABLE(Outcome.NOT_CONNECTED),
    /** The connection broke or ended after the last byte was written and before an answer. */
    BROKEN(Outcome.RESET),
    /** This relay stopped waiting for the answer. */
    TIMED_OUT(Outcome.TIMED_OUT),
    /** The module called it off. */
    CALLED_OFF(Outcome.CANCELLED);

    private final Outcome outcome;

    CallEnd(Outcome outcome) {
        this.outcome = outcome;
    }

    /** What the module is told. */
    public Outcome outcome() {
        return outcome;
    }

    /** The same end, given the status in the answer's first line, if any came, and the RPCs of the call. */
    public CallEnd afterFirstLine(int status, int rpcs) {
        return status == 200 && rpcs == 1 ? DELIVERED : this; // that much was said before the rest was lost
    }

    /** The same end of a connection, given whether the call's last byte may have been written. */
    public CallEnd given(boolean lastByteMayBeWritten) {
        boolean cut = this == BROKEN || this == TIMED_OUT || this == CALLED_OFF;
        return cut && !lastByteMayBeWritten ? NOT_CONNECTED : this;
    }
}
