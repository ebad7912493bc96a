package juniperusher.net;

/**
 * Why a server connection refuses a request before the handler sees it.
 *
 * @param status the status code of the response
 * @param reason the cause, for logs and metrics
 */
public record Refusal(int status, Reason reason) {
    /** The cause of a refusal. */
    public enum Reason {
        /** The request is not HTTP/1.1, or ends before it is complete. */
        MALFORMED,
        /** The head or the content is longer than allowed. */
        TOO_LONG,
        /** The request did not arrive completely in time. */
        TIMED_OUT,
        /** There is no memory left for it, see {@link RequestMemory}. */
        MEMORY,
        /** The connection is ended because of the limit on connections, or because the process shuts down. */
        SHED
    }

    /** The response that tells the client. */
    HttpMessage response() {
        return HttpMessage.response(status, "");
    }
}
