package juniperusher.amqp;

import java.io.ByteArrayOutputStream;
import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/**
 * Reads the fields of a method or a content header in order. The number of a method is its class id in the
 * upper and its method id in the lower 16 bits; a content header has its weight field in place of the method
 * id. Reading past the end throws an {@link AmqpError}.
 */
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

    /** The class id and method id in one number, as in the constants of this class. */
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

    /** Reads a short string, with a length of one octet. */
    String shortText() {
        return text(u8());
    }

    /** Reads a long string, with a length of four octets. */
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

    /** Skips a field table, which has a length of four octets like a long string. */
    void skipTable() {
        longText();
    }

    /** Encodes a method or a content header. */
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

        /**
         * Adds a short string.
         *
         * @throws IllegalArgumentException if the text is longer than 255 bytes of UTF-8
         */
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

        /** Adds the peer properties: a table with the product name and a nested table of capabilities, all true. */
        Writer peerProperties(String product, String... capabilities) {
            Writer capabilityTable = new Writer(0);
            for (String capability : capabilities) {
                capabilityTable.shortText(capability).u8('t').u8(1);
            }
            byte[] capabilityBytes = capabilityTable.bytesWithoutNumber();
            Writer properties = new Writer(0);
            properties.shortText("product").u8('S').longText(product);
            properties
                    .shortText("capabilities")
                    .u8('F')
                    .u32(capabilityBytes.length)
                    .raw(capabilityBytes);
            byte[] propertyBytes = properties.bytesWithoutNumber();
            return u32(propertyBytes.length).raw(propertyBytes);
        }

        /** Adds bytes that are encoded already. */
        Writer raw(byte[] bytes) {
            out.writeBytes(bytes);
            return this;
        }

        /** The encoded fields without the leading method number, for use as the content of a table. */
        private byte[] bytesWithoutNumber() {
            byte[] all = out.toByteArray();
            return java.util.Arrays.copyOfRange(all, 4, all.length);
        }

        /** Returns the encoded fields as a method frame. */
        byte[] methodFrame(int channel) {
            return new Frame(Frame.METHOD, channel, out.toByteArray()).toBytes();
        }

        /** Returns the encoded fields as a content header frame. */
        byte[] headerFrame(int channel) {
            return new Frame(Frame.HEADER, channel, out.toByteArray()).toBytes();
        }
    }
}
