package juniperusher.fleet;

/** Traffic counters of one side's connections, without TCP and IP headers. Used only on the loop's thread. */
public final class Traffic {
    private long bytesIn;
    private long bytesOut;
    private long messagesIn;
    private long messagesOut;
    private long connections;

    void connected() {
        connections++;
    }

    void received(long bytes) {
        bytesIn += bytes;
    }

    void messageReceived() {
        messagesIn++;
    }

    void sent(long bytes) {
        bytesOut += bytes;
        messagesOut++;
    }

    /** Number of bytes received. */
    public long bytesIn() {
        return bytesIn;
    }

    /** Number of bytes sent. */
    public long bytesOut() {
        return bytesOut;
    }

    /** Number of messages received. */
    public long messagesIn() {
        return messagesIn;
    }

    /** Number of messages sent. */
    public long messagesOut() {
        return messagesOut;
    }

    /** Number of connections established. */
    public long connections() {
        return connections;
    }
}
