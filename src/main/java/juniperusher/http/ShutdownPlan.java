package juniperusher.http;

import java.util.ArrayList;
import java.util.List;

/**
 * Decides the steps of a shutdown after SIGTERM from the elapsed time and from what is still open or unfinished. Does
 * no I/O and reads no clock. Not thread-safe.
 *
 * <p>Until the next process starts, clients have no other relay and keep sending on their open connections. Requests
 * are therefore accepted as long as possible, but a call starts only if there is time for its answer: a call in flight
 * at the exit would be repeated after the restart, and an RPC that may not be repeated would fail permanently. Then
 * connections are closed in order: idle ones first, each other one with its answer, and none while it holds bytes that
 * were not read. The next process continues the RPCs that are unfinished at the exit.
 */
final class ShutdownPlan {
    // Times are counted from SIGTERM. SIGKILL follows after 3,700 ms or later, and new connections arrive for up to
    // 400 ms.
    static final long LAST_UNSAFE_CALL_MILLIS = 1_600;
    static final long LAST_CALL_MILLIS = 3_200;
    static final long LAST_ANSWERS_MILLIS = 3_300; // from here each answer closes its connection; idle ones are closed
    static final long CLOSE_ALL_MILLIS = 3_500; // all other connections are closed
    static final long EXIT_MILLIS = 3_600; // the latest time of the exit

    /** A step of the shutdown. */
    enum Action {
        /** Accept no more connections. */
        STOP_LISTENING,
        /** Close each connection after its next answer. */
        CLOSE_WITH_ANSWERS,
        /** Close the connections without a request in progress. */
        CLOSE_IDLE,
        /** Close all connections. */
        CLOSE_ALL,
        /** End the process. */
        EXIT
    }

    private final boolean listenerInherited;
    private boolean closingWithAnswers;
    private boolean allClosed;

    /**
     * Creates the plan of one shutdown.
     *
     * @param listenerInherited the listening socket outlives this process, and the next process accepts on it. This
     *     process then stops accepting at once and exits as soon as nothing is pending.
     */
    ShutdownPlan(boolean listenerInherited) {
        this.listenerInherited = listenerInherited;
    }

    /**
     * Returns the actions that are due now, in order. The caller polls this until it returns {@link Action#EXIT}.
     *
     * @param elapsedMillis         the time since SIGTERM
     * @param openConnections       the number of open client connections
     * @param pendingRpcs           the number of accepted RPCs that are unfinished
     * @param unacknowledgedReports the number of status reports that the platform has not acknowledged
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
            actions.add(Action.CLOSE_IDLE); // at each poll, since more connections may be idle by now
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
