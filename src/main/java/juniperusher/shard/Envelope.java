package juniperusher.shard;

import java.util.zip.CRC32C;

/** What stands round every binary form: mark, kind and version before the content, CRC32C of it all behind it. */
final class Envelope {
    static final int SNAPSHOT = 'S';
    static final int DELTA = 'D';

    private static final int VERSION = 1;
    private static final int MARK = 0x4A53; // "JS"
    private static final int HEADER = 4;
    private static final int CHECKSUM = 4;

    private Envelope() {}

    /** A writer with the mark, the kind and the version in it. */
    static ByteWriter begin(int kind) {
        ByteWriter writer = new ByteWriter();
        writer.putFixed(MARK, 2);
        writer.put(kind);
        writer.put(VERSION);
        return writer;
    }

    /** What was written, with its checksum. */
    static byte[] seal(ByteWriter writer) {
        byte[] content = writer.toBytes();
        writer.putFixed(checksum(content, content.length), CHECKSUM);
        return writer.toBytes();
    }

    /** A reader of the content. */
    static ByteReader open(byte[] bytes, int kind) {
        if (bytes.length < HEADER + CHECKSUM) {
            throw new DamagedMapException(
                    "at least " + (HEADER + CHECKSUM) + " bytes were expected, got " + bytes.length);
        }
        ByteReader header = new ByteReader(bytes, 0, HEADER);
        if (header.getFixed(2) != MARK) {
            throw new DamagedMapException("the bytes are no shard map");
        }
        int end = bytes.length - CHECKSUM;
        if (new ByteReader(bytes, end, bytes.length).getFixed(CHECKSUM) != checksum(bytes, end)) {
            throw new DamagedMapException("the checksum does not match");
        }
        int found = header.get();
        if (found != kind) {
            throw new DamagedMapException("kind '" + (char) kind + "' was expected, got '" + (char) found + "'");
        }
        int version = header.get();
        if (version != VERSION) {
            throw new DamagedMapException("version " + VERSION + " was expected, got " + version);
        }
        return new ByteReader(bytes, HEADER, end);
    }

    private static long checksum(byte[] bytes, int length) {
        CRC32C checksum = new CRC32C();
        checksum.update(bytes, 0, length);
        return checksum.getValue();
    }
}
