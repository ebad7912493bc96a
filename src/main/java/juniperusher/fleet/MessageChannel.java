package juniperusher.fleet;

import java.nio.ByteBuffer;
import juniperusher.distribution.ControlMessage;
import juniperusher.distribution.ControlMessageCodec;
import juniperusher.distribution.DamagedFrameException;

/** A {@link Connection} that carries control messages. A damaged frame ends it. Used on the loop's thread. */
final class MessageChannel implements Connection.Handler {
    /** Input that may wait for the rest of its frame; the decoder holds it. */
    static final int MAX_INPUT = ControlMessageCodec.MAX_FRAME;

    /** Output that may wait for the peer: two frames, far more than a publisher's window. */
    static final int MAX_OUTPUT = 2 * ControlMessageCodec.MAX_FRAME;

    private final Traffic traffic;
    private final Listener listener;
    private final ControlMessageCodec.Decoder decoder = new ControlMessageCodec.Decoder();
    private Connection connection;
    private boolean closeOnceSent;

    /** What a channel tells its owner. */
    interface Listener {
        /** The connection is up. */
        void opened();

        /** A message has come. */
        void received(ControlMessage message);

        /** The connection has ended or never came up, and not by {@link MessageChannel#close}. */
        void closed(String reason);
    }

    MessageChannel(Traffic traffic, Listener listener) {
        this.traffic = traffic;
        this.listener = listener;
    }

    /** The connection that it uses, once one was asked for. */
    void use(Connection opening) {
        connection = opening;
    }

    boolean isOpen() {
        return connection != null && !connection.isClosed();
    }

    /** Sends a frame, which may be shared; what does not fit ends the connection. */
    void send(ByteBuffer frame) {
        traffic.sent(frame.remaining());
        if (!connection.send(frame) && !connection.isClosed()) {
            connection.closeLater("more output than " + MAX_OUTPUT + " bytes");
        }
    }

    /** Closes the connection; the listener is not told. */
    void close(String reason) {
        Connection ended = connection;
        connection = null;
        if (ended != null) {
            ended.close(reason);
        }
    }

    /** Closes it once what was sent has been handed to the kernel; the listener is not told. */
    void closeOnceSent() {
        if (connection == null || connection.queued() == 0) {
            close("done");
        } else {
            closeOnceSent = true;
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
            while (message != null && isOpen() && !closeOnceSent) {
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
    public void drained() {
        if (closeOnceSent) {
            close("done");
        }
    }

    @Override
    public void closed(String reason) {
        boolean unexpected = connection != null && !closeOnceSent;
        connection = null;
        if (unexpected) {
            listener.closed(reason);
        }
    }
}
