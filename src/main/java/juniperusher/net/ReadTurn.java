package juniperusher.net;

/**
 * What a connection may read until the other connections on the selector thread get their turn. Each connection that
 * reads there has one, begins it with each turn and stops reading once it is over, whether or not more input waits.
 * Otherwise a peer that always has more to send would keep all other connections waiting. Not thread-safe.
 */
public final class ReadTurn {
    private static final int MAX_BYTES = 64 * 1024;

    private final int maxMessages;
    private int messages;
    private long bytes;

    /** Creates a turn in which at most {@code maxMessages} requests or frames are handled. */
    public ReadTurn(int maxMessages) {
        this.maxMessages = maxMessages;
    }

    /** Begins a new turn. */
    public void begin() {
        messages = 0;
        bytes = 0;
    }

    /** Input of this length was read. */
    public void bytesRead(int count) {
        bytes += count;
    }

    /** A request or frame was handled. */
    public void messageHandled() {
        messages++;
    }

    /** Whether the connection has to wait for its next turn. */
    public boolean isOver() {
        return messages >= maxMessages || bytes >= MAX_BYTES;
    }

    int messages() {
        return messages;
    }

    long bytes() {
        return bytes;
    }
}
