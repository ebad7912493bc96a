package juniperusher.core;

/** The connection to the client that submits an RPC. Exactly one of the two methods is called, once. */
public interface Channel {
    /**
     * The relay has accepted the RPC and will report its end.
     *
     * @return false if the client is known to have left before it could be told; it may submit the RPC elsewhere
     */
    boolean accepted();

    /** The relay has not accepted the RPC; the client may resubmit it. */
    void refused(UnavailableStatus status);
}
