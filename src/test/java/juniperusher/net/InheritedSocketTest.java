package juniperusher.net;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import java.io.Closeable;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.channels.ServerSocketChannel;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.io.AbstractConnection;
import org.testng.annotations.Test;

/** Listening on a socket that another process has bound, as during an upgrade. */
public class InheritedSocketTest {
    @Test
    public void servesInheritedSocketAndClosesItWithTheHandle() throws Exception {
        ServerSocketChannel inherited = ServerSocketChannel.open();
        inherited.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
        int port = ((InetSocketAddress) inherited.getLocalAddress()).getPort();
        CountDownLatch opened = new CountDownLatch(1);
        Network network = new Network(1.0);
        try {
            Closeable listening = network.listen(inherited, endPoint -> {
                opened.countDown();
                return new AbstractConnection(endPoint, network.threads()) {
                    @Override
                    public void onFillable() {}
                };
            });
            try (Socket client = new Socket(InetAddress.getLoopbackAddress(), port)) {
                assertTrue(opened.await(5, TimeUnit.SECONDS), "the connection was not served");
            }
            listening.close();
            assertTrue(!inherited.isOpen(), "closing the handle leaves this process's descriptor open");
        } finally {
            network.close();
        }
    }

    @Test
    public void descriptorOtherThanZeroIsRefusedWithOneLine() {
        String message = null;
        try {
            Network.inheritedSocket("3");
        } catch (IllegalArgumentException | java.io.IOException e) {
            message = e.getMessage();
        }
        assertEquals(message, "RELAY_ACCEPT_FD is '3': expected 0, the descriptor that standard input " + "holds");
    }

    @Test
    public void standardInputThatIsNoListeningSocketIsRefused() {
        // The standard input of a test run is a pipe or a terminal, never a listening socket.
        assertThrows(IllegalArgumentException.class, () -> Network.inheritedSocket("0"));
    }
}
