package juniperusher.net;

import static org.testng.Assert.assertEquals;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import juniperusher.core.CallEnd;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Guards against a call that never ends, and takes its slot for good, because its answer could not be handled. */
public class FailingListenerTest {
    private static final int TIMEOUT_SECONDS = 5;

    @DataProvider
    public Object[][] failures() {
        return new Object[][] {
            {new StackOverflowError(), ""},
            {new IllegalStateException("no result"), ""},
            {new StackOverflowError(), "stray bytes"}
        };
    }

    @Test(dataProvider = "failures")
    public void exchangeEndsThoughItsListenerThrows(Throwable failure, String behind) throws Exception {
        Network network = new Network(1);
        try (ServerSocket server = new ServerSocket(0, 5, InetAddress.getByName("127.0.0.1"))) {
            CompletableFuture<CallEnd> end = new CompletableFuture<>();
            new HttpPool(network, 5, 5)
                    .exchange(
                            (InetSocketAddress) server.getLocalSocketAddress(),
                            HttpMessage.request("POST", "/x", new byte[0], "Host", "a"),
                            () -> true,
                            new HttpPool.Listener() {
                                @Override
                                public void answered(HttpMessage response) {
                                    FailingListenerTest.<RuntimeException>sneak(failure);
                                }

                                @Override
                                public void ended(CallEnd reason, int statusLineCode) {
                                    end.complete(reason);
                                }
                            });
            try (Socket peer = server.accept()) {
                peer.getInputStream().read(new byte[1_000]);
                String answer = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n" + behind;
                peer.getOutputStream().write(answer.getBytes(StandardCharsets.US_ASCII));
                assertEquals(end.get(TIMEOUT_SECONDS, TimeUnit.SECONDS), CallEnd.SPOILT);
            }
        } finally {
            network.close();
        }
    }

    @SuppressWarnings("unchecked")
    private static <T extends Throwable> void sneak(Throwable failure) throws T {
        throw (T) failure;
    }
}
