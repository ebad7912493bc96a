package juniperusher.core;

import juniperusher.Protocol.Report;

/**
 * The result of one RPC's call.
 *
 * @param end    how it ended
 * @param told   seconds for which the endpoint told this relay to send its destination nothing, 0 for none
 * @param report what the endpoint reported of its limit, or null
 */
public record CallResult(CallEnd end, double told, Report report) {
    /** A result with nothing told and nothing reported. */
    public static CallResult of(CallEnd end) {
        return new CallResult(end, 0, null);
    }
}
