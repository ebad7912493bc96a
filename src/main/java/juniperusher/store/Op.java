package juniperusher.store;

/** Operation of a transaction. */
public sealed interface Op {
    /** Set the value of a key. The key is deleted when the lease with this id ends; 0 for no lease. */
    record Put(String key, String value, long lease) implements Op {}

    /** Delete a key, if it exists. */
    record Delete(String key) implements Op {}

    /** Read the entry of a key, or with {@code prefix} of all keys that begin with it. */
    record Read(String key, boolean prefix) implements Op {}
}
