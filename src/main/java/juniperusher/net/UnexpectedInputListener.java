package juniperusher.net;

import java.net.SocketAddress;
import java.util.Locale;

/**
 * Receives a report of each piece of input on an outbound connection that belongs to no exchange, such as a second copy
 * of a response. Implementations must be thread-safe and must not block.
 */
public interface UnexpectedInputListener {
    /** Ignores all reports. */
    UnexpectedInputListener NONE = (peer, reason, bytes, head) -> {};

    /** Where the input was found. */
    enum Reason {
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
     * @param bytes size of the input in bytes
     * @param head the first characters of the input, with non-printable characters replaced
     */
    void unexpectedInput(SocketAddress peer, Reason reason, int bytes, String head);
}
