package juniperusher.store;

import java.util.ArrayList;
import java.util.List;

/** Request of a client to the store. */
public sealed interface Request {
    /** Create a lease that ends after {@code ttl} seconds unless it is kept alive. */
    record Grant(double ttl) implements Request {}

    /** Restart the time of a lease at the moment at which the store receives this. */
    record KeepAlive(long lease) implements Request {}

    /** End a lease and delete its keys. */
    record Revoke(long lease) implements Request {}

    /** Execute all of {@code then} at one revision if all conditions hold, else all of {@code otherwise}. */
    record Txn(List<Compare> compare, List<Op> then, List<Op> otherwise) implements Request {
        public Txn {
            compare = List.copyOf(compare);
            then = List.copyOf(then);
            otherwise = List.copyOf(otherwise);
        }

        /** Returns this transaction with an additional condition. */
        public Txn onlyIf(Compare more) {
            List<Compare> all = new ArrayList<>(compare);
            all.add(more);
            return new Txn(all, then, otherwise);
        }
    }
}
