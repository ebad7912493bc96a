package juniperusher.core;

/**
 * An RPC as a client submits it.
 *
 * @param id the client's id of this submission
 * @param front name of the front that received it
 * @param messageClass index of its class in the settings
 * @param destination number of its destination
 * @param deadlineMillis latest delivery time in milliseconds of {@link juniperusher.clock.SteadyClock}
 * @param returnAddress where its end is reported, in a format of the front; may be empty
 * @param acceptOnce whether a second submission with this id is dropped while the first is pending or ended recently
 * @param body payload, passed on unchanged
 * @param resubmitted whether its client marked it as a resubmission; not kept over a restart
 * @param idempotencyKey key by which its destination recognizes repeats, passed on unchanged; empty for none
 * @param orderKey messages of ordered classes with the same key are delivered one at a time, in the order in which they
 *     were accepted; empty for none
 * @param tenant name of the tenant that it belongs to, empty for none
 */
public record RpcRequest(
        String id,
        String front,
        int messageClass,
        int destination,
        long deadlineMillis,
        String returnAddress,
        boolean acceptOnce,
        byte[] body,
        boolean resubmitted,
        String idempotencyKey,
        String orderKey,
        String tenant) {
    /** An RPC without keys and without a tenant that is not marked as a resubmission. */
    public RpcRequest(
            String id,
            String front,
            int messageClass,
            int destination,
            long deadlineMillis,
            String returnAddress,
            boolean acceptOnce,
            byte[] body) {
        this(id, front, messageClass, destination, deadlineMillis, returnAddress, acceptOnce, body, false, "");
    }

    /** An RPC without an order key and without a tenant. */
    public RpcRequest(
            String id,
            String front,
            int messageClass,
            int destination,
            long deadlineMillis,
            String returnAddress,
            boolean acceptOnce,
            byte[] body,
            boolean resubmitted,
            String idempotencyKey) {
        this(
                id,
                front,
                messageClass,
                destination,
                deadlineMillis,
                returnAddress,
                acceptOnce,
                body,
                resubmitted,
                idempotencyKey,
                "",
                "");
    }

    /** A copy with another class index. */
    RpcRequest withMessageClass(int classIndex) {
        return new RpcRequest(
                id,
                front,
                classIndex,
                destination,
                deadlineMillis,
                returnAddress,
                acceptOnce,
                body,
                resubmitted,
                idempotencyKey,
                orderKey,
                tenant);
    }

    /** A copy without its payload, for what remains to be done after its end. */
    RpcRequest withoutBody() {
        return new RpcRequest(
                id,
                front,
                messageClass,
                destination,
                deadlineMillis,
                returnAddress,
                acceptOnce,
                new byte[0],
                resubmitted,
                idempotencyKey,
                orderKey,
                tenant);
    }

    /** Identifies the RPC among all pending ones: front and id. */
    public String key() {
        return front + ' ' + id;
    }
}
