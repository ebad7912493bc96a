package juniperusher.fleet;

import java.io.IOException;
import java.net.SocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.SocketChannel;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * A non-blocking TCP connection with bounded input and output. Used on the thread of its {@link EventLoop} alone.
 * What its peer does not read waits in a queue of at most {@code maxOutput} bytes; {@link #send} refuses what
 * goes beyond. What its handler does not consume is kept up to {@code maxInput} bytes; more closes the connection.
 */
public final class Connection {
    private static final Logger LOG = LoggerFactory.getLogger(Connection.class);
    private static final int GATHER = 16; // buffers in one write

    private final EventLoop loop;
    private final Handler handler;
    private final int maxInput;
    private final int maxOutput;
    private final Runnable whenClosed;
    private final Deque<ByteBuffer> output = new ArrayDeque<>();
    private SocketChannel channel;
    private SelectionKey key;
    private EventLoop.Timer connectTimeout;
    private byte[] rest = new byte[0]; // input that the handler has not consumed
    private long queued; // bytes in the output
    private boolean readPaused;
    private boolean closed;
    private long bytesIn;
    private long bytesOut;

    /** What a connection tells its owner, on the loop's thread. */
    public interface Handler {
        /** The connection is up. */
        void opened(Connection connection);

        /** Input has come; what is not consumed is offered again together with what follows. */
        void received(ByteBuffer input);

        /** All output has been handed to the kernel. */
        default void drained() {}

        /** The connection has ended or never came up. Called once. */
        void closed(String reason);
    }

    Connection(EventLoop loop, Handler handler, int maxInput, int maxOutput, Runnable whenClosed) {
        this.loop = loop;
        this.handler = handler;
        this.maxInput = maxInput;
        this.maxOutput = maxOutput;
        this.whenClosed = whenClosed;
    }

    void register(SocketChannel socket, Selector selector, int interest) throws IOException {
        channel = socket;
        key = socket.register(selector, interest, this);
    }

    void timeout(EventLoop.Timer timer) {
        connectTimeout = timer;
    }

    void connected() {
        if (!closed) {
            guarded(() -> handler.opened(this));
        }
    }

    /** Bytes read so far. */
    public long bytesIn() {
        return bytesIn;
    }

    /** Bytes handed to the kernel so far. */
    public long bytesOut() {
        return bytesOut;
    }

    /** Bytes that wait for the peer. */
    public long queued() {
        return queued;
    }

    /** Whether it has ended. */
    public boolean isClosed() {
        return closed;
    }

    /** The peer's address, for logs. */
    public String peer() {
        try {
            SocketAddress address = channel == null ? null : channel.getRemoteAddress();
            return String.valueOf(address);
        } catch (IOException e) {
            return "closed";
        }
    }

    /** Stops reading until {@link #resumeReading}: the kernel's buffers then hold the peer back. */
    public void pauseReading() {
        readPaused = true;
        updateInterest();
    }

    /** Reads again. */
    public void resumeReading() {
        readPaused = false;
        updateInterest();
    }

    /**
     * Sends the bytes in order. The buffer must not be changed afterwards, but may be shared with others: its
     * content is not copied.
     *
     * @return false if they do not fit into the bound or the connection has ended; nothing is sent then
     */
    public boolean send(ByteBuffer bytes) {
        if (closed || queued + bytes.remaining() > maxOutput) {
            return false;
        }
        if (bytes.hasRemaining()) {
            queued += bytes.remaining();
            output.add(bytes.duplicate());
            flush();
        }
        return !closed;
    }

    /** Closes the connection in a later turn, for callers that are in the middle of their own work. */
    public void closeLater(String reason) {
        loop.schedule(0, () -> close(reason));
    }

    /** Closes the connection; output that waits is dropped. */
    public void close(String reason) {
        if (closed) {
            return;
        }
        closed = true;
        if (connectTimeout != null) {
            connectTimeout.cancel();
        }
        EventLoop.closeQuietly(channel);
        output.clear();
        queued = 0;
        rest = new byte[0];
        loop.released();
        whenClosed.run();
        try {
            handler.closed(reason);
        } catch (RuntimeException e) {
            LOG.atError().setCause(e).log("the handler of a closed connection failed");
        }
    }

    void ready(ByteBuffer readBuffer) {
        if (key.isConnectable()) {
            finishConnect();
        }
        if (!closed && key.isValid() && key.isReadable()) {
            read(readBuffer);
        }
        if (!closed && key.isValid() && key.isWritable()) {
            flush();
            if (!closed && output.isEmpty()) {
                guarded(handler::drained);
            }
        }
    }

    private void finishConnect() {
        try {
            if (!channel.finishConnect()) {
                return;
            }
        } catch (IOException e) {
            close(e.getMessage());
            return;
        }
        if (connectTimeout != null) {
            connectTimeout.cancel();
            connectTimeout = null;
        }
        key.interestOps(SelectionKey.OP_READ);
        connected();
    }

    private void read(ByteBuffer readBuffer) {
        readBuffer.clear();
        int count;
        try {
            count = channel.read(readBuffer);
        } catch (IOException e) {
            close(e.getMessage());
            return;
        }
        if (count < 0) {
            close("the peer closed the connection");
            return;
        }
        bytesIn += count;
        readBuffer.flip();
        ByteBuffer input = joined(readBuffer);
        guarded(() -> handler.received(input));
        if (!closed) {
            keep(input);
        }
    }

    private ByteBuffer joined(ByteBuffer fresh) {
        if (rest.length == 0) {
            return fresh;
        }
        ByteBuffer all = ByteBuffer.allocate(rest.length + fresh.remaining());
        all.put(rest).put(fresh).flip();
        return all;
    }

    private void keep(ByteBuffer input) {
        if (input.remaining() > maxInput) {
            close("more than " + maxInput + " bytes of unfinished input");
            return;
        }
        rest = new byte[input.remaining()];
        input.get(rest);
    }

    private void flush() {
        if (closed || channel == null || !channel.isConnected()) {
            return;
        }
        try {
            while (!output.isEmpty()) {
                long written = channel.write(nextBuffers());
                bytesOut += written;
                queued -= written;
                while (!output.isEmpty() && !output.peek().hasRemaining()) {
                    output.remove();
                }
                if (written == 0) {
                    break;
                }
            }
        } catch (IOException e) {
            output.clear();
            queued = 0;
            closeLater(e.getMessage());
            return;
        }
        updateInterest();
    }

    private ByteBuffer[] nextBuffers() {
        ByteBuffer[] buffers = new ByteBuffer[Math.min(GATHER, output.size())];
        Iterator<ByteBuffer> waiting = output.iterator();
        for (int i = 0; i < buffers.length; i++) {
            buffers[i] = waiting.next();
        }
        return buffers;
    }

    private void updateInterest() {
        if (closed || key == null || !key.isValid() || !channel.isConnected()) {
            return;
        }
        int interest = (readPaused ? 0 : SelectionKey.OP_READ) | (output.isEmpty() ? 0 : SelectionKey.OP_WRITE);
        if (key.interestOps() != interest) {
            key.interestOps(interest);
        }
    }

    private void guarded(Runnable step) {
        try {
            step.run();
        } catch (RuntimeException e) {
            LOG.atWarn().addKeyValue("peer", peer()).setCause(e).log("a connection's handler failed");
            close("its handler failed: " + e);
        }
    }
}
