package juniperusher.core;

/** A step that binds could not be written down, and must not be taken now. It may be tried again later. */
final class JournalUnavailableException extends RuntimeException {
    private static final long serialVersionUID = 1;

    JournalUnavailableException(Throwable cause) {
        super("the journal cannot be written", cause);
    }
}
