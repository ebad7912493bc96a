package juniperusher.storm;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.zip.CRC32C;

/**
 * Datagram that a relay sends to the other relays during storms. Immutable. The encoding has at most 256 bytes: magic
 * number (2), version (1), number of entries (1), sender's clock (8), entries (23 each), CRC-32C (4). A datagram of
 * another version, of a wrong length or with a wrong checksum is ignored as a whole.
 *
 * @param sentAt  time of sending by the sender's clock, in seconds
 * @param entries destinations that are not calm, those with the most pending messages first
 */
record StormNote(double sentAt, List<Entry> entries) {
    static final int MAX_BYTES = 256;
    static final int MAX_ENTRIES = 10;
    private static final short MAGIC = (short) 0x4a53;
    private static final byte VERSION = 1;
    private static final int HEADER_BYTES = 12;
    private static final int ENTRY_BYTES = 23;
    private static final int CHECKSUM_BYTES = 4;
    private static final double AGE_UNIT_SECONDS = 0.01;
    /** Maximum of an unsigned 16-bit field; as an age it means infinite. */
    private static final int MAX_UNSIGNED_SHORT = 0xffff;
    /** Added before rounding down a part that was already rounded down to a multiple of 1/255. */
    private static final double ROUNDING_TOLERANCE = 1e-6;

    /**
     * State of one destination at the sender.
     *
     * @param destination number of the destination
     * @param inOutage whether it is in an outage
     * @param outageAgeSeconds seconds since the start of the outage, or infinite
     * @param recoveryAgeSeconds seconds since the recovery, or infinite
     * @param pending number of pending messages
     * @param borrower number of the relay that a part of the sender's share is lent to, -1 for none
     * @param lentFraction lent fraction of the sender's equal share, 0 to 1
     * @param echo last timestamp received from the borrowing relay
     */
    record Entry(
            int destination,
            boolean inOutage,
            double outageAgeSeconds,
            double recoveryAgeSeconds,
            int pending,
            int borrower,
            double lentFraction,
            RateShares.TimestampEcho echo) {}

    StormNote {
        entries = List.copyOf(entries);
        if (entries.size() > MAX_ENTRIES) {
            throw new IllegalArgumentException(
                    entries.size() + " destinations in a note; the maximum is " + MAX_ENTRIES);
        }
    }

    /** Encodes the note; fractions and ages are rounded down. */
    byte[] encode() {
        ByteBuffer out = ByteBuffer.allocate(HEADER_BYTES + ENTRY_BYTES * entries.size() + CHECKSUM_BYTES);
        out.putShort(MAGIC).put(VERSION).put((byte) entries.size()).putDouble(sentAt);
        for (Entry entry : entries) {
            out.putInt(entry.destination())
                    .put((byte) (entry.inOutage() ? 1 : 0))
                    .putShort(encodeAge(entry.outageAgeSeconds()))
                    .putShort(encodeAge(entry.recoveryAgeSeconds()))
                    .putShort((short) Math.min(MAX_UNSIGNED_SHORT, entry.pending()))
                    .put((byte) entry.borrower())
                    .put((byte) (int) Math.floor(entry.lentFraction() * 255 + ROUNDING_TOLERANCE))
                    .putDouble(entry.echo().timestamp())
                    .putShort(encodeAge(entry.echo().ageSeconds()));
        }
        out.putInt(checksum(out.array(), out.position()));
        return out.array();
    }

    private static short encodeAge(double seconds) {
        return (short) (int) Math.min(MAX_UNSIGNED_SHORT, Math.floor(Math.max(0, seconds) / AGE_UNIT_SECONDS));
    }

    private static int checksum(byte[] bytes, int length) {
        CRC32C crc = new CRC32C();
        crc.update(bytes, 0, length);
        return (int) crc.getValue();
    }

    /** Decodes a note; null if the bytes are not a valid note of this version. */
    static StormNote decode(byte[] bytes) {
        if (bytes.length < HEADER_BYTES + CHECKSUM_BYTES || bytes.length > MAX_BYTES) {
            return null;
        }
        ByteBuffer in = ByteBuffer.wrap(bytes);
        boolean knownFormat = in.getShort() == MAGIC && in.get() == VERSION;
        int count = in.get() & 0xff;
        if (!knownFormat
                || bytes.length != HEADER_BYTES + ENTRY_BYTES * count + CHECKSUM_BYTES
                || count > MAX_ENTRIES
                || checksum(bytes, bytes.length - CHECKSUM_BYTES) != in.getInt(bytes.length - CHECKSUM_BYTES)) {
            return null;
        }
        double sentAt = in.getDouble();
        List<Entry> entries = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            entries.add(new Entry(
                    in.getInt(),
                    in.get() != 0,
                    decodeAge(in.getShort()),
                    decodeAge(in.getShort()),
                    in.getShort() & 0xffff,
                    in.get(),
                    (in.get() & 0xff) / 255.0,
                    new RateShares.TimestampEcho(in.getDouble(), decodeAge(in.getShort()))));
        }
        return Double.isFinite(sentAt) ? new StormNote(sentAt, entries) : null;
    }

    private static double decodeAge(short age) {
        int units = age & 0xffff;
        return units == MAX_UNSIGNED_SHORT ? Double.POSITIVE_INFINITY : units * AGE_UNIT_SECONDS;
    }
}
