package juniperusher.sim;

import java.io.ByteArrayOutputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import juniperusher.Protocol.Action;
import juniperusher.Protocol.CancelAttempt;
import juniperusher.Protocol.CloseIdle;
import juniperusher.Protocol.Fail;
import juniperusher.Protocol.Log;
import juniperusher.Protocol.Probe;
import juniperusher.Protocol.Refuse;
import juniperusher.Protocol.ReloadList;
import juniperusher.Protocol.Send;
import juniperusher.Protocol.SendNote;
import juniperusher.Protocol.SetListWatch;
import juniperusher.Protocol.SetTimer;

/** Collects the reply to a batch and writes it as one frame. Not thread-safe. */
final class ReplyWriter {
    private static final int HEADER_BYTES = 4;
    private static final int MAX_TEXT_BYTES = 0xffff;

    // Record codes of a reply.
    private static final int RELOAD = 65;
    private static final int WATCH = 66;
    private static final int NOTE = 67;
    private static final int WAKE_AT = 68;
    private static final int PROBE = 69;
    private static final int LOG = 70;
    private static final int FAIL = 71;
    private static final int SEND = 72;
    private static final int INSTANCE = 73;
    private static final int CANCEL = 74;
    private static final int REFUSE = 75;
    private static final int FAULT = 76;
    private static final int CLOSE_IDLE = 77;

    private final ByteArrayOutputStream frameBytes = new ByteArrayOutputStream();
    private final DataOutputStream recordOutput = new DataOutputStream(frameBytes);

    ReplyWriter() {
        unchecked(() -> recordOutput.writeInt(0));
    }

    /** Adds the actions of an instance; adds nothing if there are none. */
    void addActions(int instance, List<Action> actions) {
        if (!actions.isEmpty()) {
            addInstance(instance);
            actions.forEach(action -> unchecked(() -> writeAction(action)));
        }
    }

    /** Adds a report that the decision module threw an exception for this instance. */
    void addFault(int instance, String text) {
        addInstance(instance);
        unchecked(() -> writeText(FAULT, text));
    }

    /** Fills in the length of the frame, writes the frame and flushes. */
    void writeTo(OutputStream to) throws IOException {
        byte[] frame = frameBytes.toByteArray();
        ByteBuffer.wrap(frame, 0, HEADER_BYTES).putInt(frame.length);
        to.write(frame);
        to.flush();
    }

    /** Names the instance that the following records belong to. */
    private void addInstance(int instance) {
        unchecked(() -> {
            writeRecordHeader(INSTANCE, 4);
            recordOutput.writeInt(instance);
        });
    }

    private void writeAction(Action action) throws IOException {
        if (action instanceof Send a) {
            writeRecordHeader(SEND, 16);
            recordOutput.writeInt(a.message());
            recordOutput.writeInt(a.target());
            recordOutput.writeDouble(a.timeout());
        } else if (action instanceof Refuse a) {
            writeRecordHeader(REFUSE, 12);
            recordOutput.writeInt(a.message());
            recordOutput.writeDouble(a.retryAfter());
        } else if (action instanceof Fail a) {
            writeRecordHeader(FAIL, 4);
            recordOutput.writeInt(a.message());
        } else if (action instanceof SetTimer a) {
            writeRecordHeader(WAKE_AT, 16);
            recordOutput.writeDouble(a.time());
            recordOutput.writeLong(a.token());
        } else if (action instanceof CancelAttempt a) {
            writeRecordHeader(CANCEL, 6);
            recordOutput.writeInt(a.message());
            recordOutput.writeShort(a.attempt());
        } else if (action instanceof SetListWatch a) {
            writeRecordHeader(WATCH, 1);
            recordOutput.writeByte(a.open() ? 1 : 0);
        } else if (action instanceof ReloadList) {
            writeRecordHeader(RELOAD, 0);
        } else if (action instanceof Probe a) {
            writeRecordHeader(PROBE, 4);
            recordOutput.writeInt(a.target());
        } else if (action instanceof CloseIdle a) {
            writeRecordHeader(CLOSE_IDLE, 4);
            recordOutput.writeInt(a.target());
        } else if (action instanceof SendNote a) {
            writeRecordHeader(NOTE, 6 + a.note().length);
            recordOutput.writeInt(a.to());
            recordOutput.writeShort(a.note().length);
            recordOutput.write(a.note());
        } else if (action instanceof Log a) {
            writeText(LOG, a.line());
        }
    }

    /** Writes a record of UTF-8 text, cut to {@link #MAX_TEXT_BYTES}. */
    private void writeText(int code, String text) throws IOException {
        byte[] utf8 = text.getBytes(StandardCharsets.UTF_8);
        byte[] clipped = Arrays.copyOf(utf8, Math.min(utf8.length, MAX_TEXT_BYTES));
        writeRecordHeader(code, 2 + clipped.length);
        recordOutput.writeShort(clipped.length);
        recordOutput.write(clipped);
    }

    private void writeRecordHeader(int code, int size) throws IOException {
        recordOutput.writeByte(code);
        recordOutput.writeInt(size);
    }

    private interface WriteStep {
        void run() throws IOException;
    }

    /** Runs a step that writes to memory and so does not fail with an IOException. */
    private static void unchecked(WriteStep step) {
        try {
            step.run();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
