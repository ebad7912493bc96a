package juniperusher.amqp;

import com.eclipsesource.json.Json;
import java.io.DataInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * A client written from the public specification of AMQP 0-9-1. It publishes orders with confirms and consumes
 * their outcomes.
 */
final class FakeClient implements AutoCloseable {
    /** An outcome received from the relay. */
    record Outcome(String outcome, boolean redelivered) {}

    final Map<String, List<Outcome>> outcomes;
    final Map<String, Boolean> confirms = new ConcurrentHashMap<>();
    private final Map<Long, String> publishedIds = new ConcurrentHashMap<>();
    private final Socket socket;
    private final DataInputStream in;
    private final OutputStream out;
    private long lastTag;
    private boolean redelivered;
    private long deliveryTag;
    volatile boolean disconnected;

    FakeClient(InetSocketAddress address, Map<String, List<Outcome>> outcomes) throws IOException {
        this.outcomes = outcomes;
        socket = new Socket(address.getAddress(), address.getPort());
        socket.setTcpNoDelay(true);
        in = new DataInputStream(socket.getInputStream());
        out = socket.getOutputStream();
        write(Frame.PROTOCOL_HEADER);
        FakeBroker.read(in);
        write(new Method.Writer(Method.START_OK)
                .u32(0)
                .shortText("PLAIN")
                .longText("\0guest\0guest")
                .shortText("en_US")
                .methodFrame(0));
        FakeBroker.read(in);
        write(new Method.Writer(Method.TUNE_OK).u16(0).u32(131072).u16(0).methodFrame(0));
        write(new Method.Writer(Method.OPEN).shortText("/").shortText("").u8(0).methodFrame(0));
        FakeBroker.read(in);
        write(new Method.Writer(Method.CHANNEL_OPEN).shortText("").methodFrame(1));
        write(new Method.Writer(Method.CONFIRM_SELECT).u8(0).methodFrame(1));
        write(new Method.Writer(Method.QUEUE_DECLARE)
                .u16(0)
                .shortText("ends")
                .u8(0)
                .u32(0)
                .methodFrame(1));
        write(new Method.Writer(Method.CONSUME)
                .u16(0)
                .shortText("ends")
                .shortText("c")
                .u8(0)
                .u32(0)
                .methodFrame(1));
        Thread reader = new Thread(this::readAll);
        reader.setDaemon(true);
        reader.start();
    }

    private void write(byte[] bytes) throws IOException {
        synchronized (out) {
            out.write(bytes);
        }
    }

    synchronized void publish(String id, String destination) throws IOException {
        publishedIds.put(++lastTag, id);
        write(new Content("", "c-" + id, "ends", "", id, "ordem-build", new byte[] {1, 2, 3})
                .toFrames(
                        new Method.Writer(Method.PUBLISH)
                                .u16(0)
                                .shortText("")
                                .shortText(destination)
                                .u8(0),
                        1,
                        131072));
    }

    private void readAll() {
        try {
            while (true) {
                Frame frame = FakeBroker.read(in);
                if (frame.type() == Frame.METHOD) {
                    Method method = new Method(frame);
                    if (method.number() == Method.ACK || method.number() == Method.NACK) {
                        confirms.put(publishedIds.get(method.u64()), method.number() == Method.ACK);
                    } else if (method.number() == Method.DELIVER) {
                        method.shortText();
                        deliveryTag = method.u64();
                        redelivered = method.u8() != 0;
                    } else if (method.number() == Method.CLOSE || method.number() == Method.CHANNEL_CLOSE) {
                        throw new IOException("closed: " + method.u16() + ' ' + method.shortText());
                    }
                } else if (frame.type() == Frame.BODY) {
                    var json = Json.parse(new String(frame.payload(), StandardCharsets.UTF_8))
                            .asObject();
                    outcomes.computeIfAbsent(json.getString("message", ""), key -> new CopyOnWriteArrayList<>())
                            .add(new Outcome(json.getString("outcome", ""), redelivered));
                    write(new Method.Writer(Method.ACK).u64(deliveryTag).u8(0).methodFrame(1));
                }
            }
        } catch (IOException e) {
            disconnected = true;
        }
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
