package juniperusher.memory;

/** The bytes of a budget that one holder has reserved. Thread-safe. */
public final class MemoryHold {
    private final MemoryBudget budget;
    private final long blockBytes;
    private long bytes;
    private boolean closed;

    /** Creates a hold of nothing, which reserves {@code blockBytes} at a time. */
    public MemoryHold(MemoryBudget budget, long blockBytes) {
        this.budget = budget;
        this.blockBytes = blockBytes;
    }

    /** Makes sure that at least this number of bytes is reserved in all; false if too little is left, or if closed. */
    public synchronized boolean ensure(long neededBytes) {
        if (closed) {
            return false;
        }
        long missingBytes = neededBytes - bytes;
        if (missingBytes <= 0) {
            return true;
        }
        long reservedBytes = (missingBytes + blockBytes - 1) / blockBytes * blockBytes;
        if (!budget.tryReserve(reservedBytes)) {
            return false;
        }
        bytes += reservedBytes;
        return true;
    }

    /** Releases what is reserved. */
    public synchronized void release() {
        budget.release(bytes);
        bytes = 0;
    }

    /** Releases what is reserved; nothing is reserved any more. */
    public synchronized void close() {
        release();
        closed = true;
    }
}
