package juniperusher.fleet;

import java.net.InetSocketAddress;

/** Opens connections to control processes. Another one than {@link #direct} lets a laboratory cut the network. */
@FunctionalInterface
public interface Dialer {
    /**
     * Opens a connection to a source, whose handler hears of it in a later turn.
     *
     * @return null where no answer will come, as of a host that is cut off
     */
    Connection dial(String source, Connection.Handler handler);

    /** Connects to the source's host:port; names are resolved at once, so sources had better be addresses. */
    static Dialer direct(EventLoop loop, double timeout) {
        return (source, handler) ->
                loop.connect(address(source), timeout, handler, MessageChannel.MAX_INPUT, MessageChannel.MAX_OUTPUT);
    }

    /** The address of host:port; an {@link IllegalArgumentException} where it is none. */
    static InetSocketAddress address(String text) {
        int colon = text.lastIndexOf(':');
        if (colon < 1 || !text.substring(colon + 1).matches("\\d{1,5}")) {
            throw new IllegalArgumentException("'" + text + "' is no address of the form host:port");
        }
        return new InetSocketAddress(text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
    }
}
