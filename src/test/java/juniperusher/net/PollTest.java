package juniperusher.net;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import juniperusher.core.CallEnd;
import org.testng.annotations.Test;

/** Polling an exchange reads a response that has arrived even while the selector is busy. */
public class PollTest {
    private static final byte[] RESPONSE =
            "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n".getBytes(StandardCharsets.US_ASCII);

    private static HttpPool.Listener listener(CompletableFuture<Integer> status, CountDownLatch release) {
        return new HttpPool.Listener() {
            @Override
            public void answered(HttpMessage response) {
                status.complete(response.status());
                try {
                    release.await(10, TimeUnit.SECONDS);
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
            }

            @Override
            public void ended(CallEnd end, int statusLineCode) {
                status.completeExceptionally(new IllegalStateException(end.toString()));
            }
        };
    }

    @Test
    public void pollReadsResponseWhileSelectorIsBusy() throws Exception {
        assertReadWhileSelectorIsBusy(HttpPool.Exchange::poll);
    }

    /** Guards against a call that counts as timed out, and is repeated, though its response had arrived in time. */
    @Test
    public void timeoutReadsResponseThatHasArrived() throws Exception {
        assertReadWhileSelectorIsBusy(exchange -> exchange.abandon(CallEnd.TIMED_OUT));
    }

    private static void assertReadWhileSelectorIsBusy(Consumer<HttpPool.Exchange> read) throws Exception {
        CountDownLatch releaseSelector = new CountDownLatch(1);
        try (ServerSocket server = new ServerSocket(0, 5, InetAddress.getByName("127.0.0.1"));
                Network network = new Network(1)) {
            HttpPool pool = new HttpPool(network, 5, 5);
            InetSocketAddress address = new InetSocketAddress("127.0.0.1", server.getLocalPort());
            HttpMessage request = HttpMessage.request("GET", "/", new byte[0], "Host", "a");
            CompletableFuture<Integer> first = new CompletableFuture<>();
            CompletableFuture<Integer> second = new CompletableFuture<>();
            pool.exchange(address, request, () -> true, listener(first, releaseSelector));
            try (Socket firstSocket = server.accept()) {
                firstSocket.getInputStream().read(); // the first exchange has this connection and not the next one
                HttpPool.Exchange polled =
                        pool.exchange(address, request, () -> true, listener(second, new CountDownLatch(0)));
                try (Socket secondSocket = server.accept()) {
                    secondSocket.getInputStream().read(); // waits until its request is written
                    firstSocket.getOutputStream().write(RESPONSE);
                    assertEquals(first.get(2, TimeUnit.SECONDS), (Integer) 200);
                    secondSocket.getOutputStream().write(RESPONSE);
                    Thread.sleep(100);
                    assertFalse(second.isDone(), "the selector is not busy");
                    read.accept(polled);
                    assertEquals(second.getNow(0), (Integer) 200);
                }
            } finally {
                releaseSelector.countDown();
            }
        }
    }
}
