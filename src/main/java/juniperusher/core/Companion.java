package juniperusher.core;

import java.util.List;
import juniperusher.Protocol.Action;
import juniperusher.Protocol.Event;

/**
 * Sees each round's events before the module does and its actions after it, and may add to both; of the
 * events it
 * may keep what it has itself asked for. It is called by the thread that owns the module and must not wait
 * for anything.
 */
public interface Companion {
    /** Events that the module is given in place of these; the time is that of the round, in seconds. */
    List<Event> before(double now, List<Event> events);

    /**
     * An RPC becomes a message of this number; whether it is one that was refused before and comes again
     * without a
     * mark. Called in the round in which the module hears of it, before {@link #before}.
     */
    boolean comesAgain(int message, RpcRequest request);

    /** An RPC was refused before it became a message. Called by any thread. */
    void turnedAway(RpcRequest request);

    /** Actions that are carried out after these. */
    List<Action> after(double now, List<Action> actions);
}
