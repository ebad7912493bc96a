package juniperusher.core;

import juniperusher.Protocol.LoadReport;

/**
 * The result of one RPC in a call.
 *
 * @param end how the call ended
 * @param retryAfterSeconds retry-after delay of the destination in seconds, 0 for none
 * @param report the load report of the endpoint, or null
 */
public record CallResult(CallEnd end, double retryAfterSeconds, LoadReport report) {
    /** A result without a retry-after delay or a load report. */
    public static CallResult of(CallEnd end) {
        return new CallResult(end, 0, null);
    }
}
