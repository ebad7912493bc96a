package juniperusher.core;

/**
 * The journal could not record a step that must be recorded before it happens. The step must not happen now and may be
 * tried again later.
 */
public final class JournalUnavailableException extends RuntimeException {
    private static final long serialVersionUID = 1;

    JournalUnavailableException(Throwable cause) {
        super("the journal cannot be written", cause);
    }
}
