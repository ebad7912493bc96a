package juniperusher.store;

/**
 * Key with its value. Immutable.
 *
 * @param created  revision at which the key was created; a new one after a deletion
 * @param modified revision of the last change
 * @param lease    id of the lease whose end deletes the key, 0 for none
 */
public record Entry(String key, String value, long created, long modified, long lease) {}
