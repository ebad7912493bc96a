package juniperusher.net;

import java.io.IOException;
import java.nio.ByteBuffer;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.util.BufferUtil;

/**
 * Closes a connection in two steps: first the output, then the rest once the peer has closed its side or a limit of
 * time or bytes is reached. What arrives in between is discarded. Not thread-safe.
 */
final class LingeringClose {
    private static final long IDLE_TIMEOUT_MILLIS = 1_000; // without input; then the connection is closed
    private static final int MAX_DISCARDED_BYTES = 1 << 20;

    private final EndPoint endPoint;
    private final ByteBuffer buffer;
    private final Runnable onInput;
    private final ReadTurn turn = new ReadTurn(Integer.MAX_VALUE);
    private int discardedBytes;

    /** Reads into the buffer, and calls {@code onInput} with what it holds before it is discarded. */
    LingeringClose(EndPoint endPoint, ByteBuffer buffer, Runnable onInput) {
        this.endPoint = endPoint;
        this.buffer = buffer;
        this.onInput = onInput;
    }

    /** Shuts the output down. */
    void start() {
        endPoint.setIdleTimeout(IDLE_TIMEOUT_MILLIS);
        endPoint.shutdownOutput();
    }

    /** Reads and discards what has arrived, for one turn. Returns false if the connection is to be closed now. */
    boolean discardInput() {
        turn.begin();
        try {
            while (!turn.isOver()) {
                BufferUtil.clear(buffer);
                int n = endPoint.fill(buffer);
                discardedBytes += Math.max(0, n);
                turn.bytesRead(Math.max(0, n));
                onInput.run();
                if (n < 0 || discardedBytes > MAX_DISCARDED_BYTES) {
                    return false;
                }
                if (n == 0) {
                    return true;
                }
            }
            return true;
        } catch (IOException | RuntimeException e) {
            return false;
        }
    }
}
