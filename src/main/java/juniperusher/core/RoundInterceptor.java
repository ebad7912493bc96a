package juniperusher.core;

import java.util.List;
import juniperusher.Protocol.Action;
import juniperusher.Protocol.Event;

/**
 * Intercepts the events of each round before the decision module receives them, and its actions before they are carried
 * out. Except where noted, methods are called by the decision thread; none may block.
 */
public interface RoundInterceptor {
    /**
     * Returns the events that the decision module receives instead of {@code events}. Events that answer an action of
     * this interceptor, such as the result of its own probe, may be left out.
     *
     * @param nowSeconds time of the round, on the clock of the decision loop
     */
    List<Event> beforeDecision(double nowSeconds, List<Event> events);

    /**
     * Called when an accepted RPC becomes a message, in the round of its arrival and before {@link #beforeDecision}.
     * Returns whether the RPC is an unmarked resubmission of one that was refused earlier.
     *
     * @param message number of the new message
     */
    boolean isUnmarkedResubmission(int message, RpcRequest request);

    /** An RPC was refused and did not become a message. Called by any thread. */
    void requestRefused(RpcRequest request);

    /**
     * Returns further actions, which are carried out after {@code actions}.
     *
     * @param nowSeconds time of the round, on the clock of the decision loop
     */
    List<Action> afterDecision(double nowSeconds, List<Action> actions);
}
