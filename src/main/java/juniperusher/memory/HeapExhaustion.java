package juniperusher.memory;

/**
 * Ends the process once its heap is used up, so that it is started again. A process that has lost a task to an {@link
 * OutOfMemoryError} may hold messages that nothing sends or answers any more. Deployments also start the relay with
 * {@code -XX:+ExitOnOutOfMemoryError}, which covers the code of libraries and has the same exit code.
 */
public final class HeapExhaustion {
    private static final int EXIT_CODE = 3;

    private HeapExhaustion() {}

    /** Ends the process without a further allocation if the error or one of its causes is an OutOfMemoryError. */
    public static void endProcessIfCausedBy(Throwable error) {
        for (Throwable cause = error; cause != null; cause = cause.getCause()) {
            if (cause instanceof OutOfMemoryError) {
                Runtime.getRuntime().halt(EXIT_CODE);
            }
        }
    }
}
