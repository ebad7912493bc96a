package juniperusher.ownership;

import juniperusher.store.Compare;
import juniperusher.store.Request;

/**
 * Ownership of a resource by one process. Immutable.
 *
 * @param key   key of the resource in the store
 * @param token fencing token: the revision at which the holder created the key; every later holding has a greater one
 */
public record Holding(String key, long token) {
    /** Returns the transaction with the condition that this holding is still current at the store. */
    public Request.Txn fence(Request.Txn txn) {
        return txn.onlyIf(Compare.created(key, token));
    }
}
