package juniperusher.http;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.DatagramChannel;
import java.util.function.Consumer;
import juniperusher.Protocol.Noted;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Notes between relays: datagrams of at most 256 bytes, which may be lost. */
final class Peers implements AutoCloseable {
    private static final Logger LOG = LoggerFactory.getLogger(Peers.class);
    private static final int MOST = 256;

    private final Config config;
    private final DatagramChannel channel;

    Peers(Config config) throws IOException {
        this.config = config;
        channel = config.peerListen() == null ? null : DatagramChannel.open().bind(config.peerListen());
    }

    void send(int to, byte[] note) {
        InetSocketAddress address = to < 0 ? config.peersAll()
                : to < config.peers().size() ? config.peers().get(to) : null;
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
        try {
            while (channel.isOpen()) {
                bytes.clear();
                int from = config.peers().indexOf(channel.receive(bytes));
                if (from >= 0) {
                    byte[] note = new byte[bytes.flip().remaining()];
                    bytes.get(note);
                    noted.accept(new Noted(from, note));
                }
            }
        } catch (IOException e) {
            LOG.debug("notes end: {}", e.toString());
        }
    }

    @Override
    public void close() throws IOException {
        if (channel != null) {
            channel.close();
        }
    }
}
