package juniperusher.http;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.ClosedChannelException;
import java.nio.channels.DatagramChannel;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Consumer;
import java.util.function.Supplier;
import juniperusher.Protocol.NoteReceived;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Sends and receives peer notes: UDP datagrams of at most 256 bytes between relays, which may be lost. Thread-safe. */
final class PeerDatagrams implements AutoCloseable {
    private static final Logger LOG = LoggerFactory.getLogger(PeerDatagrams.class);
    private static final int MAX_NOTE_BYTES = 256;
    // The delay after a failed receive, so that a persistent failure does not keep the thread busy.
    private static final long FAILURE_DELAY_NANOS = 20_000_000;

    private final Supplier<Config> config;
    private final DatagramChannel channel;

    PeerDatagrams(Supplier<Config> config) throws IOException {
        this.config = config;
        InetSocketAddress listen = config.get().peerListen();
        // During an upgrade the previous process may still have this address open for a while.
        channel = listen == null
                ? null
                : DatagramChannel.open()
                        .setOption(java.net.StandardSocketOptions.SO_REUSEADDR, true)
                        .bind(listen);
    }

    /** Sends a note to the relay with this index, or to all relays if it is negative; drops it where that fails. */
    void send(int to, byte[] note) {
        Config current = config.get();
        InetSocketAddress address = to < 0
                ? current.peersAll()
                : to < current.peers().size() ? current.peers().get(to) : null;
        if (channel == null || address == null || note.length > MAX_NOTE_BYTES) {
            return;
        }
        try {
            channel.send(ByteBuffer.wrap(note), address);
        } catch (IOException e) {
            LOG.debug("sending a note failed: {}", e.toString());
        }
    }

    /** Starts a thread that passes received notes to {@code listener} until this is closed. */
    void start(Consumer<NoteReceived> listener) {
        if (channel == null) {
            return;
        }
        Thread thread = new Thread(null, () -> receive(listener), "notes", 128 * 1024);
        thread.setDaemon(true);
        thread.start();
    }

    private void receive(Consumer<NoteReceived> listener) {
        ByteBuffer buffer = ByteBuffer.allocate(MAX_NOTE_BYTES);
        while (channel.isOpen()) {
            try {
                buffer.clear();
                int from = config.get().peers().indexOf(channel.receive(buffer));
                if (from >= 0) {
                    byte[] note = new byte[buffer.flip().remaining()];
                    buffer.get(note);
                    listener.accept(new NoteReceived(from, note));
                }
            } catch (ClosedChannelException e) {
                LOG.debug("the channel for notes was closed: {}", e.toString());
            } catch (IOException e) {
                // The thread continues after a temporary failure. Without notes this relay would act as the only one
                // of its tier until its next start.
                LOG.debug("receiving a note failed: {}", e.toString());
                LockSupport.parkNanos(FAILURE_DELAY_NANOS);
            }
        }
    }

    @Override
    public void close() throws IOException {
        if (channel != null) {
            channel.close();
        }
    }
}
