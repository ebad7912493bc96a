package juniperusher.core;

/**
 * The one final end of an accepted RPC.
 *
 * @param id the client's id of the RPC
 * @param returnAddress see {@link RpcRequest}
 * @param kind how the RPC ended
 * @param retryAfterSeconds after {@code HANDED_BACK}: seconds after which the client should resubmit it, 0 for no
 *     advice
 */
public record RpcEnd(String id, String returnAddress, Kind kind, double retryAfterSeconds) {
    /** How an RPC ends. The journal stores the ordinal, so the order of the constants must not change. */
    public enum Kind {
        /** An endpoint delivered it. */
        DELIVERED,
        /** It failed permanently. */
        GIVEN_UP,
        /** It was returned to the client, which may safely resubmit it. */
        HANDED_BACK
    }
}
