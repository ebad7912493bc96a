package juniperusher.shard;

import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;

/** Reads what {@link ByteWriter} wrote, and refuses whatever else it meets with {@link DamagedMapException}. */
final class ByteReader {
    private static final int LONG_BITS = 64;

    private final byte[] bytes;
    private final int end;
    private int position;

    ByteReader(byte[] bytes, int from, int end) {
        this.bytes = bytes;
        this.end = end;
        position = from;
    }

    int get() {
        if (position >= end) {
            throw new DamagedMapException("more bytes were expected");
        }
        return bytes[position++] & 0xFF;
    }

    long getUnsigned() {
        long value = 0;
        for (int shift = 0; shift < LONG_BITS; shift += 7) {
            int one = get();
            value |= (long) (one & 0x7F) << shift;
            if (one < 0x80) {
                return value;
            }
        }
        throw new DamagedMapException("a number is too long");
    }

    long getSigned() {
        long value = getUnsigned();
        return (value >>> 1) ^ -(value & 1);
    }

    /** A number from 0 to {@code most}, which is named by {@code what} where it is not. */
    int getUpTo(int most, String what) {
        long value = getUnsigned();
        if (value < 0 || value > most) {
            throw new DamagedMapException(what + " from 0 to " + most + " was expected, got " + value);
        }
        return (int) value;
    }

    /** How many of something follow, each of at least one byte: so that no damage asks for much memory. */
    int getCount(String what) {
        return getUpTo(end - position, "a number of " + what);
    }

    long getFixed(int width) {
        long value = 0;
        for (int i = 0; i < width; i++) {
            value = value << 8 | get();
        }
        return value;
    }

    String getText() {
        int length = getCount("bytes of text");
        try {
            String text = StandardCharsets.UTF_8
                    .newDecoder()
                    .decode(ByteBuffer.wrap(bytes, position, length))
                    .toString();
            position += length;
            return text;
        } catch (CharacterCodingException broken) {
            throw new DamagedMapException("text in UTF-8 was expected", broken);
        }
    }

    void expectEnd() {
        if (position != end) {
            throw new DamagedMapException((end - position) + " bytes are left over");
        }
    }
}
