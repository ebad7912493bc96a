package juniperusher.net;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.CyclicBarrier;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.LinkedBlockingQueue;
import juniperusher.core.CallEnd;
import org.eclipse.jetty.io.ByteArrayEndPoint;
import org.eclipse.jetty.io.Connection;
import org.testng.annotations.Test;

/** Connections that are established while their exchange is being abandoned. */
public class LateConnectTest {
    private static final InetSocketAddress ADDRESS = new InetSocketAddress("127.0.0.1", 1);
    private static final int ROUNDS = 20_000; // enough for each of the two orders to occur many times
    private static final long SEED = 20261202;
    private static final int MAX_SHIFT_NANOS = 40_000; // delay of the abandonment against the connection

    /** A network whose connections are established only by {@link #completeConnect}. */
    private static final class ManualConnectNetwork extends Network {
        private final BlockingQueue<ConnectListener> listeners = new LinkedBlockingQueue<>();

        ManualConnectNetwork() throws Exception {
            super(1);
        }

        @Override
        public void connect(InetSocketAddress address, ConnectListener listener) {
            listeners.add(listener);
        }

        ByteArrayEndPoint completeConnect() throws InterruptedException {
            ByteArrayEndPoint endPoint = new ByteArrayEndPoint(scheduler(), 0);
            endPoint.setGrowOutput(true);
            Connection connection = listeners.take().connected(endPoint);
            endPoint.setConnection(connection);
            endPoint.onOpen();
            connection.onOpen();
            return endPoint;
        }
    }

    private static HttpPool.Exchange exchange(HttpPool pool, List<CallEnd> ends) {
        return pool.exchange(
                ADDRESS,
                HttpMessage.request("GET", "/x", new byte[0], "Host", "a"),
                () -> true,
                new HttpPool.Listener() {
                    @Override
                    public void answered(HttpMessage response) {
                        ends.add(CallEnd.DELIVERED);
                    }

                    @Override
                    public void ended(CallEnd end, int statusLineCode) {
                        ends.add(end);
                    }
                });
    }

    @Test
    public void exchangeAbandonedBeforeConnectIsNeverSent() throws Exception {
        try (ManualConnectNetwork network = new ManualConnectNetwork()) {
            HttpPool pool = new HttpPool(network, 10, 8);
            List<CallEnd> ends = new ArrayList<>();
            exchange(pool, ends).abandon(CallEnd.TIMED_OUT);
            ByteArrayEndPoint endPoint = network.completeConnect();
            assertEquals(ends, List.of(CallEnd.NOT_CONNECTED));
            assertEquals(endPoint.getOutputString(), "");
            assertTrue(endPoint.isOpen(), "the connection should stay open for another exchange");
            exchange(pool, ends);
            assertTrue(endPoint.getOutputString().startsWith("GET /x"), "the connection was not reused");
        }
    }

    /** Once the end is reported, either no byte was sent or the connection is closed. */
    @Test
    public void abandonRacingConnectLeavesNothingInFlight() throws Exception {
        ExecutorService threads = Executors.newFixedThreadPool(2);
        try (ManualConnectNetwork network = new ManualConnectNetwork()) {
            HttpPool pool = new HttpPool(network, 10, 8);
            SplittableRandom random = new SplittableRandom(SEED);
            for (int round = 0; round < ROUNDS; round++) {
                long shiftNanos = random.nextInt(MAX_SHIFT_NANOS);
                List<CallEnd> ends = new ArrayList<>();
                HttpPool.Exchange exchange = exchange(pool, ends);
                CyclicBarrier start = new CyclicBarrier(2);
                CountDownLatch done = new CountDownLatch(2);
                Future<ByteArrayEndPoint> connected = threads.submit(() -> {
                    start.await();
                    ByteArrayEndPoint endPoint = network.completeConnect();
                    done.countDown();
                    return endPoint;
                });
                threads.submit(() -> {
                    start.await();
                    for (long from = System.nanoTime(); System.nanoTime() - from < shiftNanos; ) {
                        Thread.onSpinWait();
                    }
                    exchange.abandon(CallEnd.TIMED_OUT);
                    done.countDown();
                    return null;
                });
                done.await();
                ByteArrayEndPoint endPoint = connected.get();
                boolean requestSent = !endPoint.getOutputString().isEmpty();
                assertEquals(ends.size(), 1, "round " + round);
                assertTrue(
                        ends.get(0) == CallEnd.NOT_CONNECTED ? !requestSent : !endPoint.isOpen(),
                        "seed " + SEED + " round " + round + ": " + ends + ", open=" + endPoint.isOpen() + ", left="
                                + requestSent);
                pool.closeIdle(ADDRESS, 0);
            }
        } finally {
            threads.shutdownNow();
        }
    }
}
