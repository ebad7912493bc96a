package juniperusher.net;

import static org.testng.Assert.assertEquals;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import juniperusher.core.CallEnd;
import org.eclipse.jetty.io.ByteArrayEndPoint;
import org.eclipse.jetty.io.Connection;
import org.testng.annotations.Test;

/**
 * A response that is received and acted upon while the writing thread has not yet returned from the write of the
 * request. This happens when that thread is descheduled, for example with a small CPU quota.
 */
public class EarlyAnswerTest {
    private static final InetSocketAddress ADDRESS = new InetSocketAddress("127.0.0.1", 1);
    private static final int EXCHANGES = 5;

    /** A network whose peer responds before the write of the request returns. */
    private static final class RespondsDuringWriteNetwork extends Network {
        private final List<ByteArrayEndPoint> opened = new CopyOnWriteArrayList<>();
        private final boolean resetAfterResponse;

        /** With {@code resetAfterResponse}, the peer resets the connection right after each response. */
        RespondsDuringWriteNetwork(boolean resetAfterResponse) throws Exception {
            super(1);
            this.resetAfterResponse = resetAfterResponse;
        }

        @Override
        public void connect(InetSocketAddress address, ConnectListener listener) {
            ByteArrayEndPoint endPoint = new ByteArrayEndPoint(scheduler(), 0) {
                private boolean responded;

                @Override
                public boolean flush(ByteBuffer... buffers) throws IOException {
                    boolean all = super.flush(buffers);
                    if (all && takeOutputString(StandardCharsets.US_ASCII).endsWith("\r\n\r\n")) {
                        responded = true;
                        addInput("HTTP/1.1 204 No Content\r\n\r\n");
                    }
                    return all;
                }

                @Override
                public int fill(ByteBuffer buffer) throws IOException {
                    int read = super.fill(buffer);
                    if (read == 0 && resetAfterResponse && responded) {
                        throw new IOException("Connection reset by peer");
                    }
                    return read;
                }

                @Override
                protected void execute(Runnable task) {
                    task.run(); // reads the response at once, within the write
                }
            };
            endPoint.setGrowOutput(true);
            opened.add(endPoint);
            Connection connection = listener.connected(endPoint);
            endPoint.setConnection(connection);
            endPoint.onOpen();
            connection.onOpen();
        }
    }

    @Test
    public void connectionIsReusedOnlyOnceItsWriteHasCompleted() throws Exception {
        try (RespondsDuringWriteNetwork network = new RespondsDuringWriteNetwork(false)) {
            HttpPool pool = reusingPool(network);
            List<String> ends = new ArrayList<>();
            CountDownLatch done = new CountDownLatch(1);
            runExchanges(pool, ends, done);
            done.await(5, TimeUnit.SECONDS);
            assertEquals(ends, java.util.Collections.nCopies(EXCHANGES, "204"));
            // The connection was kept after its write completed, and is reused.
            int openedBefore = network.opened.size();
            ends.clear();
            ends.addAll(java.util.Collections.nCopies(EXCHANGES - 1, "earlier"));
            runExchanges(pool, ends, new CountDownLatch(1));
            assertEquals(ends.get(EXCHANGES - 1), "204");
            assertEquals(network.opened.size(), openedBefore, "connections opened");
        }
    }

    @Test
    public void completeAnswerCountsDespiteResetAfterIt() throws Exception {
        try (RespondsDuringWriteNetwork network = new RespondsDuringWriteNetwork(true)) {
            List<String> ends = new ArrayList<>();
            runExchanges(reusingPool(network), ends, new CountDownLatch(1));
            assertEquals(ends, java.util.Collections.nCopies(EXCHANGES, "204"));
            assertEquals(network.opened.size(), EXCHANGES, "connections that were reset are not reused");
        }
    }

    private static HttpPool reusingPool(Network network) {
        return new HttpPool(network, HttpPool.Reuse.TRUSTED_PEER, 10, 8, UnexpectedInputListener.NONE);
    }

    private static void runExchanges(HttpPool pool, List<String> ends, CountDownLatch done) {
        pool.exchange(
                ADDRESS,
                HttpMessage.request("GET", "/discovery/hosts", new byte[0], "Host", "a"),
                () -> true,
                new HttpPool.Listener() {
                    @Override
                    public void answered(HttpMessage response) {
                        recordEnd(Integer.toString(response.status()));
                    }

                    @Override
                    public void ended(CallEnd end, int statusLineCode) {
                        recordEnd(end.name());
                    }

                    private void recordEnd(String end) {
                        ends.add(end);
                        if (ends.size() < EXCHANGES) {
                            runExchanges(pool, ends, done);
                        } else {
                            done.countDown();
                        }
                    }
                });
    }
}
