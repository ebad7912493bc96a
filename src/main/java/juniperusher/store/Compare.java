package juniperusher.store;

/**
 * Condition of a transaction on one key. The revisions of a key that does not exist are 0. Immutable.
 *
 * @param value  expected value, for {@link Field#VALUE}
 * @param number expected revision, for the other fields
 */
public record Compare(String key, Field field, String value, long number) {
    /** Property of the key that is compared. */
    public enum Field {
        CREATED,
        MODIFIED,
        VALUE
    }

    /** Requires that the key was created at this revision; 0 requires that it does not exist. */
    public static Compare created(String key, long revision) {
        return new Compare(key, Field.CREATED, "", revision);
    }

    /** Requires that the last change of the key was at this revision. */
    public static Compare modified(String key, long revision) {
        return new Compare(key, Field.MODIFIED, "", revision);
    }

    /** Requires that the key exists with this value. */
    public static Compare value(String key, String value) {
        return new Compare(key, Field.VALUE, value, 0);
    }

    boolean isSatisfiedBy(Entry entry) {
        return switch (field) {
            case CREATED -> number == (entry == null ? 0 : entry.created());
            case MODIFIED -> number == (entry == null ? 0 : entry.modified());
            case VALUE -> entry != null && entry.value().equals(value);
        };
    }
}
