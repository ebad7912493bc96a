import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/** A client's connection by the specification of AMQP 0-9-1, as far as the cases need it. */
final class Amqp implements AutoCloseable {
    final Socket socket = new Socket();
    final DataInputStream in;

    /** A frame from the peer; the number of a method is its class times 65536 plus its method. */
    record Frame(int type, int channel, byte[] payload) {
        int method() {
            return type == 1 ? ByteBuffer.wrap(payload).getInt() : 0;
        }
    }

    /** Connects, logs in as guest and opens the virtual host /. */
    Amqp(int port) throws IOException {
        socket.connect(new InetSocketAddress("127.0.0.1", port), 2_000);
        socket.setTcpNoDelay(true);
        in = new DataInputStream(new BufferedInputStream(socket.getInputStream()));
        socket.getOutputStream().write(new byte[] {'A', 'M', 'Q', 'P', 0, 0, 9, 1});
        await(10 << 16 | 10);
        Fields startOk = new Fields(10 << 16 | 11);
        startOk.u32(0).shortText("PLAIN").longText("\0guest\0guest").shortText("en_US");
        send(1, 0, startOk.bytes());
        await(10 << 16 | 30);
        send(1, 0, new Fields(10 << 16 | 31).u16(255).u32(128 * 1024).u16(0).bytes());
        send(1, 0, new Fields(10 << 16 | 40).shortText("/").shortText("").u8(0).bytes());
        await(10 << 16 | 41);
    }

    void openChannel(int channel) throws IOException {
        send(1, channel, new Fields(20 << 16 | 10).shortText("").bytes());
        await(20 << 16 | 11);
    }

    void confirmSelect(int channel) throws IOException {
        send(1, channel, new Fields(85 << 16 | 10).u8(0).bytes());
        await(85 << 16 | 11);
    }

    /** basic.publish to the default exchange, and the content header for a body of {@code length} bytes. */
    void beginPublish(int channel, String routingKey, String messageId, long length) throws IOException {
        send(1, channel, new Fields(60 << 16 | 40).u16(0).shortText("").shortText(routingKey).u8(0).bytes());
        Fields header = new Fields(60 << 16).u32((int) (length >>> 32)).u32((int) length);
        header.u16(messageId.isEmpty() ? 0 : 1 << 7);
        if (!messageId.isEmpty()) {
            header.shortText(messageId);
        }
        send(2, channel, header.bytes());
    }

    /** Publishes a mandatory message to the default exchange. */
    void publishMandatory(int channel, String routingKey, byte[] body) throws IOException {
        send(1, channel, new Fields(60 << 16 | 40).u16(0).shortText("").shortText(routingKey).u8(1).bytes());
        send(2, channel, new Fields(60 << 16).u32(0).u32(body.length).u16(0).bytes());
        send(3, channel, body);
    }

    void body(int channel, byte[] part) throws IOException {
        send(3, channel, part);
    }

    void send(int type, int channel, byte[] payload) throws IOException {
        ByteBuffer frame = ByteBuffer.allocate(payload.length + 8);
        frame.put((byte) type).putShort((short) channel).putInt(payload.length).put(payload).put((byte) 0xCE);
        socket.getOutputStream().write(frame.array());
    }

    Frame read() throws IOException {
        int type = in.readUnsignedByte();
        int channel = in.readUnsignedShort();
        byte[] payload = new byte[in.readInt()];
        in.readFully(payload);
        in.readByte();
        return new Frame(type, channel, payload);
    }

    Frame await(int method) throws IOException {
        while (true) {
            Frame frame = read();
            if (frame.method() == method) {
                return frame;
            }
        }
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }

    /** The fields of a method or a content header. */
    static final class Fields {
        private final ByteArrayOutputStream out = new ByteArrayOutputStream();

        Fields(int number) {
            u32(number);
        }

        Fields u8(int value) {
            out.write(value);
            return this;
        }

        Fields u16(int value) {
            return u8(value >> 8).u8(value);
        }

        Fields u32(int value) {
            return u16(value >>> 16).u16(value);
        }

        Fields shortText(String text) {
            byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
            u8(bytes.length);
            out.writeBytes(bytes);
            return this;
        }

        Fields longText(String text) {
            byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
            u32(bytes.length);
            out.writeBytes(bytes);
            return this;
        }

        byte[] bytes() {
            return out.toByteArray();
        }
    }
}
