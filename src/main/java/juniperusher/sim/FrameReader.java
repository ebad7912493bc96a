package juniperusher.sim;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/** Reads fields from a frame; a field past the end of its record or frame is a {@link WireException}. */
final class FrameReader {
    private final ByteBuffer in;
    private final int frameEnd;

    FrameReader(byte[] frame) {
        in = ByteBuffer.wrap(frame);
        frameEnd = frame.length;
    }

    int position() {
        return in.position();
    }

    boolean atEnd() {
        return in.position() == frameEnd;
    }

    /** Bounds reading to the next {@code size} bytes. */
    void beginRecord(long size, String record) {
        if (size > frameEnd - in.position()) {
            throw new WireException(record + " at byte " + in.position() + ": " + size
                    + " bytes of fields, but the frame ends after " + (frameEnd - in.position()));
        }
        in.limit(in.position() + (int) size);
    }

    /** Checks that the record was read to its end and lifts the bound. */
    void endRecord(String record) {
        if (in.hasRemaining()) {
            throw new WireException(
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

    /** An id: 32 bits, kept as they are. */
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

    String text(long length) {
        return new String(bytes(length), StandardCharsets.UTF_8);
    }

    private void requireBytes(long length) {
        if (length > in.remaining()) {
            throw new WireException("byte " + in.position() + ": " + length + " bytes wanted, but only "
                    + in.remaining() + " are left in the record");
        }
    }
}
