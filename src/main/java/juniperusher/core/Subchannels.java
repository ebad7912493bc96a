package juniperusher.core;

import java.util.List;
import juniperusher.Protocol.Target;

/** Transport for calls to endpoints. An implementation never repeats a call on its own. Safe for threads. */
public interface Subchannels {
    /**
     * Starts one call that carries all the RPCs. {@code permission} is asked once, immediately before the first byte;
     * if it denies the call, nothing is sent. {@code resultListener} receives the result of each RPC exactly once.
     *
     * @param timeoutSeconds how long the caller waits, for the endpoint's information; the caller ends the call itself
     */
    Call call(
            Target subchannel,
            List<RpcRequest> rpcs,
            double timeoutSeconds,
            StartPermission permission,
            ResultListener resultListener);

    /** Whether the transport can carry all these RPCs in one call, as far as their sizes are concerned. */
    default boolean mayShareCall(Target subchannel, List<RpcRequest> rpcs) {
        return true;
    }

    /** Checks the health of an endpoint. */
    void probe(Target subchannel, ProbeListener probeListener);

    /** Closes the idle connections to an endpoint. */
    void closeIdle(Target subchannel);

    /** A call in flight. */
    interface Call {
        /** Closes the connection, then reports {@code why} as the end of each RPC that has no result yet. */
        void abandon(CallEnd why);
    }

    /** Permission to start a call. */
    interface StartPermission {
        /** Whether the call may still start. */
        boolean mayStart();
    }

    /** Receives the results of a call. */
    interface ResultListener {
        /** The RPC at index {@code index} of the call's list has ended. */
        void ended(int index, CallResult result);
    }

    /** Receives the result of a probe. */
    interface ProbeListener {
        /**
         * The probe has ended.
         *
         * @param ok whether the endpoint answered in good health
         * @param full whether it answered that it has no capacity left
         * @param elapsedSeconds duration of the probe
         */
        void probed(boolean ok, boolean full, double elapsedSeconds);
    }
}
