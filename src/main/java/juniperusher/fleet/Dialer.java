package juniperusher.fleet;

import java.net.InetSocketAddress;

/** Opens connections to control processes. Lab runs replace {@link #direct} to simulate a network partition. */
@FunctionalInterface
public interface Dialer {
    /**
     * Opens a connection to a control process. The handler is called later, never during this call.
     *
     * @param source host:port of the control process
     * @return the connection, or null if the handler will never be called, as for an unreachable host
     */
    Connection dial(String source, Connection.Handler handler);

    /**
     * Returns a dialer that connects to the source's host:port. It resolves host names on the calling thread, which is
     * the event loop's, so IP addresses are preferable.
     */
    static Dialer direct(EventLoop loop, double timeoutSeconds) {
        return (source, handler) -> loop.connect(
                address(source),
                timeoutSeconds,
                handler,
                MessageChannel.MAX_INPUT_BYTES,
                MessageChannel.MAX_OUTPUT_BYTES);
    }

    /**
     * Parses host:port and resolves the host.
     *
     * @throws IllegalArgumentException if the text has another form
     */
    static InetSocketAddress address(String text) {
        int colon = text.lastIndexOf(':');
        if (colon < 1 || !text.substring(colon + 1).matches("\\d{1,5}")) {
            throw new IllegalArgumentException("'" + text + "' is not an address of the form host:port");
        }
        return new InetSocketAddress(text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
    }
}
