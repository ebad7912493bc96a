package juniperusher.faults;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BooleanSupplier;

/** A client that hands messages in, one request at a time on a connection that it keeps. */
final class TrafficClient implements AutoCloseable {
    private static final int WAITS = 400; // ms for an answer
    private static final long MILLIS = 1_000_000; // ns
    /** Time within which a close by the relay may cross a request that it has not read. */
    private static final long CROSSES = 60 * MILLIS;
    /** Time around a signal in which the process may be gone with what it had read. */
    private static final long AROUND = 100 * MILLIS;

    private static final AtomicLong LAST = new AtomicLong();

    private final InetSocketAddress relay;
    private final MessageLedger ledger;
    private final BooleanSupplier mayConnect;
    private Socket socket;

    /** How a request ended. */
    enum Answer {
        TAKEN,
        REFUSED,
        OTHER,
        NONE,
        ENDED,
        UNREACHED
    }

    TrafficClient(InetSocketAddress relay, MessageLedger ledger) {
        this(relay, ledger, () -> true);
    }

    /** One that opens connections only while {@code mayConnect} says so. */
    TrafficClient(InetSocketAddress relay, MessageLedger ledger, BooleanSupplier mayConnect) {
        this.relay = relay;
        this.ledger = ledger;
        this.mayConnect = mayConnect;
    }

    static String newId() {
        return String.format("%016x", LAST.incrementAndGet());
    }

    /** Hands a message in, twice where its connection ended under it, and notes the answer in the ledger. */
    Answer handIn(int place, int destination, long budgetMillis, String id) {
        ledger.handedIn(id, place == 1, System.nanoTime() + budgetMillis * MILLIS);
        boolean kept = socket != null;
        long written = System.nanoTime();
        Answer answer = exchange(place, destination, budgetMillis, id);
        if (answer == Answer.ENDED && kept && System.nanoTime() - written < CROSSES) {
            written = System.nanoTime();
            answer = exchange(place, destination, budgetMillis, id); // the close has crossed it
        }
        switch (answer) {
            case TAKEN -> ledger.taken(id);
            case REFUSED -> ledger.refused(id);
            case ENDED -> endedWithoutAnswer(id, written);
            default -> {}
        }
        return answer;
    }

    private void endedWithoutAnswer(String id, long written) {
        if (!ledger.outageAt(System.nanoTime(), AROUND) && !ledger.outageAt(written, AROUND)) {
            ledger.broken("lost: its connection ended with no answer " + id);
        }
    }

    private Answer exchange(int place, int destination, long budgetMillis, String id) {
        if (socket == null && !mayConnect.getAsBoolean()) {
            return Answer.UNREACHED;
        }
        try {
            if (socket == null) {
                socket = new Socket();
                socket.setTcpNoDelay(true);
                socket.connect(relay, WAITS);
                socket.setSoTimeout(WAITS);
            }
        } catch (IOException e) {
            close();
            return Answer.UNREACHED;
        }
        try {
            String name = RelayUnderTest.CLASSES.get(place);
            String request = "POST /" + name + " HTTP/1.1\r\nHost: relay\r\nX-Call-Id: " + id + "\r\nX-Call-Class: "
                    + name + "\r\nX-Budget: " + budgetMillis + "m\r\nX-Envelope: dest=" + destination
                    + "\r\nContent-Length: 2\r\n\r\nab";
            socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
            return read(socket.getInputStream());
        } catch (SocketTimeoutException e) {
            close();
            return Answer.NONE;
        } catch (IOException e) {
            close();
            return Answer.ENDED;
        }
    }

    private Answer read(InputStream in) throws IOException {
        StringBuilder head = new StringBuilder();
        while (!head.toString().endsWith("\r\n\r\n")) {
            int b = in.read();
            if (b < 0) {
                throw new IOException("ended");
            }
            head.append((char) b);
        }
        if (head.toString().contains("Connection: close")) {
            close();
        }
        String status = head.substring(9, 12);
        return switch (status) {
            case "200", "202" -> Answer.TAKEN;
            case "429", "503" -> Answer.REFUSED;
            default -> Answer.OTHER;
        };
    }

    @Override
    public void close() {
        try {
            if (socket != null) {
                socket.close();
            }
        } catch (IOException e) {
            throw new IllegalStateException(e);
        } finally {
            socket = null;
        }
    }
}
