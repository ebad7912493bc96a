package juniperusher.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import juniperusher.TestPorts;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests the event loop and its connections on loopback sockets: limits, timers, and failures of one connection. */
class EventLoopTest {
    private static final int MAX_BYTES = 256 * 1024;
    private static final long TIMEOUT_SECONDS = 10;

    private EventLoop loop;

    /** Records the events of a connection. */
    private static class Recorder implements Connection.Handler {
        final BlockingQueue<String> events = new LinkedBlockingQueue<>();
        Connection connection;

        @Override
        public void opened(Connection opened) {
            connection = opened;
            events.add("opened");
        }

        @Override
        public void received(ByteBuffer input) {
            byte[] bytes = new byte[input.remaining()];
            input.get(bytes);
            events.add(new String(bytes, StandardCharsets.US_ASCII));
        }

        @Override
        public void closed(String reason) {
            events.add("closed");
        }

        String nextEvent() throws InterruptedException {
            String event = events.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS);
            assertNotNull(event, "no event in time");
            return event;
        }
    }

    @BeforeEach
    void start() throws Exception {
        loop = new EventLoop("test", 64);
        loop.start();
    }

    @AfterEach
    void close() {
        loop.close();
    }

    private <T> T onLoop(Callable<T> task) throws Exception {
        CompletableFuture<T> result = new CompletableFuture<>();
        loop.execute(() -> {
            try {
                result.complete(task.call());
            } catch (Exception e) {
                result.completeExceptionally(e);
            }
        });
        return result.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }

    private EventLoop.Listener listen(Recorder server, int maxAccepted) throws Exception {
        return onLoop(() ->
                loop.listen(new InetSocketAddress("127.0.0.1", 0), () -> server, maxAccepted, MAX_BYTES, MAX_BYTES));
    }

    private Recorder dial(InetSocketAddress address) throws Exception {
        Recorder client = new Recorder();
        onLoop(() -> loop.connect(address, 5, client, MAX_BYTES, MAX_BYTES));
        return client;
    }

    private static ByteBuffer text(String text) {
        return ByteBuffer.wrap(text.getBytes(StandardCharsets.US_ASCII));
    }

    @Test
    void bytesFlowBothWaysAndCloseIsReported() throws Exception {
        Recorder server = new Recorder();
        Recorder client = dial(listen(server, 8).address());
        assertEquals("opened", client.nextEvent());
        assertEquals("opened", server.nextEvent());
        assertTrue(onLoop(() -> client.connection.send(text("ask"))));
        assertEquals("ask", server.nextEvent());
        assertTrue(onLoop(() -> server.connection.send(text("answer"))));
        assertEquals("answer", client.nextEvent());
        loop.execute(() -> client.connection.close("done"));
        assertEquals("closed", client.nextEvent());
        assertEquals("closed", server.nextEvent());
        assertEquals(0, onLoop(loop::connections));
    }

    @Test
    void connectionBeyondLimitIsClosedAndOthersStayOpen() throws Exception {
        Recorder server = new Recorder();
        EventLoop.Listener listener = listen(server, 1);
        Recorder first = dial(listener.address());
        assertEquals("opened", first.nextEvent());
        assertEquals("opened", server.nextEvent());
        Recorder second = dial(listener.address());
        assertEquals("opened", second.nextEvent());
        assertEquals("closed", second.nextEvent());
        assertEquals(1, onLoop(listener::refusedConnections));
        loop.execute(() -> first.connection.send(text("still here")));
        assertEquals("still here", server.nextEvent());
    }

    @Test
    void outputToUnreadPeerIsBoundedAndOthersProceed() throws Exception {
        Recorder server = new Recorder();
        EventLoop.Listener listener = listen(server, 8);
        Recorder slow = dial(listener.address());
        assertEquals("opened", slow.nextEvent());
        assertEquals("opened", server.nextEvent());
        Connection toSlow = server.connection;
        onLoop(() -> {
            slow.connection.pauseReading();
            return null;
        });
        List<Long> queued = new ArrayList<>();
        int sent = onLoop(() -> {
            ByteBuffer block = ByteBuffer.allocate(16 * 1024);
            int accepted = 0;
            while (toSlow.send(block)) { // ends once the kernel's buffers, some MB, are full
                accepted++;
                queued.add(toSlow.queuedBytes());
            }
            return accepted;
        });
        assertTrue(sent > 0);
        assertTrue(queued.stream().allMatch(bytes -> bytes <= MAX_BYTES), "bounded: " + queued);
        assertFalse(onLoop(toSlow::isClosed));
        Recorder other = dial(listener.address());
        assertEquals("opened", other.nextEvent());
        assertEquals("opened", server.nextEvent());
        loop.execute(() -> server.connection.send(text("quick")));
        assertEquals("quick", other.nextEvent());
    }

    @Test
    void unconsumedInputIsKeptUpToLimit() throws Exception {
        Recorder server = new Recorder() {
            @Override
            public void received(ByteBuffer input) {
                events.add("kept " + input.remaining());
            }
        };
        EventLoop.Listener listener =
                onLoop(() -> loop.listen(new InetSocketAddress("127.0.0.1", 0), () -> server, 8, 8, MAX_BYTES));
        Recorder client = dial(listener.address());
        assertEquals("opened", client.nextEvent());
        assertEquals("opened", server.nextEvent());
        loop.execute(() -> client.connection.send(text("12345")));
        assertEquals("kept 5", server.nextEvent());
        loop.execute(() -> client.connection.send(text("678")));
        assertEquals("kept 8", server.nextEvent());
        loop.execute(() -> client.connection.send(text("9")));
        assertEquals("kept 9", server.nextEvent());
        assertEquals("closed", server.nextEvent());
    }

    @Test
    void failedConnectOrHandlerClosesOnlyItsConnection() throws Exception {
        InetSocketAddress closedPort = new InetSocketAddress("127.0.0.1", TestPorts.unused());
        assertEquals("closed", dial(closedPort).nextEvent());
        Recorder failing = new Recorder() {
            @Override
            public void received(ByteBuffer input) {
                throw new IllegalStateException("on purpose");
            }
        };
        Recorder client = dial(listen(failing, 8).address());
        assertEquals("opened", client.nextEvent());
        loop.execute(() -> client.connection.send(text("x")));
        assertEquals("closed", client.nextEvent());
        assertEquals("the loop goes on", onLoop(() -> "the loop goes on"));
    }

    @Test
    void timersRunInOrderAndCancelledOnesDoNotRun() throws Exception {
        BlockingQueue<String> ran = new LinkedBlockingQueue<>();
        loop.execute(() -> {
            loop.schedule(0.03, () -> ran.add("second"));
            loop.schedule(0.01, () -> ran.add("first"));
            loop.schedule(0.02, () -> ran.add("never")).cancel();
        });
        assertEquals("first", ran.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS));
        assertEquals("second", ran.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS));
    }
}
