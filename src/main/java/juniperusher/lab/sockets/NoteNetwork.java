package juniperusher.lab.sockets;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.DatagramChannel;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import juniperusher.lab.NoteModel;

/**
 * The datagrams between relays, passed on as the model says: lost, doubled, late. Each relay sees the others
 * at
 * addresses of its own, and a note comes from the address at which its sender is seen.
 */
final class NoteNetwork implements AutoCloseable {
    private static final int MOST = 512; // bytes, above what a note may have

    private final NoteModel model;
    private final ScheduledExecutorService lab;
    private final Selector selector = Selector.open();
    // [by][whom]: where 'by' sees 'whom'; [by][by] is its address for all
    private final DatagramChannel[][] seen;
    private final InetSocketAddress[] relays;

    /** What a channel is for. */
    private record Way(int by, int whom) {}

    /** A network of relays that take notes at these addresses; the model is asked on the lab's thread. */
    NoteNetwork(List<InetSocketAddress> relays, NoteModel model, ScheduledExecutorService lab) throws IOException {
        this.model = model;
        this.lab = lab;
        this.relays = relays.toArray(new InetSocketAddress[0]);
        seen = new DatagramChannel[relays.size()][relays.size()];
        for (int by = 0; by < seen.length; by++) {
            for (int whom = 0; whom < seen.length; whom++) {
                seen[by][whom] =
                        DatagramChannel.open().bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0));
                seen[by][whom].configureBlocking(false);
                seen[by][whom].register(selector, SelectionKey.OP_READ, new Way(by, whom));
            }
        }
        Thread thread = new Thread(this::run, "lab notes");
        thread.setDaemon(true);
        thread.start();
    }

    /** The addresses of all relays as one of them sees them, its own being its real one. */
    List<InetSocketAddress> peers(int by) throws IOException {
        List<InetSocketAddress> out = new ArrayList<>();
        for (int whom = 0; whom < seen.length; whom++) {
            out.add(whom == by ? relays[by] : (InetSocketAddress) seen[by][whom].getLocalAddress());
        }
        return out;
    }

    /** The address at which one of them reaches all others. */
    InetSocketAddress all(int by) throws IOException {
        return (InetSocketAddress) seen[by][by].getLocalAddress();
    }

    private void run() {
        ByteBuffer bytes = ByteBuffer.allocate(MOST);
        try {
            while (selector.isOpen()) {
                selector.select();
                for (SelectionKey key : selector.selectedKeys()) {
                    bytes.clear();
                    if (((DatagramChannel) key.channel()).receive(bytes) != null) {
                        byte[] note = new byte[bytes.flip().remaining()];
                        bytes.get(note);
                        Way way = (Way) key.attachment();
                        lab.execute(() -> pass(way, note));
                    }
                }
                selector.selectedKeys().clear();
            }
        } catch (IOException
                | java.nio.channels.ClosedSelectorException
                | java.util.concurrent.RejectedExecutionException e) {
            return; // closed
        }
    }

    private void pass(Way way, byte[] note) {
        for (int to = 0; to < seen.length; to++) {
            if (to == way.by() || way.whom() != way.by() && to != way.whom()) {
                continue;
            }
            int relay = to;
            for (double after : model.copyDelays()) {
                lab.schedule(() -> send(relay, way.by(), note), (long) (after * 1e6), TimeUnit.MICROSECONDS);
            }
        }
    }

    private void send(int to, int from, byte[] note) {
        try {
            seen[to][from].send(ByteBuffer.wrap(note), relays[to]);
        } catch (IOException e) {
            return; // the relay is down: lost, as on a network
        }
    }

    @Override
    public void close() throws IOException {
        selector.close();
        for (DatagramChannel[] row : seen) {
            for (DatagramChannel channel : row) {
                channel.close();
            }
        }
    }
}
