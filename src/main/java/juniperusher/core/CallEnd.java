package juniperusher.core;

import juniperusher.Protocol.Outcome;

/**
 * How a call, or the connection that carries it, can end, and the outcome of each for the decision module. An endpoint
 * starts to run a call when its last byte has arrived, so a call whose last byte was not written never ran.
 */
public enum CallEnd {
    /** The endpoint confirmed the delivery. */
    DELIVERED(Outcome.DELIVERED),
    /** The endpoint answered with an error. */
    FAILED(Outcome.ERROR),
    /** The answer is malformed, incomplete or too long. */
    SPOILT(Outcome.ERROR),
    /** The endpoint rejected the call before it looked at its content. */
    TURNED_AWAY(Outcome.FULL),
    /** The endpoint answered that this relay already uses all its slots. */
    NO_SLOT(Outcome.NOT_SENT),
    /** The endpoint answered that the message has no attempts left. */
    SPENT(Outcome.NOT_SENT),
    /** The endpoint answered that the message is already finished; no further attempt is needed. */
    OVER(Outcome.NOT_SENT),
    /**
     * Not sent: a retry-after delay, a draining endpoint, a shutdown or the deadline intervened before the first byte,
     * or the journal could not record the attempt.
     */
    HELD_BACK(Outcome.NOT_SENT),
    /** The connection was refused, was not established, or broke before the last byte was written. */
    NOT_CONNECTED(Outcome.NOT_CONNECTED),
    /** A broker returned or rejected the message because no queue accepts it. */
    UNROUTABLE(Outcome.NOT_CONNECTED),
    /** The connection broke or was closed after the last byte was written and before an answer arrived. */
    BROKEN(Outcome.RESET),
    /** No answer arrived within the timeout. */
    TIMED_OUT(Outcome.TIMED_OUT),
    /** The decision module cancelled the call, or an RPC of it failed within this relay. */
    CALLED_OFF(Outcome.CANCELLED);

    private final Outcome outcome;

    CallEnd(Outcome outcome) {
        this.outcome = outcome;
    }

    /** The outcome reported to the decision module. */
    public Outcome outcome() {
        return outcome;
    }

    /**
     * Returns {@code DELIVERED} if the answer's status line already confirmed the delivery of a single RPC, though the
     * rest of the answer is missing; otherwise this end.
     *
     * @param status HTTP status, 0 if no status line arrived
     * @param rpcs number of RPCs in the call
     */
    public CallEnd adjustedForStatusLine(int status, int rpcs) {
        return status == 200 && rpcs == 1 ? DELIVERED : this;
    }

    /**
     * Returns {@code FAILED} if this end claims that the call never ran, as it may have run if the answer does not
     * prove it; otherwise this end.
     */
    public CallEnd withoutProof() {
        return outcome.neverRan() ? FAILED : this;
    }

    /**
     * Returns {@code NOT_CONNECTED} if this end interrupted the call before its last byte was written, since the call
     * never ran then; otherwise this end.
     *
     * @param lastByteMayBeWritten whether the last byte of the call may have been written
     */
    public CallEnd adjustedForLastByte(boolean lastByteMayBeWritten) {
        boolean interrupted = this == BROKEN || this == TIMED_OUT || this == CALLED_OFF;
        return interrupted && !lastByteMayBeWritten ? NOT_CONNECTED : this;
    }
}
