package juniperusher.core;

/**
 * An RPC as a channel hands it in.
 *
 * @param id            the client's id of this handing-in
 * @param front         name of the front that took it in
 * @param messageClass  place of its class in the settings
 * @param destination   number of its destination
 * @param deadline      time in ms by which it may still be delivered, see {@link juniperusher.clock.SteadyClock}
 * @param returnAddress where its end is told; the front's own text, may be empty
 * @param once          a repeat of its id, while it is held or lately over, is not taken on a second time
 * @param body          the bytes passed on
 * @param again         its client marks it as handed in again; not known any more after a restart
 * @param idempotencyKey by which its destination knows repeats of it; passed on as it is, empty for none
 * @param orderKey     messages of ordered classes with the same key are delivered one at a time, as taken;
 *                     empty for none
 * @param tenant       name of the tenant on whose behalf it comes, empty for none
 */
public record RpcRequest(
        String id,
        String front,
        int messageClass,
        int destination,
        long deadline,
        String returnAddress,
        boolean once,
        byte[] body,
        boolean again,
        String idempotencyKey,
        String orderKey,
        String tenant) {
    /** An RPC without keys or a tenant that is not marked as handed in again. */
    public RpcRequest(
            String id,
            String front,
            int messageClass,
            int destination,
            long deadline,
            String returnAddress,
            boolean once,
            byte[] body) {
        this(id, front, messageClass, destination, deadline, returnAddress, once, body, false, "");
    }

    /** An RPC without a key of its order or a tenant. */
    public RpcRequest(
            String id,
            String front,
            int messageClass,
            int destination,
            long deadline,
            String returnAddress,
            boolean once,
            byte[] body,
            boolean again,
            String idempotencyKey) {
        this(id, front, messageClass, destination, deadline, returnAddress, once, body, again, idempotencyKey, "", "");
    }

    /** The same, of the class in that place of the settings. */
    RpcRequest of(int place) {
        return new RpcRequest(
                id,
                front,
                place,
                destination,
                deadline,
                returnAddress,
                once,
                body,
                again,
                idempotencyKey,
                orderKey,
                tenant);
    }

    /** What tells it from every other RPC held. */
    public String key() {
        return front + ' ' + id;
    }
}
