package juniperusher.store;

import java.util.List;

/** Answer of the store. Without an answer the request may have been executed, or may still be. */
public sealed interface Reply {
    /** The lease exists and ends after {@code ttl} seconds unless it is kept alive. */
    record Leased(long lease, double ttl) implements Reply {}

    /** The lease does not exist or has ended; nothing was changed. */
    record NoLease(long lease) implements Reply {}

    /**
     * Result of a transaction or a revocation.
     *
     * @param succeeded whether all conditions held
     * @param revision  revision of the store after the request
     * @param reads     entries found by each {@link Op.Read} of the executed branch, in order
     */
    record Done(boolean succeeded, long revision, List<List<Entry>> reads) implements Reply {
        public Done {
            reads = reads.stream().map(List::copyOf).toList();
        }
    }
}
