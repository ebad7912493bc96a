package juniperusher.core;

import java.io.ByteArrayInputStream;
import java.io.DataInputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Reads the records of a segment up to the first one that is torn, damaged or unreadable. */
final class SegmentReader {
    private static final Logger LOG = LoggerFactory.getLogger(SegmentReader.class);

    private SegmentReader() {}

    /** Receives a record. */
    interface RecordConsumer {
        /** Reads the record, whose type comes first. */
        void accept(DataInputStream record) throws IOException;
    }

    /** Passes each record to the consumer in order, and returns how many bytes they take in all. */
    static int readRecords(byte[] bytes, RecordConsumer consumer) {
        ByteBuffer buffer = ByteBuffer.wrap(bytes);
        int end = 0;
        while (buffer.remaining() >= JournalRecords.HEADER_BYTES) {
            int length = buffer.getInt();
            int expectedChecksum = buffer.getInt();
            if (length <= 0 || length > JournalRecords.MAX_RECORD_BYTES || length > buffer.remaining()) {
                return end; // its writer has not finished this record, or ended while it wrote it
            }
            if (JournalRecords.checksum(bytes, buffer.position(), length) != expectedChecksum) {
                return end;
            }
            try {
                consumer.accept(new DataInputStream(new ByteArrayInputStream(bytes, buffer.position(), length)));
            } catch (IOException | RuntimeException e) {
                LOG.warn("journal: unreadable record; the rest of the segment is ignored: {}", e.toString());
                return end;
            }
            buffer.position(buffer.position() + length);
            end = buffer.position();
        }
        return end;
    }
}
