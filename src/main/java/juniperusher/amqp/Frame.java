package juniperusher.amqp;

import java.nio.ByteBuffer;

/** A frame of AMQP 0-9-1. */
record Frame(int type, int channel, byte[] payload) {
    static final int METHOD = 1;
    static final int HEADER = 2;
    static final int BODY = 3;
    static final int HEARTBEAT = 8;
    static final int END_OCTET = 0xCE;
    static final int OVERHEAD_BYTES = 8;
    static final byte[] PROTOCOL_HEADER = {'A', 'M', 'Q', 'P', 0, 0, 9, 1};

    /**
     * Reads the next frame, or returns null and consumes nothing if the frame is incomplete.
     *
     * @param maxBytes largest frame, with its header and end octet
     * @throws AmqpError if the frame is malformed or larger than {@code maxBytes}
     */
    static Frame read(ByteBuffer in, int maxBytes) {
        if (in.remaining() < OVERHEAD_BYTES - 1) {
            return null;
        }
        int start = in.position();
        int type = in.get(start) & 0xff;
        int channel = in.getShort(start + 1) & 0xffff;
        long size = in.getInt(start + 3) & 0xffffffffL;
        if (type != METHOD && type != HEADER && type != BODY && type != HEARTBEAT) {
            throw new AmqpError(AmqpError.FRAME_ERROR, "frame type " + type + " is unknown");
        }
        if (size + OVERHEAD_BYTES > maxBytes) {
            throw new AmqpError(
                    AmqpError.FRAME_ERROR, "frame of " + (size + OVERHEAD_BYTES) + " bytes is over " + maxBytes);
        }
        if (in.remaining() < size + OVERHEAD_BYTES) {
            return null;
        }
        if ((in.get(start + 7 + (int) size) & 0xff) != END_OCTET) {
            throw new AmqpError(AmqpError.FRAME_ERROR, "frame does not end with its end octet");
        }
        byte[] payload = new byte[(int) size];
        in.position(start + 7);
        in.get(payload);
        in.get();
        return new Frame(type, channel, payload);
    }

    /** Encodes the frame with its header and end octet. */
    byte[] toBytes() {
        return ByteBuffer.allocate(payload.length + OVERHEAD_BYTES)
                .put((byte) type)
                .putShort((short) channel)
                .putInt(payload.length)
                .put(payload)
                .put((byte) END_OCTET)
                .array();
    }
}
