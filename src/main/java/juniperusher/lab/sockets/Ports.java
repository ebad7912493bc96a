package juniperusher.lab.sockets;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;

/** Addresses on loopback. */
final class Ports {
    private Ports() {}

    /** One that nobody listens at just now. */
    static InetSocketAddress unused() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            return new InetSocketAddress("127.0.0.1", socket.getLocalPort());
        }
    }

    /** Reads host:port. */
    static InetSocketAddress address(String text) {
        int at = text.lastIndexOf(':');
        if (at < 1 || !text.substring(at + 1).matches("\\d{1,5}")) {
            throw new IllegalArgumentException("'" + text + "' is no address of the form host:port");
        }
        return new InetSocketAddress(text.substring(0, at), Integer.parseInt(text.substring(at + 1)));
    }

    /** As host:port. */
    static String text(InetSocketAddress address) {
        return address.getHostString() + ":" + address.getPort();
    }
}
