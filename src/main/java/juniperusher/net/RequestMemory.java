package juniperusher.net;

import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.Set;
import java.util.concurrent.atomic.AtomicLong;
import juniperusher.memory.MemoryBudget;

/**
 * The heap that the requests of all server connections may use together. A request reserves what it needs before it is
 * allocated. If nothing is left, the oldest incomplete requests are evicted: a sound client sends a request in one go,
 * so the oldest ones are those of clients that have stopped or are slow. A complete request is never evicted.
 * Thread-safe.
 */
public final class RequestMemory {
    private static final long BLOCK_BYTES = 4 * 1024; // reserved at a time, enough for most requests

    private final MemoryBudget budget;
    private final Set<Reservation> incomplete = new LinkedHashSet<>(); // the oldest first
    private final AtomicLong evictions = new AtomicLong();

    /** The connection of a request. */
    interface Owner {
        /** The request has to be refused and its memory released, now or as soon as the connection is not read. */
        void evict();
    }

    /** Creates an owner of this budget. */
    RequestMemory(MemoryBudget budget) {
        this.budget = budget;
    }

    /** The memory of the requests on one connection, one after the other. */
    final class Reservation {
        private final Owner owner;
        private long bytes; // guarded by RequestMemory.this.incomplete
        private boolean evicted; // guarded by RequestMemory.this.incomplete
        private boolean closed; // guarded by RequestMemory.this.incomplete

        private Reservation(Owner owner) {
            this.owner = owner;
        }

        /**
         * Makes sure that at least {@code neededBytes} are reserved in all. Returns false if the request has to be
         * refused.
         */
        boolean ensure(long neededBytes) {
            while (true) {
                Reservation oldest;
                synchronized (incomplete) {
                    long missingBytes = neededBytes - bytes;
                    if (evicted || closed) {
                        return false;
                    }
                    if (missingBytes <= 0) {
                        return true;
                    }
                    long reservedBytes = (missingBytes + BLOCK_BYTES - 1) / BLOCK_BYTES * BLOCK_BYTES;
                    if (budget.tryReserve(reservedBytes)) {
                        bytes += reservedBytes;
                        incomplete.add(this);
                        return true;
                    }
                    oldest = removeOldestBut(this);
                    if (oldest == null) {
                        return false;
                    }
                    oldest.evicted = true;
                }
                evictions.incrementAndGet();
                oldest.owner.evict();
            }
        }

        /** The request is complete and will be handled: from now on it is not evicted. */
        void complete() {
            synchronized (incomplete) {
                incomplete.remove(this);
                evicted = false;
            }
        }

        /** The request and its memory are garbage. */
        void release() {
            synchronized (incomplete) {
                incomplete.remove(this);
                evicted = false;
                budget.release(bytes);
                bytes = 0;
            }
        }

        /** The connection is closed. A thread that still reads it reserves nothing any more. */
        void close() {
            synchronized (incomplete) {
                release();
                closed = true;
            }
        }

        /** Whether the request has to be refused. */
        boolean isEvicted() {
            synchronized (incomplete) {
                return evicted;
            }
        }
    }

    /** A reservation of nothing for the requests on one connection. */
    Reservation reservationFor(Owner owner) {
        return new Reservation(owner);
    }

    private Reservation removeOldestBut(Reservation exempt) {
        Iterator<Reservation> oldestFirst = incomplete.iterator();
        while (oldestFirst.hasNext()) {
            Reservation candidate = oldestFirst.next();
            if (candidate != exempt) {
                oldestFirst.remove();
                return candidate;
            }
        }
        return null;
    }

    /** The bytes that requests hold now, and their limit. */
    public MemoryBudget budget() {
        return budget;
    }

    /** The number of requests that were evicted since the start. */
    public long evictionCount() {
        return evictions.get();
    }
}
