package juniperusher.http;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.ClosedChannelException;
import java.nio.channels.DatagramChannel;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Consumer;
import java.util.function.Supplier;
import juniperusher.Protocol.Noted;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Notes between relays: datagrams of at most 256 bytes, which may be lost. */
final class PeerDatagrams implements AutoCloseable {
    private static final Logger LOG = LoggerFactory.getLogger(PeerDatagrams.class);
    private static final int MAX_NOTE_BYTES = 256;
    private static final long FAILURE_DELAY_NANOS =
            20_000_000; // ns after a failure, so that one that stays costs little

    private final Supplier<Config> config;
    private final DatagramChannel channel;

    PeerDatagrams(Supplier<Config> config) throws IOException {
        this.config = config;
        InetSocketAddress listen = config.get().peerListen();
        // Guards an upgrade: the process before this one may still hold the same address for a while.
        channel = listen == null
                ? null
                : DatagramChannel.open()
                        .setOption(java.net.StandardSocketOptions.SO_REUSEADDR, true)
                        .bind(listen);
    }

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
            LOG.debug("a note was lost: {}", e.toString());
        }
    }

    /** Passes notes on until closed. */
    void start(Consumer<Noted> listener) {
        if (channel == null) {
            return;
        }
        Thread thread = new Thread(null, () -> receive(listener), "notes", 128 * 1024);
        thread.setDaemon(true);
        thread.start();
    }

    private void receive(Consumer<Noted> listener) {
        ByteBuffer buffer = ByteBuffer.allocate(MAX_NOTE_BYTES);
        while (channel.isOpen()) {
            try {
                buffer.clear();
                int from = config.get().peers().indexOf(channel.receive(buffer));
                if (from >= 0) {
                    byte[] note = new byte[buffer.flip().remaining()];
                    buffer.get(note);
                    listener.accept(new Noted(from, note));
                }
            } catch (ClosedChannelException e) {
                LOG.debug("notes end: {}", e.toString());
            } catch (IOException e) {
                // Guards against a failure that passes: without notes this relay would count as alone for good.
                LOG.debug("a note was not received: {}", e.toString());
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
