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
 * The journal's records as bytes: a length, a checksum and the fields. A type that a version does not know is passed
 * over by it, so each record begins with its type and an int.
 */
final class JournalRecords {
    /** Bytes in front of a record's fields. */
    static final int HEADER = 8;
    /** Bytes of a record; a longer one is damage. */
    static final int MOST = 1 << 20;

    static final byte TAKEN = 1;
    static final byte ATTEMPT = 2;
    static final byte OUTCOME = 3;
    static final byte ENDED = 4;
    static final byte ACKNOWLEDGED = 5;
    static final byte REMEMBERED = 6;
    /** From here to its end: all that its writer holds, which takes the place of what it wrote before. */
    static final byte SNAPSHOT_BEGINS = 7;

    static final byte SNAPSHOT_ENDS = 8;

    private JournalRecords() {}

    private interface Fields {
        void write(DataOutputStream out) throws IOException;
    }

    private static byte[] record(byte type, Fields fields) {
        try {
            ByteArrayOutputStream bytes = new ByteArrayOutputStream();
            DataOutputStream out = new DataOutputStream(bytes);
            out.writeByte(type);
            fields.write(out);
            byte[] body = bytes.toByteArray();
            return ByteBuffer.allocate(HEADER + body.length)
                    .putInt(body.length)
                    .putInt(checksum(body, 0, body.length))
                    .put(body)
                    .array();
        } catch (IOException e) {
            throw new UncheckedIOException(e); // not from memory
        }
    }

    static int checksum(byte[] bytes, int from, int length) {
        CRC32C sum = new CRC32C();
        sum.update(bytes, from, length);
        return (int) sum.getValue();
    }

    /** {@code firstSegment}: the snapshot stands for all of its writer's segments from that number on. */
    static byte[] snapshotBegins(int firstSegment, SteadyClock.Mark clock) {
        return record(SNAPSHOT_BEGINS, out -> {
            out.writeInt(firstSegment);
            out.writeUTF(clock.boot());
            out.writeLong(clock.nanos());
            out.writeLong(clock.millis());
        });
    }

    static byte[] snapshotEnds(int firstSegment) {
        return record(SNAPSHOT_ENDS, out -> out.writeInt(firstSegment));
    }

    /** The clock's mark in a snapshot's first record, of which type and number are read. */
    static SteadyClock.Mark clock(DataInputStream in) throws IOException {
        return new SteadyClock.Mark(in.readUTF(), in.readLong(), in.readLong());
    }

    static byte[] remembered(String key, long at) {
        return record(REMEMBERED, out -> {
            out.writeUTF(key);
            out.writeLong(at);
        });
    }

    static byte[] taken(Journal.Owed entry) {
        RpcRequest request = entry.request();
        return record(TAKEN, out -> {
            out.writeInt(entry.number());
            out.writeUTF(request.id());
            out.writeUTF(request.front());
            out.writeInt(request.messageClass());
            out.writeInt(request.destination());
            out.writeLong(request.deadline());
            out.writeUTF(request.returnAddress());
            out.writeBoolean(request.once());
            out.writeInt(entry.attempts());
            out.writeBoolean(entry.ran() != null);
            out.writeBoolean(entry.out() != null);
            byte[] body = entry.end() == null ? request.body() : new byte[0];
            out.writeInt(body.length);
            out.write(body);
            out.writeUTF(entry.className()); // from here on: unknown to versions before this one
            write(out, entry.ran());
            write(out, entry.out());
            out.writeUTF(request.idempotencyKey());
            out.writeUTF(request.orderKey());
            out.writeUTF(request.tenant());
            out.writeLong(entry.takenAt());
        });
    }

    /** The entry of a record of which type and {@code number} are read. */
    static Journal.Owed taken(int number, DataInputStream in) throws IOException {
        String id = in.readUTF();
        String front = in.readUTF();
        int messageClass = in.readInt();
        int destination = in.readInt();
        long deadline = in.readLong();
        String returnAddress = in.readUTF();
        boolean once = in.readBoolean();
        int attempts = in.readInt();
        boolean ran = in.readBoolean();
        boolean out = in.readBoolean();
        byte[] body = in.readNBytes(in.readInt());
        String className = text(in);
        Journal.Attempt first = attempt(in);
        Journal.Attempt last = attempt(in);
        RpcRequest request = new RpcRequest(
                id,
                front,
                messageClass,
                destination,
                deadline,
                returnAddress,
                once,
                body,
                false,
                text(in),
                text(in),
                text(in));
        long takenAt = in.available() > 0 ? in.readLong() : 0;
        return new Journal.Owed(
                number, request, className, takenAt, attempts, ran ? first : null, out ? last : null, null);
    }

    /** A text that records of an earlier version lack. */
    private static String text(DataInputStream in) throws IOException {
        return in.available() > 0 ? in.readUTF() : "";
    }

    static byte[] attempt(int number, Journal.Attempt attempt) {
        return record(ATTEMPT, out -> {
            out.writeInt(number);
            write(out, attempt);
        });
    }

    private static void write(DataOutputStream out, Journal.Attempt attempt) throws IOException {
        out.writeLong(attempt == null ? 0 : attempt.at());
        out.writeInt(attempt == null ? -1 : attempt.zone());
    }

    /**
     * Reads an attempt. Guards records of an earlier version, which tell neither time nor zone: the window of such an
     * attempt counts as over.
     */
    static Journal.Attempt attempt(DataInputStream in) throws IOException {
        return in.available() > 0 ? new Journal.Attempt(in.readLong(), in.readInt()) : new Journal.Attempt(0, -1);
    }

    static byte[] outcome(int number, boolean neverRan) {
        return record(OUTCOME, out -> {
            out.writeInt(number);
            out.writeBoolean(neverRan);
        });
    }

    static byte[] ended(int number, RpcEnd end, long at) {
        return record(ENDED, out -> {
            out.writeInt(number);
            out.writeByte(end.kind().ordinal());
            out.writeDouble(end.retryIn());
            out.writeLong(at);
        });
    }

    static byte[] acknowledged(int number) {
        return record(ACKNOWLEDGED, out -> out.writeInt(number));
    }
}
