package juniperusher.shard;

import java.util.zip.CRC32C;

/**
 * The frame of every binary form: magic number, kind and version before the content, and behind it a CRC32C checksum of
 * all bytes before the checksum.
 */
final class BinaryFrame {
    static final int SNAPSHOT = 'S';
    static final int DELTA = 'D';

    private static final int VERSION = 1;
    private static final int MAGIC = 0x4A53; // "JS"
    private static final int HEADER_BYTES = 4;
    private static final int CHECKSUM_BYTES = 4;

    private BinaryFrame() {}

    /** Returns a writer that contains the header: magic number, kind and version. */
    static ByteWriter begin(int kind) {
        ByteWriter writer = new ByteWriter();
        writer.putFixed(MAGIC, 2);
        writer.putByte(kind);
        writer.putByte(VERSION);
        return writer;
    }

    /** Appends the checksum and returns all bytes. */
    static byte[] finish(ByteWriter writer) {
        byte[] content = writer.toBytes();
        writer.putFixed(checksum(content, content.length), CHECKSUM_BYTES);
        return writer.toBytes();
    }

    /**
     * Checks header and checksum, and returns a reader of the content.
     *
     * @throws DamagedMapException if the bytes are too few, or the magic number, checksum, kind or version is wrong
     */
    static ByteReader contentReader(byte[] bytes, int kind) {
        if (bytes.length < HEADER_BYTES + CHECKSUM_BYTES) {
            throw new DamagedMapException(
                    "at least " + (HEADER_BYTES + CHECKSUM_BYTES) + " bytes were expected, got " + bytes.length);
        }
        ByteReader header = new ByteReader(bytes, 0, HEADER_BYTES);
        if (header.getFixed(2) != MAGIC) {
            throw new DamagedMapException("not a shard map: the magic number is wrong");
        }
        int end = bytes.length - CHECKSUM_BYTES;
        if (new ByteReader(bytes, end, bytes.length).getFixed(CHECKSUM_BYTES) != checksum(bytes, end)) {
            throw new DamagedMapException("the checksum does not match");
        }
        int actualKind = header.getByte();
        if (actualKind != kind) {
            throw new DamagedMapException("kind '" + (char) kind + "' was expected, got '" + (char) actualKind + "'");
        }
        int version = header.getByte();
        if (version != VERSION) {
            throw new DamagedMapException("version " + VERSION + " was expected, got " + version);
        }
        return new ByteReader(bytes, HEADER_BYTES, end);
    }

    private static long checksum(byte[] bytes, int length) {
        CRC32C checksum = new CRC32C();
        checksum.update(bytes, 0, length);
        return checksum.getValue();
    }
}
