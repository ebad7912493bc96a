package juniperusher.net;

import java.net.SocketAddress;
import java.nio.ByteBuffer;
import java.util.Locale;

/**
 * Receives a report of each piece of input on an outbound connection that belongs to no exchange, such as a second copy
 * of a response. Implementations must be thread-safe, must not block and must not change the buffer.
 */
public interface UnexpectedInputListener {
    /** Ignores all reports. */
    UnexpectedInputListener NONE = (peer, reason, bytes) -> {};

    /** Where the input was found. */
    enum Reason {
        /** Before the first byte of a request was written. */
        BEFORE_REQUEST,
        /** While a part of the request was still to be written. */
        BEFORE_REQUEST_END,
        /** Directly behind a complete response. */
        BEHIND_RESPONSE,
        /** On a connection without a request in flight. */
        WHILE_IDLE,
        /** After this side had shut down its output. */
        AFTER_SHUTDOWN;

        /** The name in logs and metrics. */
        public String label() {
            return name().toLowerCase(Locale.ROOT);
        }
    }

    /**
     * Input has arrived that belongs to no exchange.
     *
     * @param peer the address of the peer, or null if it is no longer known
     * @param bytes the input, valid during the call only
     */
    void unexpectedInput(SocketAddress peer, Reason reason, ByteBuffer bytes);
}
