package juniperusher.net;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import juniperusher.core.CallEnd;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** The close of idle connections to endpoints while bytes arrive on them. */
public class IdleConnectionCloseTest {
    private static final String OK_RESPONSE = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";

    private Network network;
    private HttpPool pool;
    private ServerSocket server;
    private ServerSocket otherServer;

    @BeforeMethod
    public void open() throws Exception {
        network = new Network(1);
        pool = new HttpPool(network, 60, 8);
        server = new ServerSocket(0, 5, InetAddress.getByName("127.0.0.1"));
        otherServer = new ServerSocket(0, 5, InetAddress.getByName("127.0.0.1"));
    }

    @AfterMethod(alwaysRun = true)
    public void close() throws Exception {
        network.close();
        server.close();
        otherServer.close();
    }

    private CompletableFuture<String> startExchange(ServerSocket endpoint, Runnable onAnswered) {
        CompletableFuture<String> end = new CompletableFuture<>();
        pool.exchange(
                (InetSocketAddress) endpoint.getLocalSocketAddress(),
                HttpMessage.request("GET", "/x", new byte[0], "Host", "a"),
                () -> true,
                new HttpPool.Listener() {
                    @Override
                    public void answered(HttpMessage response) {
                        end.complete("" + response.status());
                        onAnswered.run();
                    }

                    @Override
                    public void ended(CallEnd why, int statusLineCode) {
                        end.complete(why.name());
                    }
                });
        return end;
    }

    private static Socket acceptAndAnswer(ServerSocket endpoint, String answer) throws Exception {
        Socket socket = endpoint.accept();
        socket.setSoTimeout(5_000);
        socket.setTcpNoDelay(true);
        String request = "";
        InputStream in = socket.getInputStream();
        while (!request.endsWith("\r\n\r\n")) {
            request += (char) in.read();
        }
        write(socket, answer);
        return socket;
    }

    private static void write(Socket socket, String text) throws Exception {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
    }

    /** Writes for a while and expects no error; after a reset the second write would fail. */
    private static void assertWritesSucceed(Socket socket) throws Exception {
        for (int i = 0; i < 15; i++) {
            write(socket, "x");
            Thread.sleep(20);
        }
    }

    /** After a reset the endpoint could not tell how much of its response was read. */
    @Test
    public void partialInputDuringIdleCloseDoesNotReset() throws Exception {
        CountDownLatch selectorBlocked = new CountDownLatch(1);
        CountDownLatch releaseSelector = new CountDownLatch(1);
        CompletableFuture<String> first = startExchange(server, () -> {});
        try (Socket idle = acceptAndAnswer(server, OK_RESPONSE)) {
            assertEquals(first.get(5, TimeUnit.SECONDS), "200");
            startExchange(otherServer, () -> {
                selectorBlocked.countDown();
                try {
                    releaseSelector.await(10, TimeUnit.SECONDS); // the selector thread reads nothing meanwhile
                } catch (InterruptedException e) {
                    throw new IllegalStateException(e);
                }
            });
            try (Socket blocking = acceptAndAnswer(otherServer, OK_RESPONSE)) {
                assertTrue(selectorBlocked.await(5, TimeUnit.SECONDS));
                write(idle, "HTTP/1.1 2"); // arrives and stays unread
                pool.closeIdle((InetSocketAddress) server.getLocalSocketAddress(), 0);
                assertEquals(idle.getInputStream().read(), -1);
                releaseSelector.countDown();
                assertWritesSucceed(idle);
                idle.shutdownOutput();
            }
        } finally {
            releaseSelector.countDown();
        }
    }

    @Test
    public void bytesAfterAnswerDoNotReset() throws Exception {
        CompletableFuture<String> first = startExchange(server, () -> {});
        try (Socket endpoint = acceptAndAnswer(server, OK_RESPONSE + "and more")) {
            assertEquals(first.get(5, TimeUnit.SECONDS), "200");
            assertEquals(endpoint.getInputStream().read(), -1);
            assertWritesSucceed(endpoint);
            endpoint.shutdownOutput();
        }
    }

    @Test
    public void lingeringEndsThoughEndpointNeverCloses() throws Exception {
        CompletableFuture<String> first = startExchange(server, () -> {});
        try (Socket endpoint = acceptAndAnswer(server, OK_RESPONSE)) {
            assertEquals(first.get(5, TimeUnit.SECONDS), "200");
            pool.closeIdle((InetSocketAddress) server.getLocalSocketAddress(), 0);
            assertEquals(endpoint.getInputStream().read(), -1);
            boolean closed = false;
            for (int i = 0; i < 500 && !closed; i++) {
                Thread.sleep(10);
                try {
                    write(endpoint, "x"); // causes a reset once the relay has closed the connection
                } catch (java.net.SocketException e) {
                    closed = true;
                }
                if (i == 5) {
                    Thread.sleep(1_200); // longer than the idle timeout of a lingering connection
                }
            }
            assertTrue(closed, "the connection stays open");
        }
    }
}
