package juniperusher.fleet;

import java.nio.ByteBuffer;
import juniperusher.distribution.ControlMessage;
import juniperusher.distribution.ControlMessageCodec;
import juniperusher.distribution.DamagedFrameException;

/**
 * Sends and receives control messages over a {@link Connection}. A damaged frame closes the connection. Used only on
 * the loop's thread.
 */
final class MessageChannel implements Connection.Handler {
    /** Limit on unconsumed input. The decoder buffers incomplete frames, so one frame is enough. */
    static final int MAX_INPUT_BYTES = ControlMessageCodec.MAX_FRAME_BYTES;

    /** Limit on queued output: two frames, which is far more than a publisher's window. */
    static final int MAX_OUTPUT_BYTES = 2 * ControlMessageCodec.MAX_FRAME_BYTES;

    private final Traffic traffic;
    private final Listener listener;
    private final ControlMessageCodec.Decoder decoder = new ControlMessageCodec.Decoder();
    private Connection connection;
    private boolean closeAfterOutput;

    /** Receives events of a channel. */
    interface Listener {
        /** The connection is established. */
        void opened();

        /** A message has arrived. */
        void received(ControlMessage message);

        /**
         * The connection ended or could not be established. Not called after {@link MessageChannel#close} or
         * {@link MessageChannel#closeAfterOutput}.
         */
        void closed(String reason);
    }

    MessageChannel(Traffic traffic, Listener listener) {
        this.traffic = traffic;
        this.listener = listener;
    }

    /** Sets the connection that has been requested for this channel; it may not be established yet. */
    void attach(Connection opening) {
        connection = opening;
    }

    boolean isOpen() {
        return connection != null && !connection.isClosed();
    }

    /** Sends a frame, whose content may be shared with other channels. A full output queue closes the connection. */
    void send(ByteBuffer frame) {
        traffic.sent(frame.remaining());
        if (!connection.send(frame) && !connection.isClosed()) {
            connection.closeLater("output queue would exceed " + MAX_OUTPUT_BYTES + " bytes");
        }
    }

    /** Closes the connection without a call of the listener. */
    void close(String reason) {
        Connection ended = connection;
        connection = null;
        if (ended != null) {
            ended.close(reason);
        }
    }

    /** Closes the connection after the queued output has been written, without a call of the listener. */
    void closeAfterOutput() {
        if (connection == null || connection.queuedBytes() == 0) {
            close("done");
        } else {
            closeAfterOutput = true;
        }
    }

    void pauseReading() {
        if (isOpen()) {
            connection.pauseReading();
        }
    }

    void resumeReading() {
        if (isOpen()) {
            connection.resumeReading();
        }
    }

    String peer() {
        return connection == null ? "closed" : connection.peer();
    }

    @Override
    public void opened(Connection opened) {
        connection = opened;
        traffic.connected();
        listener.opened();
    }

    @Override
    public void received(ByteBuffer input) {
        traffic.received(input.remaining());
        decoder.feed(input);
        try {
            ControlMessage message = decoder.next();
            while (message != null && isOpen() && !closeAfterOutput) {
                traffic.messageReceived();
                listener.received(message);
                message = isOpen() ? decoder.next() : null;
            }
        } catch (DamagedFrameException e) {
            Connection damaged = connection;
            if (damaged != null) {
                damaged.close("damaged frame: " + e.getMessage());
            }
        }
    }

    @Override
    public void outputWritten() {
        if (closeAfterOutput) {
            close("done");
        }
    }

    @Override
    public void closed(String reason) {
        boolean unexpected = connection != null && !closeAfterOutput;
        connection = null;
        if (unexpected) {
            listener.closed(reason);
        }
    }
}
