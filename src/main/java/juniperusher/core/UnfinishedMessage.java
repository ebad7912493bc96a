package juniperusher.core;

import juniperusher.clock.SteadyClock;

/**
 * An unfinished message: an accepted RPC that has not ended, or whose end is not acknowledged yet.
 *
 * @param number number of the message in this journal
 * @param className name of its class, whose index may differ in the settings of the next process
 * @param acceptedAtMicros time at which it was accepted in microseconds of {@link SteadyClock}, 0 if an earlier
 *     version recorded it without one
 * @param attempts number of attempts started
 * @param firstPossibleRun the first attempt that may have run, or null
 * @param inFlight the attempt without a known outcome, or null
 * @param end its end, or null while it has none
 */
public record UnfinishedMessage(
        int number,
        RpcRequest request,
        String className,
        long acceptedAtMicros,
        int attempts,
        Attempt firstPossibleRun,
        Attempt inFlight,
        RpcEnd end) {
    /**
     * Whether an attempt may have run. An attempt in flight counts only after a restart, see {@link #afterRestart}.
     */
    public boolean mayHaveRun() {
        return firstPossibleRun != null;
    }

    /**
     * Whether its key is remembered, so that a second submission is dropped. A returned message is excluded,
     * because its client may resubmit it under the same id.
     */
    boolean keyIsRemembered() {
        return request.acceptOnce() && end.kind() != RpcEnd.Kind.HANDED_BACK;
    }

    /** The state that a new process assumes: an attempt in flight may have run. */
    UnfinishedMessage afterRestart() {
        return new UnfinishedMessage(
                number,
                request,
                className,
                acceptedAtMicros,
                attempts,
                firstPossibleRun == null ? inFlight : firstPossibleRun,
                null,
                end);
    }

    /** A further attempt starts. An earlier attempt without a recorded outcome may have run. */
    UnfinishedMessage withAttempt(Attempt attempt) {
        return new UnfinishedMessage(
                number,
                request,
                className,
                acceptedAtMicros,
                attempts + 1,
                firstPossibleRun == null ? inFlight : firstPossibleRun,
                attempt,
                null);
    }

    /** The attempt in flight has ended. */
    UnfinishedMessage withOutcome(boolean neverRan) {
        return new UnfinishedMessage(
                number,
                request,
                className,
                acceptedAtMicros,
                attempts,
                firstPossibleRun == null && !neverRan ? inFlight : firstPossibleRun,
                null,
                null);
    }

    /** The RPC has ended, and its payload is not needed any more. */
    UnfinishedMessage withEnd(RpcEnd newEnd) {
        return new UnfinishedMessage(
                number, request.withoutBody(), className, acceptedAtMicros, attempts, firstPossibleRun, null, newEnd);
    }

    UnfinishedMessage withNumber(int newNumber) {
        return new UnfinishedMessage(
                newNumber, request, className, acceptedAtMicros, attempts, firstPossibleRun, inFlight, end);
    }

    /** Upper bound of the bytes that it takes in a snapshot. */
    long sizeBytes() {
        return JournalRecords.HEADER_BYTES
                + 64
                + 3L
                        * (request.id().length()
                                + request.front().length()
                                + request.returnAddress().length()
                                + className.length()
                                + request.idempotencyKey().length()
                                + request.orderKey().length()
                                + request.tenant().length())
                + (end == null ? request.body().length : 0);
    }
}
