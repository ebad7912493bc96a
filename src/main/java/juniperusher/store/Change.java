package juniperusher.store;

/**
 * Change of a key in the store. Immutable.
 *
 * @param entry    new entry of the key, or its last one if the key was deleted
 * @param deleted  whether the key was deleted
 * @param revision revision of the store that made the change
 */
public record Change(Entry entry, boolean deleted, long revision) {}
