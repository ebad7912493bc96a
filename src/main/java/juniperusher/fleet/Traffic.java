package juniperusher.fleet;

/** What has gone over the connections of one side, without the headers of TCP and IP. Used on the loop's thread. */
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

    /** Bytes that have come in. */
    public long bytesIn() {
        return bytesIn;
    }

    /** Bytes that were sent. */
    public long bytesOut() {
        return bytesOut;
    }

    /** Messages that have come in. */
    public long messagesIn() {
        return messagesIn;
    }

    /** Messages that were sent. */
    public long messagesOut() {
        return messagesOut;
    }

    /** Connections that were opened. */
    public long connections() {
        return connections;
    }
}
