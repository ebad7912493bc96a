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
import juniperusher.Protocol.Cancel;
import juniperusher.Protocol.CloseIdle;
import juniperusher.Protocol.Fail;
import juniperusher.Protocol.Log;
import juniperusher.Protocol.Note;
import juniperusher.Protocol.Probe;
import juniperusher.Protocol.Refuse;
import juniperusher.Protocol.Reload;
import juniperusher.Protocol.Send;
import juniperusher.Protocol.WakeAt;
import juniperusher.Protocol.Watch;

/** Gathers the reply to a batch and writes it in one piece. */
final class ReplyWriter {
    private static final int HEADER_BYTES = 4;

    private final ByteArrayOutputStream frameBytes = new ByteArrayOutputStream();
    private final DataOutputStream out = new DataOutputStream(frameBytes);

    ReplyWriter() {
        unchecked(() -> out.writeInt(0));
    }

    /** The actions of an instance, if it has any. */
    void addActions(int instance, List<Action> actions) {
        if (!actions.isEmpty()) {
            addInstance(instance);
            actions.forEach(action -> unchecked(() -> writeAction(action)));
        }
    }

    /** A crash of an instance's decision code. */
    void addFault(int instance, String text) {
        addInstance(instance);
        unchecked(() -> writeText(76, text));
    }

    void writeTo(OutputStream to) throws IOException {
        byte[] frame = frameBytes.toByteArray();
        ByteBuffer.wrap(frame, 0, HEADER_BYTES).putInt(frame.length);
        to.write(frame);
        to.flush();
    }

    private void addInstance(int instance) {
        unchecked(() -> {
            writeRecordHeader(73, 4);
            out.writeInt(instance);
        });
    }

    private void writeAction(Action action) throws IOException {
        if (action instanceof Send a) {
            writeRecordHeader(72, 16);
            out.writeInt(a.message());
            out.writeInt(a.target());
            out.writeDouble(a.timeout());
        } else if (action instanceof Refuse a) {
            writeRecordHeader(75, 12);
            out.writeInt(a.message());
            out.writeDouble(a.after());
        } else if (action instanceof Fail a) {
            writeRecordHeader(71, 4);
            out.writeInt(a.message());
        } else if (action instanceof WakeAt a) {
            writeRecordHeader(68, 16);
            out.writeDouble(a.time());
            out.writeLong(a.token());
        } else if (action instanceof Cancel a) {
            writeRecordHeader(74, 6);
            out.writeInt(a.message());
            out.writeShort(a.attempt());
        } else if (action instanceof Watch a) {
            writeRecordHeader(66, 1);
            out.writeByte(a.on() ? 1 : 0);
        } else if (action instanceof Reload) {
            writeRecordHeader(65, 0);
        } else if (action instanceof Probe a) {
            writeRecordHeader(69, 4);
            out.writeInt(a.target());
        } else if (action instanceof CloseIdle a) {
            writeRecordHeader(77, 4);
            out.writeInt(a.target());
        } else if (action instanceof Note a) {
            writeRecordHeader(67, 6 + a.note().length);
            out.writeInt(a.to());
            out.writeShort(a.note().length);
            out.write(a.note());
        } else if (action instanceof Log a) {
            writeText(70, a.line());
        }
    }

    private void writeText(int code, String text) throws IOException {
        byte[] utf8 = text.getBytes(StandardCharsets.UTF_8);
        byte[] clipped = Arrays.copyOf(utf8, Math.min(utf8.length, 0xffff));
        writeRecordHeader(code, 2 + clipped.length);
        out.writeShort(clipped.length);
        out.write(clipped);
    }

    private void writeRecordHeader(int code, int size) throws IOException {
        out.writeByte(code);
        out.writeInt(size);
    }

    private interface WriteStep {
        void run() throws IOException;
    }

    private static void unchecked(WriteStep step) {
        try {
            step.run();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
