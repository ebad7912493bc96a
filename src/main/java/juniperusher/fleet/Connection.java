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
 * A non-blocking TCP connection with bounded input and output buffers. It is used only on the thread of its
 * {@link EventLoop}. Output that the peer has not read waits in a queue of at most {@code maxOutputBytes}, and
 * {@link #send} rejects bytes beyond that limit. Input that the handler has not consumed is kept; more than
 * {@code maxInputBytes} of it close the connection.
 */
public final class Connection {
    private static final Logger LOG = LoggerFactory.getLogger(Connection.class);
    private static final int MAX_BUFFERS_PER_WRITE = 16;

    private final EventLoop loop;
    private final Handler handler;
    private final int maxInputBytes;
    private final int maxOutputBytes;
    private final Runnable onClosed;
    private final Deque<ByteBuffer> output = new ArrayDeque<>();
    private SocketChannel channel;
    private SelectionKey key;
    private EventLoop.Timer connectTimeout;
    private byte[] unconsumedInput = new byte[0];
    private long queuedBytes; // remaining bytes in output
    private boolean readPaused;
    private boolean closed;
    private long bytesIn;
    private long bytesOut;

    /** Receives events of a connection, on the loop's thread. */
    public interface Handler {
        /** The connection is established. */
        void opened(Connection connection);

        /** Input has arrived. Bytes that are left in the buffer are passed again, followed by the next input. */
        void received(ByteBuffer input);

        /** Queued output has been written to the socket completely. Not called if {@link #send} wrote it at once. */
        default void outputWritten() {}

        /** The connection was closed or could not be established. Called once. */
        void closed(String reason);
    }

    Connection(EventLoop loop, Handler handler, int maxInputBytes, int maxOutputBytes, Runnable onClosed) {
        this.loop = loop;
        this.handler = handler;
        this.maxInputBytes = maxInputBytes;
        this.maxOutputBytes = maxOutputBytes;
        this.onClosed = onClosed;
    }

    void register(SocketChannel socket, Selector selector, int interest) throws IOException {
        channel = socket;
        key = socket.register(selector, interest, this);
    }

    void setConnectTimeout(EventLoop.Timer timer) {
        connectTimeout = timer;
    }

    void notifyOpened() {
        if (!closed) {
            runHandler(() -> handler.opened(this));
        }
    }

    /** Number of bytes read so far. */
    public long bytesIn() {
        return bytesIn;
    }

    /** Number of bytes written to the socket so far. */
    public long bytesOut() {
        return bytesOut;
    }

    /** Number of bytes that are queued for output. */
    public long queuedBytes() {
        return queuedBytes;
    }

    /** Whether the connection is closed. */
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

    /** Stops reading until {@link #resumeReading}; TCP flow control then stops the peer once the buffers are full. */
    public void pauseReading() {
        readPaused = true;
        updateInterest();
    }

    /** Resumes reading after {@link #pauseReading}. */
    public void resumeReading() {
        readPaused = false;
        updateInterest();
    }

    /**
     * Sends the buffer's remaining bytes after those of earlier calls. The content is not copied: it must not change
     * afterwards, but the same buffer may be sent on several connections.
     *
     * @return false if the bytes do not fit into the output queue or the connection is closed; nothing is sent then
     */
    public boolean send(ByteBuffer bytes) {
        if (closed || queuedBytes + bytes.remaining() > maxOutputBytes) {
            return false;
        }
        if (bytes.hasRemaining()) {
            queuedBytes += bytes.remaining();
            output.add(bytes.duplicate());
            flush();
        }
        return !closed;
    }

    /** Closes the connection after this call has returned, for callers that must not be re-entered by the handler. */
    public void closeLater(String reason) {
        loop.schedule(0, () -> close(reason));
    }

    /** Closes the connection; queued output is dropped. */
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
        queuedBytes = 0;
        unconsumedInput = new byte[0];
        loop.connectionClosed();
        onClosed.run();
        try {
            handler.closed(reason);
        } catch (RuntimeException e) {
            LOG.atError().setCause(e).log("connection handler failed on close");
        }
    }

    void handleReady(ByteBuffer readBuffer) {
        if (key.isConnectable()) {
            finishConnect();
        }
        if (!closed && key.isValid() && key.isReadable()) {
            read(readBuffer);
        }
        if (!closed && key.isValid() && key.isWritable()) {
            flush();
            if (!closed && output.isEmpty()) {
                runHandler(handler::outputWritten);
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
        notifyOpened();
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
        ByteBuffer input = withUnconsumedInput(readBuffer);
        runHandler(() -> handler.received(input));
        if (!closed) {
            keepUnconsumed(input);
        }
    }

    private ByteBuffer withUnconsumedInput(ByteBuffer received) {
        if (unconsumedInput.length == 0) {
            return received;
        }
        ByteBuffer all = ByteBuffer.allocate(unconsumedInput.length + received.remaining());
        all.put(unconsumedInput).put(received).flip();
        return all;
    }

    private void keepUnconsumed(ByteBuffer input) {
        if (input.remaining() > maxInputBytes) {
            close("more than " + maxInputBytes + " bytes of unconsumed input");
            return;
        }
        unconsumedInput = new byte[input.remaining()];
        input.get(unconsumedInput);
    }

    private void flush() {
        if (closed || channel == null || !channel.isConnected()) {
            return;
        }
        try {
            while (!output.isEmpty()) {
                long written = channel.write(nextBuffers());
                bytesOut += written;
                queuedBytes -= written;
                while (!output.isEmpty() && !output.peek().hasRemaining()) {
                    output.remove();
                }
                if (written == 0) {
                    break;
                }
            }
        } catch (IOException e) {
            output.clear();
            queuedBytes = 0;
            closeLater(e.getMessage());
            return;
        }
        updateInterest();
    }

    private ByteBuffer[] nextBuffers() {
        ByteBuffer[] buffers = new ByteBuffer[Math.min(MAX_BUFFERS_PER_WRITE, output.size())];
        Iterator<ByteBuffer> queued = output.iterator();
        for (int i = 0; i < buffers.length; i++) {
            buffers[i] = queued.next();
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

    private void runHandler(Runnable step) {
        try {
            step.run();
        } catch (RuntimeException e) {
            LOG.atWarn().addKeyValue("peer", peer()).setCause(e).log("connection handler failed");
            close("connection handler failed: " + e);
        }
    }
}
