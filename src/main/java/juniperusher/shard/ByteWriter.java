package juniperusher.shard;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/** A growing array of bytes with the primitives of the shard map's binary forms. */
final class ByteWriter {
    private byte[] bytes = new byte[256];
    private int size;

    void put(int value) {
        if (size == bytes.length) {
            bytes = Arrays.copyOf(bytes, 2 * size);
        }
        bytes[size++] = (byte) value;
    }

    /** Seven bits a byte, the least first; the highest bit says that more follow. */
    void putUnsigned(long value) {
        long rest = value;
        while ((rest & ~0x7FL) != 0) {
            put((int) (rest & 0x7F) | 0x80);
            rest >>>= 7;
        }
        put((int) rest);
    }

    /** Numbers near zero are short, whatever their sign. */
    void putSigned(long value) {
        putUnsigned((value << 1) ^ (value >> 63));
    }

    void putFixed(long value, int width) {
        for (int shift = 8 * (width - 1); shift >= 0; shift -= 8) {
            put((int) (value >>> shift));
        }
    }

    void putText(String text) {
        byte[] encoded = text.getBytes(StandardCharsets.UTF_8);
        putUnsigned(encoded.length);
        for (byte one : encoded) {
            put(one);
        }
    }

    int size() {
        return size;
    }

    byte[] toBytes() {
        return Arrays.copyOf(bytes, size);
    }
}
