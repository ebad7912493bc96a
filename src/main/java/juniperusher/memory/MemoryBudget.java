package juniperusher.memory;

import java.util.concurrent.atomic.AtomicLong;

/**
 * A number of bytes that many holders share. Bytes are reserved before the memory is allocated and released once it is
 * garbage, so that the sum stays within the limit whoever the holders are. Thread-safe.
 */
public final class MemoryBudget {
    private final long limitBytes;
    private final AtomicLong reservedBytes = new AtomicLong();
    private final AtomicLong refusals = new AtomicLong();

    /** Creates a budget of which nothing is reserved. */
    public MemoryBudget(long limitBytes) {
        this.limitBytes = limitBytes;
    }

    /** Reserves the bytes, or returns false and reserves nothing if they are more than what is left. */
    public boolean tryReserve(long bytes) {
        long reserved = reservedBytes.get();
        while (reserved + bytes <= limitBytes) {
            if (reservedBytes.compareAndSet(reserved, reserved + bytes)) {
                return true;
            }
            reserved = reservedBytes.get();
        }
        refusals.incrementAndGet();
        return false;
    }

    /** Reserves the bytes even beyond the limit, for memory that cannot be done without. */
    public void reserve(long bytes) {
        reservedBytes.addAndGet(bytes);
    }

    /** Releases bytes that were reserved. */
    public void release(long bytes) {
        reservedBytes.addAndGet(-bytes);
    }

    /** The bytes that are reserved now. */
    public long reservedBytes() {
        return reservedBytes.get();
    }

    /** The limit in bytes. */
    public long limitBytes() {
        return limitBytes;
    }

    /** How often {@link #tryReserve} has returned false. */
    public long refusalCount() {
        return refusals.get();
    }
}
