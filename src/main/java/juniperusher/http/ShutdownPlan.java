package juniperusher.http;

import java.util.ArrayList;
import java.util.List;

/**
 * What a process does after SIGTERM, decided over what is owed and still open. Free of I/O and of the clock.
 *
 * <p>Clients have no other relay until the next process is there, and go on sending on each connection that
 * stays open: so all is taken on as long as there is time, but calls begin only while there is time for their
 * answers too. One that is still out at the end would go a second time after the restart, and one that may
 * not be repeated would be given up. Then connections end in order: those that rest first, each other one
 * with its answer; nothing is closed over bytes that nobody has read. What has not ended by then is owed by
 * the next process.
 */
final class ShutdownPlan {
    // All in ms after SIGTERM. SIGKILL comes after 3,700 at the least, and new connections until 400.
    static final long LAST_UNSAFE_CALL_MILLIS = 1_600;
    static final long LAST_CALL_MILLIS = 3_200;
    static final long LAST_ANSWERS_MILLIS = 3_300; // each answer ends its connection, and those that rest end
    static final long CLOSE_ALL_MILLIS = 3_500; // whatever has not ended yet does
    static final long EXIT_MILLIS = 3_600; // at the latest

    /** What is to be done now. */
    enum Action {
        STOP_LISTENING,
        CLOSE_WITH_ANSWERS,
        CLOSE_IDLE,
        CLOSE_ALL,
        EXIT
    }

    private final boolean listenerInherited;
    private boolean closingWithAnswers;
    private boolean allClosed;

    /**
     * {@code handedOn}: the clients' socket outlives this process, and the one after it accepts on it. Then
     * new clients go there at once, and this one ends as soon as nothing is left here.
     */
    ShutdownPlan(boolean listenerInherited) {
        this.listenerInherited = listenerInherited;
    }

    /**
     * What is to be done {@code elapsed} ms after SIGTERM, with so many connections open, RPCs held and
     * notices waiting for their acknowledgement. Asked again and again until it says {@link Action#EXIT}.
     */
    List<Action> nextActions(long elapsedMillis, int openConnections, int pendingRpcs, int unacknowledgedReports) {
        List<Action> actions = new ArrayList<>();
        if (!closingWithAnswers && (listenerInherited || elapsedMillis >= LAST_ANSWERS_MILLIS)) {
            closingWithAnswers = true;
            if (listenerInherited) {
                actions.add(Action.STOP_LISTENING);
            }
            actions.add(Action.CLOSE_WITH_ANSWERS);
        }
        if (closingWithAnswers && !allClosed && !(listenerInherited && elapsedMillis < LAST_ANSWERS_MILLIS)) {
            actions.add(Action.CLOSE_IDLE); // again and again: those that were under way may rest by now
        }
        if (!allClosed && elapsedMillis >= CLOSE_ALL_MILLIS) {
            allClosed = true;
            actions.add(Action.CLOSE_ALL);
        }
        boolean done = openConnections == 0
                && unacknowledgedReports == 0
                && (listenerInherited ? pendingRpcs == 0 : elapsedMillis >= LAST_ANSWERS_MILLIS);
        if (done || elapsedMillis >= EXIT_MILLIS) {
            actions.add(Action.EXIT);
        }
        return actions;
    }
}
