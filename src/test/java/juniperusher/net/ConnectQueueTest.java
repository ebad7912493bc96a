package juniperusher.net;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotNull;
import static org.testng.Assert.assertNull;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import juniperusher.core.CallEnd;
import org.eclipse.jetty.io.ByteArrayEndPoint;
import org.eclipse.jetty.io.Connection;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Which exchange gets which connection, if connections are established late or not at all. */
public class ConnectQueueTest {
    private static final InetSocketAddress ADDRESS = new InetSocketAddress("127.0.0.1", 1);
    private static final long QUIET_MILLIS = 300; // several delays of a hedge

    private ManualNetwork network;
    private HttpPool pool;
    private List<String> ends;

    /** A network on which the test decides when and how each attempt ends. */
    private static final class ManualNetwork extends Network {
        private final BlockingQueue<ConnectListener> attempts = new LinkedBlockingQueue<>();

        ManualNetwork() throws Exception {
            super(1);
        }

        @Override
        public void connect(InetSocketAddress address, ConnectListener listener) {
            attempts.add(listener);
        }

        ConnectListener nextAttempt() throws InterruptedException {
            return attempts.poll(5, TimeUnit.SECONDS);
        }

        ByteArrayEndPoint establish(ConnectListener attempt) {
            ByteArrayEndPoint endPoint = new ByteArrayEndPoint(scheduler(), 0);
            endPoint.setGrowOutput(true);
            Connection connection = attempt.connected(endPoint);
            endPoint.setConnection(connection);
            endPoint.onOpen();
            connection.onOpen();
            return endPoint;
        }
    }

    @BeforeMethod
    public void start() throws Exception {
        network = new ManualNetwork();
        pool = new HttpPool(network, 10, 8);
        ends = new CopyOnWriteArrayList<>();
    }

    @AfterMethod(alwaysRun = true)
    public void stop() {
        network.close();
    }

    private HttpPool.Exchange exchange(String path, boolean mayHedge) {
        return pool.exchange(
                ADDRESS,
                HttpMessage.request("GET", path, new byte[0], "Host", "a"),
                () -> true,
                new HttpPool.Listener() {
                    @Override
                    public boolean mayHedgeConnect() {
                        return mayHedge;
                    }

                    @Override
                    public void answered(HttpMessage response) {
                        ends.add(path + " answered");
                    }

                    @Override
                    public void ended(CallEnd why, int statusLineCode) {
                        ends.add(path + ' ' + why);
                    }
                });
    }

    private static String requestLine(ByteArrayEndPoint endPoint) {
        return endPoint.getOutputString().lines().findFirst().orElse("");
    }

    /** Guards against a call that waits for a connection that comes up late while another could be open. */
    @Test
    public void lateConnectIsHedgedAndItsConnectionCarriesTheNextExchange() throws Exception {
        exchange("/one", true);
        Network.ConnectListener late = network.nextAttempt();
        ByteArrayEndPoint hedge = network.establish(network.nextAttempt());
        assertEquals(requestLine(hedge), "GET /one HTTP/1.1");
        ByteArrayEndPoint kept = network.establish(late);
        assertEquals(requestLine(kept), "");
        exchange("/two", true);
        assertEquals(requestLine(kept), "GET /two HTTP/1.1");
        assertNull(network.attempts.poll(QUIET_MILLIS, TimeUnit.MILLISECONDS), "a further connection");
    }

    @Test
    public void otherExchangesAreNotHedged() throws Exception {
        exchange("/one", false);
        assertNotNull(network.nextAttempt());
        assertNull(network.attempts.poll(QUIET_MILLIS, TimeUnit.MILLISECONDS), "a further connection");
    }

    /** Guards against an exchange that waits for good because the connection that it opened went to another. */
    @Test
    public void exchangeWhoseConnectionWentToAnotherTakesOverItsAttempt() throws Exception {
        exchange("/one", false);
        exchange("/two", false);
        Network.ConnectListener first = network.nextAttempt();
        ByteArrayEndPoint second = network.establish(network.nextAttempt());
        assertEquals(requestLine(second), "GET /one HTTP/1.1", "the one that has waited longest");
        first.failed(new IOException("refused"));
        assertEquals(ends, List.of("/two NOT_CONNECTED"));
    }

    /** Guards against a refused connection that is known only once the hedges have failed, too. */
    @Test
    public void failureOfItsOwnAttemptEndsAnExchange() throws Exception {
        exchange("/one", true);
        Network.ConnectListener own = network.nextAttempt();
        Network.ConnectListener hedge = network.nextAttempt();
        own.failed(new IOException("timed out"));
        assertEquals(ends, List.of("/one NOT_CONNECTED"));
        assertEquals(requestLine(network.establish(hedge)), "", "an exchange that has ended is not sent");
    }

    @Test
    public void exchangeThatEndedBeforeItsConnectionIsPassedOver() throws Exception {
        exchange("/one", false).abandon(CallEnd.TIMED_OUT);
        exchange("/two", false);
        ByteArrayEndPoint first = network.establish(network.nextAttempt());
        assertEquals(requestLine(first), "GET /two HTTP/1.1");
        assertEquals(ends, List.of("/one NOT_CONNECTED"));
    }
}
