package juniperusher.net;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.io.Closeable;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import juniperusher.TestPorts;
import juniperusher.memory.HeapShares;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * The end of inbound connections while input arrives. A handler blocks the selector thread, so that input which has
 * arrived stays unread; such orders of events would otherwise occur only by chance.
 */
public class HttpServerConnectionTest {
    private static final String HOLD_PATH = "/hold";
    private static final String LONG_PATH = "/long"; // whose response needs two blocks of memory
    private static final int DESCRIPTORS = 64; // this bounds the connections to 28
    private static final long REQUEST_BYTES = 24 * 1024;

    private final List<String> handledPaths = new CopyOnWriteArrayList<>();
    private final List<String> unansweredPaths = new CopyOnWriteArrayList<>();
    private CountDownLatch handlerBlocked;
    private CountDownLatch releaseHandler;
    private Network network;
    private Closeable listener;
    private int port;

    @BeforeMethod
    public void startListener() throws Exception {
        handledPaths.clear();
        unansweredPaths.clear();
        handlerBlocked = new CountDownLatch(1);
        releaseHandler = new CountDownLatch(1);
        network = new Network(1, DESCRIPTORS, new HeapShares(REQUEST_BYTES, 0, 0));
        port = TestPorts.unused();
        listener = network.listen(
                new InetSocketAddress("127.0.0.1", port),
                endPoint -> new HttpServerConnection(endPoint, network, 1024, new HttpServerConnection.Handler() {
                    @Override
                    public void handle(HttpMessage request, HttpServerConnection.Responder responder) {
                        handledPaths.add(request.path());
                        if (request.path().equals(HOLD_PATH)) {
                            handlerBlocked.countDown();
                            await(releaseHandler);
                        }
                        String content = request.path().equals(LONG_PATH) ? "x".repeat(5_000) : "";
                        if (!responder.respond(HttpMessage.response(200, content))) {
                            unansweredPaths.add(request.path());
                        }
                    }

                    @Override
                    public boolean closesConnections() {
                        return false;
                    }
                }));
    }

    @AfterMethod(alwaysRun = true)
    public void close() throws Exception {
        releaseHandler.countDown();
        listener.close();
        network.close();
    }

    private static void await(CountDownLatch latch) {
        try {
            assertTrue(latch.await(10, TimeUnit.SECONDS), "the awaited event did not occur");
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    private static void awaitCondition(BooleanSupplier condition, String failure) throws InterruptedException {
        for (int i = 0; !condition.getAsBoolean(); i++) {
            assertTrue(i < 1_000, failure);
            Thread.sleep(5);
        }
    }

    private Socket connect() throws IOException {
        Socket socket = new Socket("127.0.0.1", port);
        socket.setSoTimeout(10_000);
        socket.setTcpNoDelay(true);
        return socket;
    }

    private static void send(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    private static String getRequest(String path) {
        return "GET " + path + " HTTP/1.1\r\nHost: a\r\n\r\n";
    }

    /** Reads a response's head up to the empty line, or what has arrived if the connection ends before that. */
    private static String readHead(Socket socket) throws IOException {
        StringBuilder head = new StringBuilder();
        while (head.indexOf("\r\n\r\n") < 0) {
            int next = socket.getInputStream().read();
            if (next < 0) {
                break;
            }
            head.append((char) next);
        }
        return head.toString();
    }

    /** Opens a connection that is idle after one answered request. */
    private Socket connectIdle() throws Exception {
        Socket socket = connect();
        send(socket, getRequest("/first"));
        assertTrue(readHead(socket).startsWith("HTTP/1.1 200"));
        return socket;
    }

    /** Blocks the selector thread in a handler, so that no input is read until {@code releaseHandler}. */
    private Socket blockSelector() throws Exception {
        Socket socket = connect();
        send(socket, getRequest(HOLD_PATH));
        await(handlerBlocked);
        return socket;
    }

    /** Guards against a connection that is read for as long as it has input, while all others wait. */
    @Test
    public void connectionWithManyRequestsIsLeftForOthersAfterEachOne() throws Exception {
        int pipelined = 200; // all of them fit into the connection's buffer
        try (Socket busy = connectIdle();
                Socket other = connectIdle()) {
            handledPaths.clear();
            send(busy, getRequest(HOLD_PATH) + getRequest("/busy").repeat(pipelined));
            await(handlerBlocked);
            send(other, getRequest("/other"));
            releaseHandler.countDown();
            assertTrue(readHead(other).startsWith("HTTP/1.1 200"));
            awaitCondition(() -> handledPaths.size() == pipelined + 2, "not all requests were handled");
            int position = handledPaths.indexOf("/other");
            assertTrue(position <= 3, "the other connection's request was handled at position " + position);
        }
    }

    /** Guards against requests that are handled after their client has left with much still unread. */
    @Test
    public void requestsOfAClientThatHasLeftAreNotHandledButForOneWhichIsReportedUnanswered() throws Exception {
        try (Socket left = connectIdle();
                Socket blocking = blockSelector()) {
            handledPaths.clear();
            send(left, getRequest("/left").repeat(2_000));
            left.setSoLinger(true, 0);
            left.close();
            Thread.sleep(100); // the reset has arrived
            releaseHandler.countDown();
            assertTrue(readHead(blocking).startsWith("HTTP/1.1 200"));
            awaitCondition(() -> network.inboundConnections().size() == 1, "the connection was not closed");
            assertTrue(handledPaths.size() <= 1, "handled: " + handledPaths.size());
            assertEquals(unansweredPaths, handledPaths);
        }
    }

    private static String incompleteRequest(int announcedBytes, int sentBytes) {
        return "POST /slow HTTP/1.1\r\nHost: a\r\nContent-Length: " + announcedBytes + "\r\n\r\n"
                + "x".repeat(sentBytes);
    }

    /** Guards against incomplete requests that use up the heap: the oldest are refused, others pass. */
    @Test
    public void oldestIncompleteRequestsAreRefusedWhenTheirMemoryIsUsedUp() throws Exception {
        List<Socket> slow = new ArrayList<>();
        RequestMemory memory = network.requestMemory();
        try {
            for (int i = 0; i < 8; i++) { // of which six fit
                Socket socket = connect();
                slow.add(socket);
                send(socket, incompleteRequest(1_000, 900));
                long expected = Math.min(i + 1, REQUEST_BYTES / 4_096);
                awaitCondition(
                        () -> memory.budget().reservedBytes() >= expected * 4_096,
                        "the request's memory was not reserved");
            }
            try (Socket sound = connectIdle()) { // takes the memory of a third one
                send(sound, getRequest("/sound"));
                assertTrue(readHead(sound).startsWith("HTTP/1.1 200"));
            }
            for (int i = 0; i < 3; i++) {
                String answer = readHead(slow.get(i));
                assertTrue(answer.startsWith("HTTP/1.1 503") && answer.contains("Connection: close"), answer);
            }
            send(slow.get(7), "x".repeat(100));
            assertTrue(readHead(slow.get(7)).startsWith("HTTP/1.1 200"));
            assertTrue(memory.budget().reservedBytes() <= REQUEST_BYTES);
        } finally {
            for (Socket socket : slow) {
                socket.close();
            }
        }
        awaitCondition(() -> memory.budget().reservedBytes() == 0, "memory of closed connections stays reserved");
    }

    /** Guards against a response that is refused for want of memory which incomplete requests hold. */
    @Test
    public void incompleteRequestsMakeRoomForResponses() throws Exception {
        List<Socket> slow = new ArrayList<>();
        try {
            for (int i = 0; i < REQUEST_BYTES / 4_096; i++) {
                Socket socket = connect();
                slow.add(socket);
                send(socket, incompleteRequest(1_000, 900));
            }
            long full = REQUEST_BYTES;
            awaitCondition(() -> network.requestMemory().budget().reservedBytes() == full, "the memory is not used up");
            try (Socket sound = connect()) {
                send(sound, getRequest(LONG_PATH));
                assertTrue(readHead(sound).startsWith("HTTP/1.1 200"));
            }
        } finally {
            for (Socket socket : slow) {
                socket.close();
            }
        }
        awaitCondition(
                () -> network.requestMemory().budget().reservedBytes() == 0, "memory of responses stays reserved");
    }

    /** Guards against a head of very many short fields, whose objects take many times its bytes. */
    @Test
    public void headWithTooManyFieldsIsRefusedBeforeItsEnd() throws Exception {
        try (Socket socket = connect()) {
            send(socket, "GET /first HTTP/1.1\r\n" + "a:b\r\n".repeat(150));
            String answer = readHead(socket);
            assertTrue(answer.startsWith("HTTP/1.1 431") && answer.contains("Connection: close"), answer);
            assertEquals(handledPaths, List.of());
        }
    }

    @Test
    public void requestThatArrivesAsConnectionIsShedIsAnswered() throws Exception {
        try (Socket idle = connectIdle();
                Socket blocking = blockSelector()) {
            send(idle, getRequest("/crossing"));
            network.inboundConnections().closeAll(true);
            String answer = readHead(idle);
            assertTrue(answer.startsWith("HTTP/1.1 200") && answer.contains("Connection: close"), answer);
            assertEquals(idle.getInputStream().read(), -1);
            assertEquals(handledPaths, List.of("/first", HOLD_PATH, "/crossing"));
        }
    }

    @Test
    public void requestThatArrivesAsIdleTimeoutExpiresIsAnswered() throws Exception {
        try (Socket idle = connectIdle();
                Socket blocking = blockSelector()) {
            send(idle, getRequest("/crossing"));
            String answer = readHead(idle); // comes when the idle timeout of 2 s expires; the selector is blocked
            assertEquals(releaseHandler.getCount(), 1);
            assertTrue(answer.startsWith("HTTP/1.1 200"), answer);
        }
    }

    @Test
    public void requestAfterOutputShutdownIsDiscardedWithoutReset() throws Exception {
        try (Socket idle = connectIdle()) {
            network.inboundConnections().closeAll(true);
            assertEquals(idle.getInputStream().read(), -1);
            send(idle, getRequest("/late"));
            idle.shutdownOutput();
            awaitCondition(
                    () -> network.inboundConnections().size() == 0,
                    "the connection stays open after its client closed");
            assertEquals(idle.getInputStream().read(), -1); // no reset
            assertEquals(handledPaths, List.of("/first"));
        }
    }

    @Test
    public void connectionClosesThoughClientNeverCloses() throws Exception {
        try (Socket idle = connectIdle()) {
            network.inboundConnections().closeAll(true);
            awaitCondition(() -> network.inboundConnections().size() == 0, "the connection stays open");
        }
    }

    @Test
    public void incompleteRequestGets503WhenConnectionIsShed() throws Exception {
        try (Socket incomplete = connect()) {
            send(incomplete, getRequest("/never").substring(0, 12));
            awaitCondition(() -> network.inboundConnections().size() == 1, "the connection was not accepted");
            network.inboundConnections().closeAll(false);
            assertTrue(readHead(incomplete).startsWith("HTTP/1.1 503"));
            assertEquals(handledPaths, List.of());
        }
    }

    @Test
    public void requestInHandlerIsAnsweredBeforeConnectionEnds() throws Exception {
        try (Socket blocking = blockSelector()) {
            network.inboundConnections().closeAll(false);
            assertFalse(blocking.getInputStream().available() > 0);
            releaseHandler.countDown();
            String answer = readHead(blocking);
            assertTrue(answer.startsWith("HTTP/1.1 200") && answer.contains("Connection: close"), answer);
        }
    }

    @Test
    public void connectionsShedAtTheBoundEndWithoutReset() throws Exception {
        Socket[] sockets = new Socket[40];
        try {
            for (int i = 0; i < sockets.length; i++) {
                sockets[i] = connectIdle();
            }
            for (Socket socket : sockets) {
                // Each connection has received its response, so it ends without a reset.
                if (socket.getInputStream().available() == 0) {
                    socket.shutdownOutput();
                }
                assertEquals(socket.getInputStream().read(), -1);
            }
        } finally {
            for (Socket socket : sockets) {
                if (socket != null) {
                    socket.close();
                }
            }
        }
    }
}
