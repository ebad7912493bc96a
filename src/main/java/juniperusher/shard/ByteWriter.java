package juniperusher.shard;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/** A growing byte buffer that writes the primitive values of the binary forms. Not thread-safe. */
final class ByteWriter {
    private byte[] bytes = new byte[256];
    private int size;

    void putByte(int value) {
        if (size == bytes.length) {
            bytes = Arrays.copyOf(bytes, 2 * size);
        }
        bytes[size++] = (byte) value;
    }

    /**
     * Writes seven bits per byte, the least significant first. The highest bit of a byte is set if another one follows.
     */
    void putVarint(long value) {
        long remaining = value;
        while ((remaining & ~0x7FL) != 0) {
            putByte((int) (remaining & 0x7F) | 0x80);
            remaining >>>= 7;
        }
        putByte((int) remaining);
    }

    /** Writes a signed number so that positive and negative numbers near zero take few bytes. */
    void putZigZagVarint(long value) {
        putVarint((value << 1) ^ (value >> 63));
    }

    /** Writes the lowest {@code width} bytes of the value, the most significant byte first. */
    void putFixed(long value, int width) {
        for (int shift = 8 * (width - 1); shift >= 0; shift -= 8) {
            putByte((int) (value >>> shift));
        }
    }

    /** Writes the length in bytes of the UTF-8 text, then the text. */
    void putText(String text) {
        byte[] encoded = text.getBytes(StandardCharsets.UTF_8);
        putVarint(encoded.length);
        for (byte one : encoded) {
            putByte(one);
        }
    }

    int size() {
        return size;
    }

    byte[] toBytes() {
        return Arrays.copyOf(bytes, size);
    }
}
