package juniperusher.amqp;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;
import juniperusher.memory.HeapExhaustion;
import juniperusher.net.Network;
import juniperusher.net.ReadTurn;
import org.eclipse.jetty.io.AbstractConnection;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.util.BufferUtil;
import org.eclipse.jetty.util.IteratingCallback;

/**
 * Base class of AMQP connections, used by the client side and by the broker side: reads and writes frames,
 * sends and checks heartbeats, and closes the connection. Frames are handled by one thread at a time;
 * {@link #send} and {@link #end} may be called from any thread.
 */
abstract class AmqpConnection extends AbstractConnection {
    static final int FRAME_MAX_BYTES = 128 * 1024;
    static final int FRAME_MIN_BYTES = 4096;
    static final int HEARTBEAT_SECONDS = 10;
    private static final byte[] HEARTBEAT_FRAME = new Frame(Frame.HEARTBEAT, 0, new byte[0]).toBytes();

    private static final int FRAMES_PER_TURN = 16;

    private final Network network;
    private final ReadTurn turn = new ReadTurn(FRAMES_PER_TURN);
    private final Deque<Write> pendingWrites = new ArrayDeque<>();
    private final Object writeLock = new Object();
    private final WriteLoop writeLoop = new WriteLoop();
    private ByteBuffer readBuffer = BufferUtil.allocate(16 * 1024);
    private volatile long lastReadNanos = System.nanoTime();
    private volatile long lastWriteNanos = System.nanoTime();
    private volatile boolean ended;
    private volatile boolean closing;
    private boolean framesRemain; // unprocessed when the last turn was over
    private int frameMax = FRAME_MIN_BYTES;
    private int heartbeatSeconds;

    /**
     * One queued write.
     *
     * @param mayStart checked immediately before the first byte is written; if false, the write is discarded
     */
    private record Write(ByteBuffer bytes, java.util.function.BooleanSupplier mayStart) {}

    AmqpConnection(EndPoint endPoint, Network network) {
        super(endPoint, network.threads());
        this.network = network;
    }

    // ---- implemented by each side ----

    /** Whether the next bytes from the peer are the protocol header. */
    abstract boolean awaitsProtocolHeader();

    /**
     * Called with the peer's protocol header.
     *
     * @param supported whether the header is that of AMQP 0-9-1
     */
    abstract void onProtocolHeader(boolean supported);

    /**
     * Called for each frame other than a heartbeat.
     *
     * @throws AmqpError to close the connection with its reply code
     */
    abstract void onFrame(Frame frame);

    /** Called once, when the connection has ended for any reason. */
    abstract void onEnded();

    // ---- tuning ----

    /**
     * Applies the values negotiated by connection.tune and starts the heartbeat.
     *
     * @param negotiatedFrameMax largest frame in bytes, 0 for no limit by the peer
     * @param intervalSeconds    heartbeat interval, 0 to disable heartbeats
     */
    void applyTuning(int negotiatedFrameMax, int intervalSeconds) {
        frameMax = negotiatedFrameMax == 0 ? FRAME_MAX_BYTES : Math.min(FRAME_MAX_BYTES, negotiatedFrameMax);
        heartbeatSeconds = intervalSeconds;
        if (intervalSeconds > 0) {
            checkHeartbeat();
        }
    }

    int frameMax() {
        return frameMax;
    }

    private void checkHeartbeat() {
        if (ended) {
            return;
        }
        long now = System.nanoTime();
        if (now - lastReadNanos > TimeUnit.SECONDS.toNanos(2L * heartbeatSeconds)) {
            end(); // specified: after two intervals without data the connection is dropped without connection.close
            return;
        }
        if (now - lastWriteNanos > TimeUnit.SECONDS.toNanos(heartbeatSeconds) / 2) {
            send(HEARTBEAT_FRAME);
        }
        network.scheduler().schedule(this::checkHeartbeat, heartbeatSeconds * 250L, TimeUnit.MILLISECONDS);
    }

    // ---- writing ----

    /** Queues bytes to be written. */
    void send(byte[] bytes) {
        send(bytes, () -> true);
    }

    /** Queues bytes to be written, unless {@code mayStart} is false when their turn comes. */
    void send(byte[] bytes, java.util.function.BooleanSupplier mayStart) {
        synchronized (writeLock) {
            if (ended) {
                return;
            }
            pendingWrites.add(new Write(ByteBuffer.wrap(bytes), mayStart));
        }
        writeLoop.iterate();
    }

    /**
     * Writes the queue in order. It iterates because a write that completes immediately would otherwise start
     * the next one recursively, and a long queue would overflow the small stack of the writing thread.
     */
    private final class WriteLoop extends IteratingCallback {
        @Override
        protected Action process() {
            Write next;
            do {
                synchronized (writeLock) {
                    next = pendingWrites.poll();
                }
            } while (next != null && !next.mayStart().getAsBoolean());
            if (next == null) {
                return Action.IDLE;
            }
            lastWriteNanos = System.nanoTime();
            getEndPoint().write(this, next.bytes());
            return Action.SCHEDULED;
        }

        @Override
        protected void onCompleteFailure(Throwable cause) {
            end();
        }
    }

    /**
     * Sends connection.close and ends the connection if the peer does not answer with close-ok within 2 s.
     *
     * @param methodNumber number of the method that caused the error, or 0
     */
    void sendClose(AmqpError error, int methodNumber) {
        if (!closing) {
            closing = true;
            send(new Method.Writer(Method.CLOSE)
                    .u16(error.replyCode())
                    .shortText(clipReplyText(error.getMessage()))
                    .u16(methodNumber >>> 16)
                    .u16(methodNumber & 0xffff)
                    .methodFrame(0));
            network.scheduler().schedule(this::end, 2, TimeUnit.SECONDS);
        }
    }

    /** Shortens a reply text to 120 characters; a short string holds 255 bytes. */
    static String clipReplyText(String text) {
        return text.length() > 120 ? text.substring(0, 120) : text;
    }

    /** Whether connection.close has been sent. */
    boolean closing() {
        return closing;
    }

    /** Ends the connection immediately and discards queued writes; has no effect if it has ended. */
    void end() {
        synchronized (writeLock) {
            if (ended) {
                return;
            }
            ended = true;
            pendingWrites.clear();
        }
        close();
        onEnded();
    }

    /** Ends the connection once the writes queued before have completed. */
    void endAfterWrites() {
        send(new byte[0], () -> {
            end();
            return false;
        });
    }

    // ---- reading ----

    @Override
    public void onOpen() {
        super.onOpen();
        fillInterested();
    }

    @Override
    public void onClose(Throwable cause) {
        super.onClose(cause);
        end();
    }

    @Override
    public void onFillable() {
        turn.begin();
        try {
            if (framesRemain) {
                readFrames();
                makeRoom();
            }
            while (!ended && !turn.isOver()) {
                int bytesRead = getEndPoint().fill(readBuffer);
                if (bytesRead < 0) {
                    end();
                    return;
                }
                if (bytesRead == 0) {
                    fillInterested();
                    return;
                }
                turn.bytesRead(bytesRead);
                lastReadNanos = System.nanoTime();
                readFrames();
                makeRoom();
            }
            awaitNextTurn();
        } catch (AmqpError e) {
            sendClose(e, 0);
            framesRemain = false;
            BufferUtil.clear(readBuffer);
            fillInterested();
        } catch (IOException | RuntimeException e) {
            end();
        } catch (OutOfMemoryError e) {
            HeapExhaustion.endProcessIfCausedBy(e);
        }
    }

    /** Lets the other connections read before this one goes on. */
    private void awaitNextTurn() {
        if (ended) {
            return;
        }
        if (framesRemain) {
            network.runNextTurn(this::onFillable);
        } else {
            fillInterested();
        }
    }

    /** Handles the frames in the buffer until the turn is over. */
    private void readFrames() {
        framesRemain = false;
        if (awaitsProtocolHeader()) {
            if (readBuffer.remaining() < Frame.PROTOCOL_HEADER.length) {
                return;
            }
            byte[] header = new byte[Frame.PROTOCOL_HEADER.length];
            readBuffer.get(header);
            onProtocolHeader(java.util.Arrays.equals(header, Frame.PROTOCOL_HEADER));
        }
        while (!ended) {
            if (turn.isOver()) {
                framesRemain = readBuffer.hasRemaining();
                return;
            }
            Frame next = Frame.read(readBuffer, Math.max(frameMax, FRAME_MIN_BYTES));
            if (next == null) {
                return;
            }
            turn.messageHandled();
            if (next.type() == Frame.HEARTBEAT) {
                if (next.channel() != 0) {
                    throw new AmqpError(AmqpError.COMMAND_INVALID, "a heartbeat belongs to channel 0");
                }
            } else {
                onFrame(next);
            }
        }
    }

    /** Compacts the read buffer, and doubles it if it is full: a frame larger than the buffer would never complete. */
    private void makeRoom() {
        if (!readBuffer.hasRemaining()) {
            BufferUtil.clear(readBuffer);
        } else if (BufferUtil.space(readBuffer) == 0 || readBuffer.position() > 0) {
            int capacity = BufferUtil.space(readBuffer) == 0 && readBuffer.position() == 0
                    ? readBuffer.capacity() * 2
                    : readBuffer.capacity();
            ByteBuffer replacement = BufferUtil.allocate(capacity);
            BufferUtil.append(replacement, readBuffer);
            readBuffer = replacement;
        }
    }
}
