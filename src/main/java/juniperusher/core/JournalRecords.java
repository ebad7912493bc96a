package juniperusher.core;

import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.ByteBuffer;
import java.util.zip.CRC32C;
import juniperusher.clock.SteadyClock;

/**
 * Encodes and decodes the records of the journal. A record is its length, a checksum and its fields, of which the first
 * are its type (a byte) and a number (an int); only {@link #REMEMBERED_KEY} has a text there. A reader skips records of
 * a type that it does not know, and fields that a later version has appended.
 */
final class JournalRecords {
    /** Bytes of length and checksum in front of the fields. */
    private static final int UNKNOWN_KIND = -1; // of a remembered end

    static final int HEADER_BYTES = 8;
    /** Maximum length of a record's fields; a longer one is treated as damaged. */
    static final int MAX_RECORD_BYTES = 1 << 20;

    // Types of records. They are stored, so they must not change.
    static final byte ACCEPTED = 1;
    static final byte ATTEMPT = 2;
    static final byte OUTCOME = 3;
    static final byte ENDED = 4;
    static final byte ACKNOWLEDGED = 5;
    static final byte REMEMBERED_KEY = 6;
    /** Starts a snapshot: the records up to its end replace what its writer wrote before. */
    static final byte SNAPSHOT_BEGINS = 7;

    static final byte SNAPSHOT_ENDS = 8;

    private JournalRecords() {}

    private interface Fields {
        /** Writes the fields after the type. */
        void write(DataOutputStream out) throws IOException;
    }

    private static byte[] record(byte type, Fields fields) {
        try {
            ByteArrayOutputStream bytes = new ByteArrayOutputStream();
            DataOutputStream out = new DataOutputStream(bytes);
            out.writeByte(type);
            fields.write(out);
            byte[] body = bytes.toByteArray();
            return ByteBuffer.allocate(HEADER_BYTES + body.length)
                    .putInt(body.length)
                    .putInt(checksum(body, 0, body.length))
                    .put(body)
                    .array();
        } catch (IOException e) {
            throw new UncheckedIOException(e); // cannot happen: the stream writes to memory
        }
    }

    static int checksum(byte[] bytes, int from, int length) {
        CRC32C sum = new CRC32C();
        sum.update(bytes, from, length);
        return (int) sum.getValue();
    }

    /**
     * A snapshot's first record.
     *
     * @param firstSegment the snapshot replaces all of its writer's segments from this number on
     * @param clockMark lets the next process resume the steady clock
     * @param numberRange the range from which its writer allocates message numbers
     */
    static byte[] snapshotBegins(int firstSegment, SteadyClock.Mark clockMark, int numberRange) {
        return record(SNAPSHOT_BEGINS, out -> {
            out.writeInt(firstSegment);
            out.writeUTF(clockMark.boot());
            out.writeLong(clockMark.nanos());
            out.writeLong(clockMark.millis());
            // earlier versions do not know the fields from here on
            out.writeInt(numberRange);
        });
    }

    static byte[] snapshotEnds(int firstSegment) {
        return record(SNAPSHOT_ENDS, out -> out.writeInt(firstSegment));
    }

    /** Reads the clock mark of a snapshot's first record, after its type and number. */
    static SteadyClock.Mark clockMark(DataInputStream in) throws IOException {
        return new SteadyClock.Mark(in.readUTF(), in.readLong(), in.readLong());
    }

    /** Reads the range of message numbers in a snapshot's first record, after its clock mark. */
    static int numberRange(DataInputStream in) throws IOException {
        return in.available() > 0 ? in.readInt() : MessageNumbers.FIRST_RANGE;
    }

    static byte[] rememberedEnd(String key, RememberedEnds.End end) {
        return record(REMEMBERED_KEY, out -> {
            out.writeUTF(key);
            out.writeLong(end.atMillis());
            // earlier versions do not know the field from here on
            out.writeByte(end.kind() == null ? UNKNOWN_KIND : end.kind().ordinal());
        });
    }

    /** Reads the end in a {@link #REMEMBERED_KEY} record, after its type and key. */
    static RememberedEnds.End rememberedEnd(DataInputStream in) throws IOException {
        long atMillis = in.readLong();
        int kind = in.available() > 0 ? in.readByte() : UNKNOWN_KIND;
        return new RememberedEnds.End(atMillis, kind == UNKNOWN_KIND ? null : RpcEnd.Kind.values()[kind]);
    }

    static byte[] accepted(UnfinishedMessage entry) {
        RpcRequest request = entry.request();
        return record(ACCEPTED, out -> {
            out.writeInt(entry.number());
            out.writeUTF(request.id());
            out.writeUTF(request.front());
            out.writeInt(request.messageClass());
            out.writeInt(request.destination());
            out.writeLong(request.deadlineMillis());
            out.writeUTF(request.returnAddress());
            out.writeBoolean(request.acceptOnce());
            out.writeInt(entry.attempts());
            out.writeBoolean(entry.firstPossibleRun() != null);
            out.writeBoolean(entry.inFlight() != null);
            byte[] body = entry.end() == null ? request.body() : new byte[0];
            out.writeInt(body.length);
            out.write(body);
            // earlier versions do not know the fields from here on
            out.writeUTF(entry.className());
            write(out, entry.firstPossibleRun());
            write(out, entry.inFlight());
            out.writeUTF(request.idempotencyKey());
            out.writeUTF(request.orderKey());
            out.writeUTF(request.tenant());
            out.writeLong(entry.acceptedAtMicros());
        });
    }

    /** Reads the message in an {@link #ACCEPTED} record, after its type and number. */
    static UnfinishedMessage accepted(int number, DataInputStream in) throws IOException {
        String id = in.readUTF();
        String front = in.readUTF();
        int messageClass = in.readInt();
        int destination = in.readInt();
        long deadlineMillis = in.readLong();
        String returnAddress = in.readUTF();
        boolean acceptOnce = in.readBoolean();
        int attempts = in.readInt();
        boolean hasPossibleRun = in.readBoolean();
        boolean hasInFlight = in.readBoolean();
        byte[] body = in.readNBytes(in.readInt());
        String className = optionalText(in);
        Attempt firstPossibleRun = attempt(in);
        Attempt inFlight = attempt(in);
        RpcRequest request = new RpcRequest(
                id,
                front,
                messageClass,
                destination,
                deadlineMillis,
                returnAddress,
                acceptOnce,
                body,
                false,
                optionalText(in),
                optionalText(in),
                optionalText(in));
        long acceptedAtMicros = in.available() > 0 ? in.readLong() : 0;
        return new UnfinishedMessage(
                number,
                request,
                className,
                acceptedAtMicros,
                attempts,
                hasPossibleRun ? firstPossibleRun : null,
                hasInFlight ? inFlight : null,
                null);
    }

    /** Reads a text, or returns an empty one if an earlier version wrote the record without it. */
    private static String optionalText(DataInputStream in) throws IOException {
        return in.available() > 0 ? in.readUTF() : "";
    }

    static byte[] attempt(int number, Attempt attempt) {
        return record(ATTEMPT, out -> {
            out.writeInt(number);
            write(out, attempt);
        });
    }

    private static void write(DataOutputStream out, Attempt attempt) throws IOException {
        out.writeLong(attempt == null ? 0 : attempt.startedAtMillis());
        out.writeInt(attempt == null ? -1 : attempt.zoneIndex());
    }

    /**
     * Reads an attempt. Records of an earlier version have neither time nor zone; time 0 makes the repeat window of
     * such an attempt count as expired.
     */
    static Attempt attempt(DataInputStream in) throws IOException {
        return in.available() > 0 ? new Attempt(in.readLong(), in.readInt()) : new Attempt(0, -1);
    }

    static byte[] outcome(int number, boolean neverRan) {
        return record(OUTCOME, out -> {
            out.writeInt(number);
            out.writeBoolean(neverRan);
        });
    }

    static byte[] ended(int number, RpcEnd end, long endMillis) {
        return record(ENDED, out -> {
            out.writeInt(number);
            out.writeByte(end.kind().ordinal());
            out.writeDouble(end.retryAfterSeconds());
            out.writeLong(endMillis);
        });
    }

    static byte[] acknowledged(int number) {
        return record(ACKNOWLEDGED, out -> out.writeInt(number));
    }
}
