package juniperusher.ownership;

import juniperusher.store.Compare;
import juniperusher.store.Request;

/**
 * That a process owns a thing.
 *
 * @param key   the thing's key in the store
 * @param token the revision at which the holder's key came to be: any later holding has a greater one
 */
public record Holding(String key, long token) {
    /** The transaction, done only while this holding is the thing's present one. */
    public Request.Txn fence(Request.Txn txn) {
        return txn.onlyIf(Compare.created(key, token));
    }
}
