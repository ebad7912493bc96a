package juniperusher.core;

import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.IntSupplier;

/**
 * The limits on messages that this process may hold: their number, their memory, and the events that wait for the
 * decision thread. A message that is admitted counts until it is released. Safe for threads.
 */
final class AdmissionLimits {
    // Events that wait for the decision thread, for each message that may be pending.
    private static final int MAX_QUEUED_EVENTS_PER_MESSAGE = 4;
    private static final int MIN_QUEUED_EVENTS_LIMIT = 1_024; // however few messages may be pending

    private final IntSupplier maxPending;
    private final IntSupplier queuedEvents;
    private final MessageMemory memory;
    private final AtomicInteger admitted = new AtomicInteger();

    /** Why a message is not admitted; the names in lower case are label values of {@code refused_total}. */
    enum Reason {
        BUSY,
        HELD,
        MEMORY
    }

    /**
     * Creates limits.
     *
     * @param maxPending the number of messages that may be pending, by the present settings
     * @param queuedEvents the number of events that wait for the decision thread now
     */
    AdmissionLimits(IntSupplier maxPending, IntSupplier queuedEvents, MessageMemory memory) {
        this.maxPending = maxPending;
        this.queuedEvents = queuedEvents;
        this.memory = memory;
    }

    /** Admits the message and returns null, or says why there is no room for it. */
    Reason admit(RpcRequest request) {
        int limit = maxPending.getAsInt();
        if (queuedEvents.getAsInt() > Math.max(MIN_QUEUED_EVENTS_LIMIT, MAX_QUEUED_EVENTS_PER_MESSAGE * limit)) {
            return Reason.BUSY;
        }
        if (admitted.incrementAndGet() > limit) {
            admitted.decrementAndGet();
            return Reason.HELD;
        }
        if (!memory.tryReserve(request)) {
            admitted.decrementAndGet();
            return Reason.MEMORY;
        }
        return null;
    }

    /** The message was admitted but not accepted after all. */
    void notAccepted(RpcRequest request) {
        admitted.decrementAndGet();
        memory.notAccepted(request);
    }

    /** A message that an earlier process has accepted counts, whether or not there is room. */
    void recovered(UnfinishedMessage message) {
        if (message.end() == null) {
            admitted.incrementAndGet();
        }
        memory.recovered(message);
    }

    /** The message has ended. */
    void ended(RpcRequest request) {
        admitted.decrementAndGet();
        memory.ended(request);
    }

    /** The end of the message is acknowledged. */
    void acknowledged() {
        memory.acknowledged();
    }
}
