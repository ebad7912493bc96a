package juniperusher.distribution;

import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.zip.CRC32C;
import juniperusher.distribution.DamagedFrameException.Fault;

/**
 * Encodes and decodes control messages as binary frames. All numbers are big-endian. A frame consists of the length of
 * the rest of the frame (4 bytes), the protocol version (1 byte), the message type (1 byte), the content, and a CRC32C
 * over everything from the version to the end of the content (4 bytes). The content begins with the sender's term (8
 * bytes).
 *
 * <p>The static methods are thread-safe; a {@link Decoder} is not.
 */
public final class ControlMessageCodec {
    /** Maximum size of a frame in bytes, including the length field. */
    public static final int MAX_FRAME_BYTES = 1 << 20;
    /** The only protocol version that is supported. */
    public static final byte PROTOCOL_VERSION = 1;

    /** Maximum size of a subscriber's name in bytes of UTF-8. */
    public static final int MAX_NAME_BYTES = 255;

    private static final int LENGTH_BYTES = 4;
    private static final int CHECKSUM_BYTES = 4;
    private static final int FRAME_OVERHEAD_BYTES = LENGTH_BYTES + 2 + CHECKSUM_BYTES;
    private static final int VERSION_BYTES = 16;
    // upper bound of the term difference and the length that precede a change's bytes in a delta
    private static final int MAX_CHANGE_OVERHEAD_BYTES = 12;
    private static final int VARINT_BITS = 7;
    private static final int VARINT_MASK = (1 << VARINT_BITS) - 1;
    private static final int MAX_VARINT_BYTES = 9; // enough for any non-negative long

    private static final byte TYPE_SUBSCRIBE = 1;
    private static final byte TYPE_SNAPSHOT_PART = 2;
    private static final byte TYPE_DELTA = 3;
    private static final byte TYPE_HEARTBEAT = 4;
    private static final byte TYPE_BUSY = 5;
    private static final byte TYPE_ACKNOWLEDGE = 6;

    private ControlMessageCodec() {}

    /** Size of the message's frame in bytes. */
    public static int encodedSize(ControlMessage message) {
        return FRAME_OVERHEAD_BYTES + Long.BYTES + contentSize(message);
    }

    /** Upper bound of the bytes that a change adds to a delta's frame. */
    static int encodedSize(Change change) {
        return MAX_CHANGE_OVERHEAD_BYTES + change.delta().length;
    }

    private static int contentSize(ControlMessage message) {
        if (message instanceof ControlMessage.Subscribe subscribe) {
            return VERSION_BYTES + 2 + encodedName(subscribe).length;
        } else if (message instanceof ControlMessage.SnapshotPart part) {
            return VERSION_BYTES + 3 * Integer.BYTES + part.bytes().length;
        } else if (message instanceof ControlMessage.Delta delta) {
            return deltaSize(delta);
        } else if (message instanceof ControlMessage.Heartbeat) {
            return 2 * VERSION_BYTES + Double.BYTES + Long.BYTES + Double.BYTES;
        } else if (message instanceof ControlMessage.Busy) {
            return Double.BYTES;
        }
        return VERSION_BYTES + Long.BYTES; // Acknowledge
    }

    private static int deltaSize(ControlMessage.Delta delta) {
        int size = VERSION_BYTES + Integer.BYTES;
        long term = delta.fromVersion().term();
        for (Change change : delta.changes()) {
            int length = change.delta().length;
            size += varintSize(change.version().term() - term) + varintSize(length) + length;
            term = change.version().term();
        }
        return size;
    }

    private static byte[] encodedName(ControlMessage.Subscribe subscribe) {
        byte[] name = subscribe.subscriber().getBytes(StandardCharsets.UTF_8);
        if (name.length > MAX_NAME_BYTES) {
            throw new IllegalArgumentException("subscriber name is longer than " + MAX_NAME_BYTES + " bytes");
        }
        return name;
    }

    /**
     * Encodes a message as one frame.
     *
     * @throws IllegalArgumentException if the frame would be longer than {@link #MAX_FRAME_BYTES}, or a subscriber's
     *     name longer than {@link #MAX_NAME_BYTES}
     */
    public static byte[] encode(ControlMessage message) {
        int size = encodedSize(message);
        if (size > MAX_FRAME_BYTES) {
            throw new IllegalArgumentException("frame of " + size + " bytes exceeds the maximum of " + MAX_FRAME_BYTES);
        }
        ByteBuffer out = ByteBuffer.allocate(size);
        out.putInt(size - LENGTH_BYTES)
                .put(PROTOCOL_VERSION)
                .put(typeCode(message))
                .putLong(message.term());
        if (message instanceof ControlMessage.Subscribe subscribe) {
            byte[] name = encodedName(subscribe);
            putVersion(out, subscribe.version()).put((byte) (subscribe.republishes() ? 1 : 0));
            out.put((byte) name.length).put(name);
        } else if (message instanceof ControlMessage.SnapshotPart part) {
            putVersion(out, part.version()).putInt(part.partIndex()).putInt(part.partCount());
            out.putInt(part.checksum()).put(part.bytes());
        } else if (message instanceof ControlMessage.Delta delta) {
            putVersion(out, delta.fromVersion()).putInt(delta.changes().size());
            long changeTerm = delta.fromVersion().term();
            for (Change change : delta.changes()) {
                putVarint(out, change.version().term() - changeTerm);
                putVarint(out, change.delta().length);
                out.put(change.delta());
                changeTerm = change.version().term();
            }
        } else if (message instanceof ControlMessage.Heartbeat heartbeat) {
            putVersion(putVersion(out, heartbeat.newestVersion()), heartbeat.sentVersion());
            out.putDouble(heartbeat.ageSeconds())
                    .putLong(heartbeat.acknowledgedMessages())
                    .putDouble(heartbeat.secondsSinceAcknowledge());
        } else if (message instanceof ControlMessage.Busy busy) {
            out.putDouble(busy.retryAfterSeconds());
        } else if (message instanceof ControlMessage.Acknowledge acknowledge) {
            putVersion(out, acknowledge.version()).putLong(acknowledge.receivedMessages());
        }
        return out.putInt(checksum(out.array(), LENGTH_BYTES, size - CHECKSUM_BYTES))
                .array();
    }

    private static byte typeCode(ControlMessage message) {
        if (message instanceof ControlMessage.Subscribe) {
            return TYPE_SUBSCRIBE;
        } else if (message instanceof ControlMessage.SnapshotPart) {
            return TYPE_SNAPSHOT_PART;
        } else if (message instanceof ControlMessage.Delta) {
            return TYPE_DELTA;
        } else if (message instanceof ControlMessage.Heartbeat) {
            return TYPE_HEARTBEAT;
        }
        return message instanceof ControlMessage.Busy ? TYPE_BUSY : TYPE_ACKNOWLEDGE;
    }

    private static ByteBuffer putVersion(ByteBuffer out, Version version) {
        return out.putLong(version.term()).putLong(version.revision());
    }

    /** The CRC32C over the bytes from {@code from} (inclusive) to {@code to} (exclusive). */
    static int checksum(byte[] bytes, int from, int to) {
        CRC32C checksum = new CRC32C();
        checksum.update(bytes, from, to - from);
        return (int) checksum.getValue();
    }

    /**
     * Splits the bytes of one connection into frames and decodes them. The bytes may arrive in pieces of any size.
     * Buffers at most one incomplete frame and one piece, if {@link #next} is called until it returns null before more
     * bytes are added.
     */
    public static final class Decoder {
        private static final int INITIAL_CAPACITY_BYTES = 256;
        private static final int MIN_LENGTH = FRAME_OVERHEAD_BYTES - LENGTH_BYTES + Long.BYTES;

        private byte[] buffer = new byte[INITIAL_CAPACITY_BYTES];
        private int frameStart;
        private int dataEnd;

        /** Adds received bytes; see {@link #feed(ByteBuffer)}. */
        public void feed(byte[] piece) {
            feed(ByteBuffer.wrap(piece));
        }

        /**
         * Adds the buffer's remaining bytes. Before the next call, {@link #next} has to be called until it returns
         * null.
         */
        public void feed(ByteBuffer piece) {
            int added = piece.remaining();
            if (dataEnd + added > buffer.length) {
                int pending = dataEnd - frameStart;
                byte[] target = pending + added > buffer.length
                        ? new byte[Math.max(pending + added, 2 * buffer.length)]
                        : buffer;
                System.arraycopy(buffer, frameStart, target, 0, pending);
                buffer = target;
                frameStart = 0;
                dataEnd = pending;
            }
            piece.get(buffer, dataEnd, added);
            dataEnd += added;
        }

        /**
         * Returns the next message, or null if its frame is not complete yet.
         *
         * @throws DamagedFrameException if the frame is invalid; the decoder must not be used any more
         */
        public ControlMessage next() throws DamagedFrameException {
            if (dataEnd - frameStart < LENGTH_BYTES) {
                return null;
            }
            int length = ByteBuffer.wrap(buffer).getInt(frameStart);
            if (length < MIN_LENGTH || length > MAX_FRAME_BYTES - LENGTH_BYTES) {
                throw new DamagedFrameException(
                        Fault.LENGTH,
                        "frame length is " + length + ", allowed are " + MIN_LENGTH + " to "
                                + (MAX_FRAME_BYTES - LENGTH_BYTES));
            }
            if (dataEnd - frameStart - LENGTH_BYTES < length) {
                return null;
            }
            int from = frameStart + LENGTH_BYTES;
            frameStart = from + length;
            ControlMessage message = decodeFrame(buffer, from, frameStart);
            if (frameStart == dataEnd) {
                frameStart = 0;
                dataEnd = 0;
                buffer = buffer.length > INITIAL_CAPACITY_BYTES ? new byte[INITIAL_CAPACITY_BYTES] : buffer;
            }
            return message;
        }

        /** How many buffered bytes belong to an incomplete frame. */
        public int pendingBytes() {
            return dataEnd - frameStart;
        }
    }

    private static ControlMessage decodeFrame(byte[] bytes, int from, int to) throws DamagedFrameException {
        if (bytes[from] != PROTOCOL_VERSION) {
            throw new DamagedFrameException(
                    Fault.VERSION, "protocol version is " + bytes[from] + ", expected " + PROTOCOL_VERSION);
        }
        int contentEnd = to - CHECKSUM_BYTES;
        ByteBuffer in = ByteBuffer.wrap(bytes, from + 1, contentEnd - from - 1);
        if (checksum(bytes, from, contentEnd) != ByteBuffer.wrap(bytes).getInt(contentEnd)) {
            throw new DamagedFrameException(Fault.CHECKSUM, "CRC32C mismatch in a frame");
        }
        byte type = in.get();
        try {
            ControlMessage message = decodeContent(type, in.getLong(), in);
            if (in.hasRemaining()) {
                throw new DamagedFrameException(Fault.CONTENT, in.remaining() + " excess bytes after the message");
            }
            return message;
        } catch (BufferUnderflowException | IllegalArgumentException ex) {
            throw new DamagedFrameException(Fault.CONTENT, "malformed message of type " + type + ": " + ex);
        }
    }

    private static ControlMessage decodeContent(byte type, long term, ByteBuffer in) throws DamagedFrameException {
        if (term < 0) {
            throw new DamagedFrameException(Fault.CONTENT, "negative term " + term);
        }
        return switch (type) {
            case TYPE_SUBSCRIBE -> readSubscribe(term, in);
            case TYPE_SNAPSHOT_PART ->
                new ControlMessage.SnapshotPart(
                        term, readVersion(in), in.getInt(), in.getInt(), in.getInt(), readBytes(in, in.remaining()));
            case TYPE_DELTA -> readDelta(term, in);
            case TYPE_HEARTBEAT ->
                new ControlMessage.Heartbeat(
                        term, readVersion(in), readVersion(in), readSeconds(in), in.getLong(), readSeconds(in));
            case TYPE_BUSY -> new ControlMessage.Busy(term, readSeconds(in));
            case TYPE_ACKNOWLEDGE -> new ControlMessage.Acknowledge(term, readVersion(in), in.getLong());
            default ->
                throw new DamagedFrameException(Fault.TYPE, "unknown message type " + type + ", expected 1 to 6");
        };
    }

    private static ControlMessage.Subscribe readSubscribe(long term, ByteBuffer in) {
        Version has = readVersion(in);
        byte republishes = in.get();
        if (republishes != 0 && republishes != 1) {
            throw new IllegalArgumentException("flag is " + republishes);
        }
        String name = new String(readBytes(in, Byte.toUnsignedInt(in.get())), StandardCharsets.UTF_8);
        return new ControlMessage.Subscribe(name, republishes == 1, term, has);
    }

    private static ControlMessage.Delta readDelta(long term, ByteBuffer in) {
        Version from = readVersion(in);
        int count = in.getInt();
        List<Change> changes = new ArrayList<>();
        long changeTerm = from.term();
        for (int i = 1; i <= count; i++) {
            changeTerm += readVarint(in);
            Version version = new Version(changeTerm, from.revision() + i);
            long length = readVarint(in);
            changes.add(new Change(version, readBytes(in, (int) Math.min(length, Integer.MAX_VALUE))));
        }
        return new ControlMessage.Delta(term, from, changes);
    }

    private static int varintSize(long number) {
        int size = 1;
        for (long rest = number >>> VARINT_BITS; rest != 0; rest >>>= VARINT_BITS) {
            size++;
        }
        return size;
    }

    private static void putVarint(ByteBuffer out, long number) {
        long rest = number;
        while (rest > VARINT_MASK) {
            out.put((byte) (rest & VARINT_MASK | 1 << VARINT_BITS));
            rest >>>= VARINT_BITS;
        }
        out.put((byte) rest);
    }

    /**
     * Reads a non-negative number that is stored in groups of seven bits, lowest group first. The eighth bit is set in
     * all bytes but the last one.
     */
    private static long readVarint(ByteBuffer in) {
        long number = 0;
        for (int i = 0; i < MAX_VARINT_BYTES; i++) {
            byte group = in.get();
            number |= (long) (group & VARINT_MASK) << VARINT_BITS * i;
            if (group >= 0) {
                return number;
            }
        }
        throw new IllegalArgumentException("variable-length number is longer than " + MAX_VARINT_BYTES + " bytes");
    }

    private static Version readVersion(ByteBuffer in) {
        return new Version(in.getLong(), in.getLong());
    }

    private static double readSeconds(ByteBuffer in) {
        double seconds = in.getDouble();
        if (!(seconds >= 0)) {
            throw new IllegalArgumentException("duration of " + seconds + " s is not allowed");
        }
        return seconds;
    }

    private static byte[] readBytes(ByteBuffer in, int length) {
        if (length < 0 || length > in.remaining()) {
            throw new BufferUnderflowException();
        }
        int from = in.arrayOffset() + in.position();
        in.position(in.position() + length);
        return Arrays.copyOfRange(in.array(), from, from + length);
    }
}
