package juniperusher.amqp;

import java.io.ByteArrayOutputStream;
import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/** A method's fields, read one after the other; the number is its class id and method id in one. */
final class Method {
    static final int START = id(10, 10);
    static final int START_OK = id(10, 11);
    static final int TUNE = id(10, 30);
    static final int TUNE_OK = id(10, 31);
    static final int OPEN = id(10, 40);
    static final int OPEN_OK = id(10, 41);
    static final int CLOSE = id(10, 50);
    static final int CLOSE_OK = id(10, 51);
    static final int BLOCKED = id(10, 60);
    static final int UNBLOCKED = id(10, 61);
    static final int CHANNEL_OPEN = id(20, 10);
    static final int CHANNEL_OPEN_OK = id(20, 11);
    static final int FLOW = id(20, 20);
    static final int FLOW_OK = id(20, 21);
    static final int CHANNEL_CLOSE = id(20, 40);
    static final int CHANNEL_CLOSE_OK = id(20, 41);
    static final int QUEUE_DECLARE = id(50, 10);
    static final int QUEUE_DECLARE_OK = id(50, 11);
    static final int QOS = id(60, 10);
    static final int QOS_OK = id(60, 11);
    static final int CONSUME = id(60, 20);
    static final int CONSUME_OK = id(60, 21);
    static final int CANCEL = id(60, 30);
    static final int CANCEL_OK = id(60, 31);
    static final int PUBLISH = id(60, 40);
    static final int RETURN = id(60, 50);
    static final int DELIVER = id(60, 60);
    static final int ACK = id(60, 80);
    static final int REJECT = id(60, 90);
    static final int NACK = id(60, 120);
    static final int CONFIRM_SELECT = id(85, 10);
    static final int CONFIRM_SELECT_OK = id(85, 11);

    private final int number;
    private final ByteBuffer in;

    Method(Frame frame) {
        in = ByteBuffer.wrap(frame.payload());
        number = u32();
    }

    private static int id(int classId, int methodId) {
        return classId << 16 | methodId;
    }

    int number() {
        return number;
    }

    private <T> T read(java.util.function.Supplier<T> field) {
        try {
            return field.get();
        } catch (BufferUnderflowException e) {
            throw new AmqpError(AmqpError.SYNTAX_ERROR, "a method's fields are cut short");
        }
    }

    int u8() {
        return read(() -> in.get() & 0xff);
    }

    int u16() {
        return read(() -> in.getShort() & 0xffff);
    }

    int u32() {
        return read(in::getInt);
    }

    long u64() {
        return read(in::getLong);
    }

    String shortText() {
        return text(u8());
    }

    String longText() {
        return text(u32());
    }

    private String text(int length) {
        if (length < 0 || length > in.remaining()) {
            throw new AmqpError(AmqpError.SYNTAX_ERROR, "a text is longer than its method");
        }
        byte[] bytes = new byte[length];
        in.get(bytes);
        return new String(bytes, StandardCharsets.UTF_8);
    }

    void skipTable() {
        longText();
    }

    /** Builds a method or a content header. */
    static final class Writer {
        private final ByteArrayOutputStream out = new ByteArrayOutputStream();

        Writer(int number) {
            u32(number);
        }

        Writer u8(int value) {
            out.write(value);
            return this;
        }

        Writer u16(int value) {
            return u8(value >> 8).u8(value);
        }

        Writer u32(int value) {
            return u16(value >>> 16).u16(value);
        }

        Writer u64(long value) {
            return u32((int) (value >>> 32)).u32((int) value);
        }

        Writer shortText(String text) {
            byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
            if (bytes.length > 255) {
                throw new IllegalArgumentException("a short text has at most 255 bytes");
            }
            out.write(bytes.length);
            out.writeBytes(bytes);
            return this;
        }

        Writer longText(String text) {
            byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
            u32(bytes.length);
            out.writeBytes(bytes);
            return this;
        }

        /** A table of flags that are all true, at the path given for nested ones. */
        Writer capabilities(String product, String... flags) {
            Writer inner = new Writer(0);
            for (String flag : flags) {
                inner.shortText(flag).u8('t').u8(1);
            }
            byte[] table = inner.fields();
            Writer all = new Writer(0);
            all.shortText("product").u8('S').longText(product);
            all.shortText("capabilities").u8('F').u32(table.length).raw(table);
            byte[] outer = all.fields();
            return u32(outer.length).raw(outer);
        }

        Writer raw(byte[] bytes) {
            out.writeBytes(bytes);
            return this;
        }

        private byte[] fields() {
            byte[] all = out.toByteArray();
            return java.util.Arrays.copyOfRange(all, 4, all.length);
        }

        byte[] frame(int channel) {
            return new Frame(Frame.METHOD, channel, out.toByteArray()).bytes();
        }

        byte[] header(int channel) {
            return new Frame(Frame.HEADER, channel, out.toByteArray()).bytes();
        }
    }
}
