package juniperusher.shard;

import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;

/**
 * Reads the values that {@link ByteWriter} writes. All methods throw {@link DamagedMapException} if the bytes do not
 * contain the expected value. Not thread-safe.
 */
final class ByteReader {
    private static final int LONG_BITS = 64;

    private final byte[] bytes;
    private final int endPosition;
    private int position;

    /** Reads the bytes from index {@code from} up to {@code endPosition}, exclusive. */
    ByteReader(byte[] bytes, int from, int endPosition) {
        this.bytes = bytes;
        this.endPosition = endPosition;
        position = from;
    }

    int getByte() {
        if (position >= endPosition) {
            throw new DamagedMapException("the data ends too early");
        }
        return bytes[position++] & 0xFF;
    }

    /** Reads what {@link ByteWriter#putVarint} wrote. */
    long getVarint() {
        long value = 0;
        for (int shift = 0; shift < LONG_BITS; shift += 7) {
            int current = getByte();
            value |= (long) (current & 0x7F) << shift;
            if (current < 0x80) {
                return value;
            }
        }
        throw new DamagedMapException("a variable-length number has too many bytes");
    }

    /** Reads what {@link ByteWriter#putZigZagVarint} wrote. */
    long getZigZagVarint() {
        long value = getVarint();
        return (value >>> 1) ^ -(value & 1);
    }

    /** Reads a number from 0 to {@code max}. {@code valueName} names the value in the error message. */
    int getBounded(int max, String valueName) {
        long value = getVarint();
        if (value < 0 || value > max) {
            throw new DamagedMapException(valueName + " from 0 to " + max + " was expected, got " + value);
        }
        return (int) value;
    }

    /**
     * Reads the number of elements that follow. Each takes at least one byte, so the number is limited to that of the
     * remaining bytes; otherwise a damaged number could cause a huge allocation.
     */
    int getCount(String elementName) {
        return getBounded(endPosition - position, "a number of " + elementName);
    }

    /** Reads a number of {@code width} bytes, the most significant byte first. */
    long getFixed(int width) {
        long value = 0;
        for (int i = 0; i < width; i++) {
            value = value << 8 | getByte();
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
        } catch (CharacterCodingException invalid) {
            throw new DamagedMapException("a text is not valid UTF-8", invalid);
        }
    }

    /** Throws an exception if there are unread bytes. */
    void expectEnd() {
        if (position != endPosition) {
            throw new DamagedMapException((endPosition - position) + " bytes are left over");
        }
    }
}
