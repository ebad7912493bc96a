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
 * Messages as binary frames, numbers in network order: four bytes with the length of what follows, a byte with the
 * protocol's version, a byte with the message's type, the content, four bytes with the CRC32C from the version on.
 */
public final class ControlMessageCodec {
    /** The most bytes that a frame may have, with its length. */
    public static final int MAX_FRAME = 1 << 20;
    /** The version of the protocol that this class speaks. */
    public static final byte PROTOCOL_VERSION = 1;

    /** The most bytes that a subscriber's name may have in UTF-8. */
    public static final int MAX_NAME = 255;

    private static final int LENGTH_BYTES = 4;
    private static final int CHECKSUM_BYTES = 4;
    private static final int OVERHEAD = LENGTH_BYTES + 2 + CHECKSUM_BYTES;
    private static final int VERSION_BYTES = 16;
    private static final int CHANGE_OVERHEAD = 12; // the most that a change's term and length take within a frame
    private static final int VARINT_BITS = 7;
    private static final int VARINT_MASK = (1 << VARINT_BITS) - 1;
    private static final int MOST_VARINT_BYTES = 9; // of a number from 0

    private static final byte SUBSCRIBE = 1;
    private static final byte SNAPSHOT_PART = 2;
    private static final byte DELTA = 3;
    private static final byte HEARTBEAT = 4;
    private static final byte BUSY = 5;
    private static final byte ACKNOWLEDGE = 6;

    private ControlMessageCodec() {}

    /** How many bytes the message's frame has. */
    public static int size(ControlMessage message) {
        return OVERHEAD + Long.BYTES + contentSize(message);
    }

    /** The most bytes that a change adds to a delta's frame. */
    static int size(Change change) {
        return CHANGE_OVERHEAD + change.delta().length;
    }

    private static int contentSize(ControlMessage message) {
        if (message instanceof ControlMessage.Subscribe subscribe) {
            return VERSION_BYTES + 2 + name(subscribe).length;
        } else if (message instanceof ControlMessage.SnapshotPart part) {
            return VERSION_BYTES + 3 * Integer.BYTES + part.bytes().length;
        } else if (message instanceof ControlMessage.Delta delta) {
            return deltaSize(delta);
        } else if (message instanceof ControlMessage.Heartbeat) {
            return 2 * VERSION_BYTES + Double.BYTES + Long.BYTES + Double.BYTES;
        } else if (message instanceof ControlMessage.Busy) {
            return Double.BYTES;
        }
        return VERSION_BYTES + Long.BYTES; // an acknowledgement
    }

    private static int deltaSize(ControlMessage.Delta delta) {
        int size = VERSION_BYTES + Integer.BYTES;
        long term = delta.from().term();
        for (Change change : delta.changes()) {
            int length = change.delta().length;
            size += varintSize(change.version().term() - term) + varintSize(length) + length;
            term = change.version().term();
        }
        return size;
    }

    private static byte[] name(ControlMessage.Subscribe subscribe) {
        byte[] name = subscribe.subscriber().getBytes(StandardCharsets.UTF_8);
        if (name.length > MAX_NAME) {
            throw new IllegalArgumentException("a subscriber's name of more than " + MAX_NAME + " bytes");
        }
        return name;
    }

    /**
     * The message's frame.
     *
     * @throws IllegalArgumentException if it would be longer than {@link #MAX_FRAME}
     */
    public static byte[] encode(ControlMessage message) {
        int size = size(message);
        if (size > MAX_FRAME) {
            throw new IllegalArgumentException("a frame of " + size + " bytes, more than " + MAX_FRAME);
        }
        ByteBuffer out = ByteBuffer.allocate(size);
        out.putInt(size - LENGTH_BYTES).put(PROTOCOL_VERSION).put(type(message)).putLong(message.term());
        if (message instanceof ControlMessage.Subscribe subscribe) {
            byte[] name = name(subscribe);
            put(out, subscribe.has()).put((byte) (subscribe.republishes() ? 1 : 0));
            out.put((byte) name.length).put(name);
        } else if (message instanceof ControlMessage.SnapshotPart part) {
            put(out, part.version()).putInt(part.part()).putInt(part.parts());
            out.putInt(part.checksum()).put(part.bytes());
        } else if (message instanceof ControlMessage.Delta delta) {
            put(out, delta.from()).putInt(delta.changes().size());
            long changeTerm = delta.from().term();
            for (Change change : delta.changes()) {
                putVarint(out, change.version().term() - changeTerm);
                putVarint(out, change.delta().length);
                out.put(change.delta());
                changeTerm = change.version().term();
            }
        } else if (message instanceof ControlMessage.Heartbeat heartbeat) {
            put(put(out, heartbeat.newest()), heartbeat.sent());
            out.putDouble(heartbeat.age()).putLong(heartbeat.acknowledged()).putDouble(heartbeat.since());
        } else if (message instanceof ControlMessage.Busy busy) {
            out.putDouble(busy.retryAfter());
        } else if (message instanceof ControlMessage.Acknowledge acknowledge) {
            put(out, acknowledge.has()).putLong(acknowledge.received());
        }
        return out.putInt(checksum(out.array(), LENGTH_BYTES, size - CHECKSUM_BYTES))
                .array();
    }

    private static byte type(ControlMessage message) {
        if (message instanceof ControlMessage.Subscribe) {
            return SUBSCRIBE;
        } else if (message instanceof ControlMessage.SnapshotPart) {
            return SNAPSHOT_PART;
        } else if (message instanceof ControlMessage.Delta) {
            return DELTA;
        } else if (message instanceof ControlMessage.Heartbeat) {
            return HEARTBEAT;
        }
        return message instanceof ControlMessage.Busy ? BUSY : ACKNOWLEDGE;
    }

    private static ByteBuffer put(ByteBuffer out, Version version) {
        return out.putLong(version.term()).putLong(version.revision());
    }

    /** The CRC32C of a range of bytes. */
    static int checksum(byte[] bytes, int from, int to) {
        CRC32C checksum = new CRC32C();
        checksum.update(bytes, from, to - from);
        return (int) checksum.getValue();
    }

    /** Finds the frames of one connection in its bytes, cut anywhere. Holds at most one frame and one piece. */
    public static final class Decoder {
        private static final int FIRST_CAPACITY = 256;
        private static final int SMALLEST = OVERHEAD - LENGTH_BYTES + Long.BYTES;

        private byte[] held = new byte[FIRST_CAPACITY];
        private int start;
        private int end;

        /** Takes a piece of the connection's bytes; whole messages are to be asked for before more is fed. */
        public void feed(byte[] piece) {
            feed(ByteBuffer.wrap(piece));
        }

        /** Takes the buffer's remaining bytes; whole messages are to be asked for before more is fed. */
        public void feed(ByteBuffer piece) {
            int more = piece.remaining();
            if (end + more > held.length) {
                int kept = end - start;
                byte[] room = kept + more > held.length ? new byte[Math.max(kept + more, 2 * held.length)] : held;
                System.arraycopy(held, start, room, 0, kept);
                held = room;
                start = 0;
                end = kept;
            }
            piece.get(held, end, more);
            end += more;
        }

        /** The next message, or null if it is not whole yet. After a damage there is no going on. */
        public ControlMessage next() throws DamagedFrameException {
            if (end - start < LENGTH_BYTES) {
                return null;
            }
            int length = ByteBuffer.wrap(held).getInt(start);
            if (length < SMALLEST || length > MAX_FRAME - LENGTH_BYTES) {
                throw new DamagedFrameException(
                        Fault.LENGTH,
                        "a frame of " + length + " bytes, not " + SMALLEST + " to " + (MAX_FRAME - LENGTH_BYTES));
            }
            if (end - start - LENGTH_BYTES < length) {
                return null;
            }
            int from = start + LENGTH_BYTES;
            start = from + length;
            ControlMessage message = decode(held, from, start);
            if (start == end) {
                start = 0;
                end = 0;
                held = held.length > FIRST_CAPACITY ? new byte[FIRST_CAPACITY] : held;
            }
            return message;
        }

        /** How many bytes wait for the rest of their frame. */
        public int pending() {
            return end - start;
        }
    }

    private static ControlMessage decode(byte[] bytes, int from, int to) throws DamagedFrameException {
        if (bytes[from] != PROTOCOL_VERSION) {
            throw new DamagedFrameException(
                    Fault.VERSION, "protocol version " + bytes[from] + ", not " + PROTOCOL_VERSION);
        }
        int contentEnd = to - CHECKSUM_BYTES;
        ByteBuffer in = ByteBuffer.wrap(bytes, from + 1, contentEnd - from - 1);
        if (checksum(bytes, from, contentEnd) != ByteBuffer.wrap(bytes).getInt(contentEnd)) {
            throw new DamagedFrameException(Fault.CHECKSUM, "a frame whose CRC32C is not that of its bytes");
        }
        byte type = in.get();
        try {
            ControlMessage message = content(type, in.getLong(), in);
            if (in.hasRemaining()) {
                throw new DamagedFrameException(Fault.CONTENT, in.remaining() + " bytes beyond a message's end");
            }
            return message;
        } catch (BufferUnderflowException | IllegalArgumentException ex) {
            throw new DamagedFrameException(Fault.CONTENT, "a message of type " + type + " that is none: " + ex);
        }
    }

    private static ControlMessage content(byte type, long term, ByteBuffer in) throws DamagedFrameException {
        if (term < 0) {
            throw new DamagedFrameException(Fault.CONTENT, "term " + term);
        }
        return switch (type) {
            case SUBSCRIBE -> subscribe(term, in);
            case SNAPSHOT_PART ->
                new ControlMessage.SnapshotPart(
                        term, version(in), in.getInt(), in.getInt(), in.getInt(), bytes(in, in.remaining()));
            case DELTA -> delta(term, in);
            case HEARTBEAT ->
                new ControlMessage.Heartbeat(term, version(in), version(in), seconds(in), in.getLong(), seconds(in));
            case BUSY -> new ControlMessage.Busy(term, seconds(in));
            case ACKNOWLEDGE -> new ControlMessage.Acknowledge(term, version(in), in.getLong());
            default -> throw new DamagedFrameException(Fault.TYPE, "a message of type " + type + ", not 1 to 6");
        };
    }

    private static ControlMessage.Subscribe subscribe(long term, ByteBuffer in) {
        Version has = version(in);
        byte republishes = in.get();
        if (republishes != 0 && republishes != 1) {
            throw new IllegalArgumentException("a flag of " + republishes);
        }
        String name = new String(bytes(in, Byte.toUnsignedInt(in.get())), StandardCharsets.UTF_8);
        return new ControlMessage.Subscribe(name, republishes == 1, term, has);
    }

    private static ControlMessage.Delta delta(long term, ByteBuffer in) {
        Version from = version(in);
        int count = in.getInt();
        List<Change> changes = new ArrayList<>();
        long changeTerm = from.term();
        for (int i = 1; i <= count; i++) {
            changeTerm += varint(in);
            Version version = new Version(changeTerm, from.revision() + i);
            long length = varint(in);
            changes.add(new Change(version, bytes(in, (int) Math.min(length, Integer.MAX_VALUE))));
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

    /** A number from 0 in groups of seven bits, the lowest first; all but the last have the eighth bit set. */
    private static long varint(ByteBuffer in) {
        long number = 0;
        for (int i = 0; i < MOST_VARINT_BYTES; i++) {
            byte group = in.get();
            number |= (long) (group & VARINT_MASK) << VARINT_BITS * i;
            if (group >= 0) {
                return number;
            }
        }
        throw new IllegalArgumentException("a number of more than " + MOST_VARINT_BYTES + " bytes");
    }

    private static Version version(ByteBuffer in) {
        return new Version(in.getLong(), in.getLong());
    }

    private static double seconds(ByteBuffer in) {
        double seconds = in.getDouble();
        if (!(seconds >= 0)) {
            throw new IllegalArgumentException("a time of " + seconds + " s");
        }
        return seconds;
    }

    private static byte[] bytes(ByteBuffer in, int length) {
        if (length < 0 || length > in.remaining()) {
            throw new BufferUnderflowException();
        }
        int from = in.arrayOffset() + in.position();
        in.position(in.position() + length);
        return Arrays.copyOfRange(in.array(), from, from + length);
    }
}
