package juniperusher.distribution;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import juniperusher.distribution.DamagedFrameException.Fault;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.LongRange;
import org.junit.jupiter.api.Test;

/** Encoding and decoding of frames, incomplete input and damaged frames. */
class ControlMessageCodecTest {
    private static final String SEED = "20261202";

    private static Version version(SplittableRandom random) {
        return new Version(random.nextLong(1, 9), random.nextLong(1, 1L << 40));
    }

    private static byte[] bytes(SplittableRandom random, int bound) {
        byte[] bytes = new byte[random.nextInt(bound)];
        random.nextBytes(bytes);
        return bytes;
    }

    private static ControlMessage message(SplittableRandom random) {
        long term = random.nextLong(1L << 50);
        return switch (random.nextInt(6)) {
            case 0 ->
                new ControlMessage.Subscribe("relé-" + random.nextInt(), random.nextBoolean(), term, version(random));
            case 1 ->
                new ControlMessage.SnapshotPart(term, version(random), 3, 9, random.nextInt(), bytes(random, 5_000));
            case 2 -> delta(term, random);
            case 3 ->
                new ControlMessage.Heartbeat(
                        term, version(random), version(random), Double.POSITIVE_INFINITY, random.nextLong(), 0.5);
            case 4 -> new ControlMessage.Busy(term, random.nextDouble());
            default -> new ControlMessage.Acknowledge(term, version(random), random.nextLong());
        };
    }

    private static ControlMessage delta(long term, SplittableRandom random) {
        Version from = version(random);
        List<Change> changes = new ArrayList<>();
        for (int i = 1; i <= 1 + random.nextInt(20); i++) {
            changes.add(new Change(new Version(from.term() + i / 3 * i, from.revision() + i), bytes(random, 300)));
        }
        return new ControlMessage.Delta(term, from, changes);
    }

    @Property(tries = 500, seed = SEED)
    void decodesMessagesFromPiecesOfAnySize(@ForAll @LongRange(min = 0) long seed) throws Exception {
        SplittableRandom random = new SplittableRandom(seed);
        List<ControlMessage> messages = new ArrayList<>();
        ByteArrayOutputStream wire = new ByteArrayOutputStream();
        for (int i = 0; i < 8; i++) {
            ControlMessage message = message(random);
            byte[] frame = ControlMessageCodec.encode(message);
            assertEquals(frame.length, ControlMessageCodec.encodedSize(message));
            messages.add(message);
            wire.write(frame);
        }
        ControlMessageCodec.Decoder decoder = new ControlMessageCodec.Decoder();
        ByteBuffer bytes = ByteBuffer.wrap(wire.toByteArray());
        List<ControlMessage> decoded = new ArrayList<>();
        while (bytes.hasRemaining()) {
            int piece = Math.min(bytes.remaining(), 1 + random.nextInt(1 << random.nextInt(1, 13)));
            decoder.feed(bytes.slice(bytes.position(), piece));
            bytes.position(bytes.position() + piece);
            for (ControlMessage one = decoder.next(); one != null; one = decoder.next()) {
                decoded.add(one);
            }
        }
        assertEquals(messages, decoded);
        assertEquals(0, decoder.pendingBytes());
    }

    /**
     * A flipped bit must not yield a message. It is reported as damage or, if it makes the length larger, the decoder
     * waits for more bytes.
     */
    @Property(tries = 2_000, seed = SEED)
    void detectsSingleBitErrors(@ForAll @LongRange(min = 0) long seed, @ForAll @IntRange(max = 1 << 20) int bitNumber) {
        byte[] frame = ControlMessageCodec.encode(message(new SplittableRandom(seed)));
        int bit = bitNumber % (8 * frame.length);
        frame[bit / 8] ^= (byte) (1 << bit % 8);
        ControlMessageCodec.Decoder decoder = new ControlMessageCodec.Decoder();
        decoder.feed(ByteBuffer.wrap(frame));
        try {
            assertNull(decoder.next());
            assertTrue(bit < 32, "decoder did not report the flipped bit " + bit);
        } catch (DamagedFrameException ex) {
            assertTrue(ex.getMessage().length() > 0);
        }
    }

    private static Fault fault(byte[] frame) {
        ControlMessageCodec.Decoder decoder = new ControlMessageCodec.Decoder();
        decoder.feed(ByteBuffer.wrap(frame));
        return assertThrows(DamagedFrameException.class, decoder::next).fault();
    }

    private static byte[] withValidChecksum(byte[] frame) {
        int end = frame.length - Integer.BYTES;
        ByteBuffer.wrap(frame).putInt(end, ControlMessageCodec.checksum(frame, Integer.BYTES, end));
        return frame;
    }

    @Test
    void reportsTheFaultOfADamagedFrame() {
        byte[] frame = ControlMessageCodec.encode(new ControlMessage.Busy(1, 2));
        byte[] tooLong = frame.clone();
        ByteBuffer.wrap(tooLong).putInt(0, ControlMessageCodec.MAX_FRAME_BYTES);
        assertEquals(Fault.LENGTH, fault(tooLong), "refused before all bytes have arrived");
        byte[] negative = frame.clone();
        ByteBuffer.wrap(negative).putInt(0, -1);
        assertEquals(Fault.LENGTH, fault(negative));
        byte[] unknownVersion = frame.clone();
        unknownVersion[4] = 2;
        assertEquals(Fault.VERSION, fault(unknownVersion));
        byte[] unknownType = frame.clone();
        unknownType[5] = 77;
        assertEquals(Fault.CHECKSUM, fault(unknownType));
        assertEquals(Fault.TYPE, fault(withValidChecksum(unknownType)));
        byte[] negativeDelay = frame.clone();
        ByteBuffer.wrap(negativeDelay).putDouble(14, -1);
        assertEquals(Fault.CONTENT, fault(withValidChecksum(negativeDelay)), "negative duration");
        byte[] truncated = frame.clone();
        truncated[5] = 4;
        assertEquals(Fault.CONTENT, fault(withValidChecksum(truncated)), "content too short for a heartbeat");
    }

    @Test
    void refusesMalformedDeltas() {
        List<Change> changes = List.of(new Change(new Version(1, 8), new byte[] {1}));
        byte[] frame = ControlMessageCodec.encode(new ControlMessage.Delta(1, new Version(1, 7), changes));
        byte[] noChanges = frame.clone();
        ByteBuffer.wrap(noChanges).putInt(30, 0);
        assertEquals(Fault.CONTENT, fault(withValidChecksum(noChanges)));
        byte[] tooManyChanges = frame.clone();
        ByteBuffer.wrap(tooManyChanges).putInt(30, Integer.MAX_VALUE);
        assertEquals(Fault.CONTENT, fault(withValidChecksum(tooManyChanges)));
        byte[] tooLongChange = frame.clone();
        tooLongChange[35] = 100;
        assertEquals(Fault.CONTENT, fault(withValidChecksum(tooLongChange)), "change is longer than the frame");
        byte[] unterminated = frame.clone();
        java.util.Arrays.fill(unterminated, 34, 37, (byte) -1);
        assertEquals(Fault.CONTENT, fault(withValidChecksum(unterminated)), "unterminated number");
    }

    @Test
    void refusesToEncodeOversizedMessages() {
        byte[] oversized = new byte[ControlMessageCodec.MAX_FRAME_BYTES];
        ControlMessage message = new ControlMessage.SnapshotPart(1, new Version(1, 1), 0, 1, 0, oversized);
        assertThrows(IllegalArgumentException.class, () -> ControlMessageCodec.encode(message));
        ControlMessage named = new ControlMessage.Subscribe("n".repeat(300), false, 1, Version.NONE);
        assertThrows(IllegalArgumentException.class, () -> ControlMessageCodec.encode(named));
    }

    /** Guards against a change of the format without a new protocol version. */
    @Test
    void encodesAFrameInTheDocumentedFormat() {
        byte[] frame = ControlMessageCodec.encode(new ControlMessage.Busy(3, 0.5));
        byte[] expected = {0, 0, 0, 22, 1, 5, 0, 0, 0, 0, 0, 0, 0, 3, 0x3f, (byte) 0xe0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0};
        assertArrayEquals(
                java.util.Arrays.copyOf(expected, 22), java.util.Arrays.copyOf(frame, 22), "all but the checksum");
    }
}
