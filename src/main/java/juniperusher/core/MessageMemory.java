package juniperusher.core;

import juniperusher.memory.MemoryBudget;

/**
 * The heap that accepted messages may use together. Their content counts until they have ended, the rest of them until
 * their end is acknowledged. Thread-safe.
 */
final class MessageMemory {
    private static final long MESSAGE_BYTES = 1024; // without content: its state here and in the decision module
    private static final long CONTENT_COPIES = 3; // as accepted, in a call and in a snapshot of the journal

    private final MemoryBudget budget;

    MessageMemory(MemoryBudget budget) {
        this.budget = budget;
    }

    private static long contentBytes(RpcRequest request) {
        return CONTENT_COPIES * request.body().length;
    }

    /** Reserves what the message needs; false if there is too little left to accept it. */
    boolean tryReserve(RpcRequest request) {
        return budget.tryReserve(MESSAGE_BYTES + contentBytes(request));
    }

    /** Counts a message that an earlier process has accepted, whether or not there is room. */
    void recovered(UnfinishedMessage message) {
        budget.reserve(MESSAGE_BYTES + (message.end() == null ? contentBytes(message.request()) : 0));
    }

    /** The message was reserved but not accepted. */
    void notAccepted(RpcRequest request) {
        budget.release(MESSAGE_BYTES + contentBytes(request));
    }

    /** The message has ended. */
    void ended(RpcRequest request) {
        budget.release(contentBytes(request));
    }

    /** The end of the message is acknowledged. */
    void acknowledged() {
        budget.release(MESSAGE_BYTES);
    }
}
