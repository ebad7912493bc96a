package juniperusher.sim;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/**
 * Reads the fields of a frame in order; integers are big-endian. Reading past the end of the current record or of
 * the frame throws a {@link MalformedInputException}. Not thread-safe.
 */
final class FrameReader {
    private final ByteBuffer in;
    private final int frameEnd;

    FrameReader(byte[] frame) {
        in = ByteBuffer.wrap(frame);
        frameEnd = frame.length;
    }

    /** Offset of the next byte in the frame. */
    int position() {
        return in.position();
    }

    /** Whether the whole frame has been read. */
    boolean atEnd() {
        return in.position() == frameEnd;
    }

    /**
     * Limits reading to a record of the next {@code size} bytes.
     *
     * @param record name of the record for error messages
     */
    void beginRecord(long size, String record) {
        if (size > frameEnd - in.position()) {
            throw new MalformedInputException(record + " at byte " + in.position() + ": " + size
                    + " bytes of fields, but the frame ends after " + (frameEnd - in.position()));
        }
        in.limit(in.position() + (int) size);
    }

    /** Checks that the record was read completely and removes its limit. */
    void endRecord(String record) {
        if (in.hasRemaining()) {
            throw new MalformedInputException(
                    record + " ending at byte " + in.limit() + ": " + in.remaining() + " bytes too many");
        }
        in.limit(frameEnd);
    }

    int u8() {
        requireBytes(1);
        return in.get() & 0xff;
    }

    int u16() {
        requireBytes(2);
        return in.getShort() & 0xffff;
    }

    long u32() {
        requireBytes(4);
        return in.getInt() & 0xffffffffL;
    }

    /** Reads an id of 32 bits, without conversion to an unsigned value. */
    int id() {
        requireBytes(4);
        return in.getInt();
    }

    long u64() {
        requireBytes(8);
        return in.getLong();
    }

    float f32() {
        requireBytes(4);
        return in.getFloat();
    }

    double f64() {
        requireBytes(8);
        return in.getDouble();
    }

    byte[] bytes(long length) {
        requireBytes(length);
        byte[] out = new byte[(int) length];
        in.get(out);
        return out;
    }

    /** Reads UTF-8 text of {@code length} bytes. */
    String text(long length) {
        return new String(bytes(length), StandardCharsets.UTF_8);
    }

    private void requireBytes(long length) {
        if (length > in.remaining()) {
            throw new MalformedInputException("byte " + in.position() + ": " + length + " bytes wanted, but only "
                    + in.remaining() + " are left in the record");
        }
    }
}
