package juniperusher.faults;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import org.testng.annotations.Test;

/** Guards against a ledger that misses a message sent again after the relay had read that it is delivered. */
public class MessageLedgerTest {
    private static final byte[] ANSWER = {1, 2, 3};
    private static final long SETTLE_MILLIS = 400; // more than the ledger waits

    private final MessageLedger ledger = new MessageLedger();

    /** What the relay does with the answer that the message is delivered. */
    private interface RelaySide {
        void run(Socket socket) throws Exception;
    }

    private List<String> violationsAfterRepeat(String id, RelaySide relay, boolean killed) throws Exception {
        ledger.submitted(id, false, System.nanoTime() + 1_000_000_000L);
        ledger.accepted(id);
        try (ServerSocket server = new ServerSocket(0, 5, InetAddress.getByName("127.0.0.1"));
                Socket first = new Socket(server.getInetAddress(), server.getLocalPort());
                Socket endpoint = server.accept();
                Socket second = new Socket(server.getInetAddress(), server.getLocalPort())) {
            TcpConnections.EndPorts call = new TcpConnections.EndPorts(endpoint.getLocalPort(), endpoint.getPort());
            ledger.callStarted(id, call);
            ledger.delivered(id, call);
            endpoint.getOutputStream().write(ANSWER);
            ledger.deliveryAnswered(id, call);
            relay.run(first);
            awaitEnd(endpoint);
            if (killed) {
                long fromNanos = System.nanoTime();
                ledger.outageStarted(fromNanos, Long.MAX_VALUE / 2);
                ledger.outageEnded(fromNanos);
            }
            ledger.callStarted(id, new TcpConnections.EndPorts(server.getLocalPort(), second.getLocalPort()));
            Thread.sleep(SETTLE_MILLIS);
        }
        return ledger.checkRules().stream().filter(rule -> rule.contains(id)).toList();
    }

    private static void awaitEnd(Socket endpoint) {
        try {
            assertEquals(endpoint.getInputStream().read(), -1);
        } catch (IOException e) {
            return; // reset
        }
    }

    private static void readAndClose(Socket socket) throws IOException {
        assertEquals(socket.getInputStream().readNBytes(ANSWER.length), ANSWER);
        socket.close();
    }

    @Test
    public void repeatAfterTheAnswerWasReadIsAViolation() throws Exception {
        List<String> violations = violationsAfterRepeat("read", MessageLedgerTest::readAndClose, false);
        assertEquals(violations.size(), 1);
        assertTrue(violations.get(0).startsWith("sent again though its delivery was read"), violations.get(0));
    }

    @Test
    public void repeatWithoutReadingTheAnswerIsNone() throws Exception {
        RelaySide closesUnread = socket -> {
            while (socket.getInputStream().available() < ANSWER.length) {
                Thread.sleep(1); // the answer is on its way
            }
            socket.close();
        };
        assertEquals(violationsAfterRepeat("unread", closesUnread, false), List.of());
    }

    @Test
    public void repeatAfterAKillIsNone() throws Exception {
        assertEquals(violationsAfterRepeat("killed", MessageLedgerTest::readAndClose, true), List.of());
    }
}
