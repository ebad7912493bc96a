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
final class Peers implements AutoCloseable {
    private static final Logger LOG = LoggerFactory.getLogger(Peers.class);
    private static final int MOST = 256;
    private static final long PAUSE = 20_000_000; // ns after a failure, so that one that stays costs little

    private final Supplier<Config> config;
    private final DatagramChannel channel;

    Peers(Supplier<Config> config) throws IOException {
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
        if (channel == null || address == null || note.length > MOST) {
            return;
        }
        try {
            channel.send(ByteBuffer.wrap(note), address);
        } catch (IOException e) {
            LOG.debug("a note was lost: {}", e.toString());
        }
    }

    /** Passes notes on until closed. */
    void start(Consumer<Noted> noted) {
        if (channel == null) {
            return;
        }
        Thread thread = new Thread(null, () -> receive(noted), "notes", 128 * 1024);
        thread.setDaemon(true);
        thread.start();
    }

    private void receive(Consumer<Noted> noted) {
        ByteBuffer bytes = ByteBuffer.allocate(MOST);
        while (channel.isOpen()) {
            try {
                bytes.clear();
                int from = config.get().peers().indexOf(channel.receive(bytes));
                if (from >= 0) {
                    byte[] note = new byte[bytes.flip().remaining()];
                    bytes.get(note);
                    noted.accept(new Noted(from, note));
                }
            } catch (ClosedChannelException e) {
                LOG.debug("notes end: {}", e.toString());
            } catch (IOException e) {
                // Guards against a failure that passes: without notes this relay would count as alone for good.
                LOG.debug("a note was not received: {}", e.toString());
                LockSupport.parkNanos(PAUSE);
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
