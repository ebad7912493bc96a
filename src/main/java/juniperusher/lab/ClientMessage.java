package juniperusher.lab;

/**
 * A message that a client wants delivered, across all its submissions to a relay. Times are seconds from the start of
 * the run. Not thread-safe.
 */
public final class ClientMessage {
    /** Index of the destination in {@link Plan#destinations()}. */
    public final int destination;
    /** Index of the message class in {@link LabSettings#classes(Plan)}. */
    public final int messageClass;
    /** Index of the tenant in {@link Plan#tenants()}; 0 if the plan has no tenants. */
    public final int tenant;
    /** Index of the relay that the client submits the message to. */
    public final int relay;
    /** Messages with the same key are delivered in order; 0 for a message without a key. */
    public final long key;
    /** Time at which the client first wanted the message delivered. */
    public final double requestedAt;
    /** Time after which the message is no longer delivered. */
    public final double deadline;

    private int submissions;

    ClientMessage(int destination, int messageClass, int tenant, int relay, long key, double from, double until) {
        this.destination = destination;
        this.messageClass = messageClass;
        this.tenant = tenant;
        this.relay = relay;
        this.key = key;
        this.requestedAt = from;
        this.deadline = until;
    }

    /** Number of submissions that reached a relay. */
    public int submissions() {
        return submissions;
    }

    /** Records a submission. */
    public void countSubmission() {
        submissions++;
    }

    /** Takes back the last recorded submission, which reached no relay. */
    public void uncountSubmission() {
        submissions--;
    }

    /** Whether the message has a key. */
    public boolean hasKey() {
        return key != 0;
    }

    /** The key in hexadecimal. */
    public String keyText() {
        return Long.toHexString(key);
    }
}
