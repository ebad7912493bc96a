package juniperusher.net;

import static org.testng.Assert.assertEquals;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import juniperusher.core.CallEnd;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Input that belongs to no exchange, by the place where it arrives. */
public class StrayInputTest {
    private static final int LARGE_REQUEST_BYTES = 16 << 20; // more than the buffers of both sockets hold
    private static final String OK = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
    private static final String REFUSED = "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n";

    private final List<UnexpectedInputListener.Reason> reported = new CopyOnWriteArrayList<>();
    private Network network;
    private HttpPool pool;
    private ServerSocket server;

    @BeforeMethod
    public void start() throws Exception {
        reported.clear();
        network = new Network(1);
        pool = new HttpPool(network, HttpPool.Reuse.NEVER, 5, 5, (peer, reason, bytes) -> reported.add(reason));
        server = new ServerSocket(0, 5, InetAddress.getByName("127.0.0.1"));
    }

    @AfterMethod(alwaysRun = true)
    public void stop() throws Exception {
        network.close();
        server.close();
    }

    private CompletableFuture<String> exchange(byte[] body) {
        CompletableFuture<String> end = new CompletableFuture<>();
        pool.exchange(
                (InetSocketAddress) server.getLocalSocketAddress(),
                HttpMessage.request("POST", "/x", body, "Host", "a"),
                () -> true,
                new HttpPool.Listener() {
                    @Override
                    public void answered(HttpMessage response) {
                        end.complete("answered " + response.status());
                    }

                    @Override
                    public void answeredInDoubt(HttpMessage response) {
                        end.complete("in doubt " + response.status());
                    }

                    @Override
                    public void ended(CallEnd why, int statusLineCode) {
                        end.complete(why.name());
                    }
                });
        return end;
    }

    private static void write(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
    }

    /** Guards against a response that starts before the request is written completely and counts as its response. */
    @Test
    public void responseBeforeEndOfRequestIsNone() throws Exception {
        CompletableFuture<String> end = exchange(new byte[LARGE_REQUEST_BYTES]);
        try (Socket peer = server.accept()) {
            peer.getInputStream().read(); // the write of the request has begun
            Thread.sleep(100); // and waits for room
            write(peer, OK);
            assertEquals(end.get(5, TimeUnit.SECONDS), "NOT_CONNECTED");
            assertEquals(reported, List.of(UnexpectedInputListener.Reason.BEFORE_REQUEST_END));
        }
    }

    /** Guards against a refusal that counts as proof although further bytes came with it. */
    @Test
    public void responseWithBytesBehindItIsInDoubt() throws Exception {
        CompletableFuture<String> end = exchange(new byte[0]);
        try (Socket peer = server.accept()) {
            peer.getInputStream().read();
            write(peer, REFUSED + OK);
            assertEquals(end.get(5, TimeUnit.SECONDS), "in doubt 503");
            assertEquals(reported, List.of(UnexpectedInputListener.Reason.BEHIND_RESPONSE));
        }
    }

    /** Guards against a second exchange on a connection, whose response could be a copy of the first one. */
    @Test
    public void connectionCarriesOneExchange() throws Exception {
        CompletableFuture<String> first = exchange(new byte[0]);
        try (Socket peer = server.accept()) {
            peer.getInputStream().read();
            write(peer, REFUSED);
            assertEquals(first.get(5, TimeUnit.SECONDS), "answered 503");
            CompletableFuture<String> second = exchange(new byte[0]);
            try (Socket secondPeer = server.accept()) {
                write(peer, REFUSED);
                secondPeer.getInputStream().read();
                write(secondPeer, OK);
                assertEquals(second.get(5, TimeUnit.SECONDS), "answered 200");
            }
        }
    }
}
