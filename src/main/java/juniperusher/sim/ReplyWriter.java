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
    private static final int HEADER = 4;

    private final ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    private final DataOutputStream out = new DataOutputStream(bytes);

    ReplyWriter() {
        write(() -> out.writeInt(0));
    }

    /** The actions of an instance, if it has any. */
    void actions(int instance, List<Action> actions) {
        if (!actions.isEmpty()) {
            instance(instance);
            actions.forEach(action -> write(() -> action(action)));
        }
    }

    /** A crash of an instance's decision code. */
    void fault(int instance, String text) {
        instance(instance);
        write(() -> text(76, text));
    }

    void writeTo(OutputStream to) throws IOException {
        byte[] frame = bytes.toByteArray();
        ByteBuffer.wrap(frame, 0, HEADER).putInt(frame.length);
        to.write(frame);
        to.flush();
    }

    private void instance(int instance) {
        write(() -> {
            head(73, 4);
            out.writeInt(instance);
        });
    }

    private void action(Action action) throws IOException {
        if (action instanceof Send a) {
            head(72, 16);
            out.writeInt(a.message());
            out.writeInt(a.target());
            out.writeDouble(a.timeout());
        } else if (action instanceof Refuse a) {
            head(75, 12);
            out.writeInt(a.message());
            out.writeDouble(a.after());
        } else if (action instanceof Fail a) {
            head(71, 4);
            out.writeInt(a.message());
        } else if (action instanceof WakeAt a) {
            head(68, 16);
            out.writeDouble(a.time());
            out.writeLong(a.token());
        } else if (action instanceof Cancel a) {
            head(74, 6);
            out.writeInt(a.message());
            out.writeShort(a.attempt());
        } else if (action instanceof Watch a) {
            head(66, 1);
            out.writeByte(a.on() ? 1 : 0);
        } else if (action instanceof Reload) {
            head(65, 0);
        } else if (action instanceof Probe a) {
            head(69, 4);
            out.writeInt(a.target());
        } else if (action instanceof CloseIdle a) {
            head(77, 4);
            out.writeInt(a.target());
        } else if (action instanceof Note a) {
            head(67, 6 + a.note().length);
            out.writeInt(a.to());
            out.writeShort(a.note().length);
            out.write(a.note());
        } else if (action instanceof Log a) {
            text(70, a.line());
        }
    }

    private void text(int code, String text) throws IOException {
        byte[] utf8 = text.getBytes(StandardCharsets.UTF_8);
        byte[] fits = Arrays.copyOf(utf8, Math.min(utf8.length, 0xffff));
        head(code, 2 + fits.length);
        out.writeShort(fits.length);
        out.write(fits);
    }

    private void head(int code, int size) throws IOException {
        out.writeByte(code);
        out.writeInt(size);
    }

    private interface Step {
        void run() throws IOException;
    }

    private static void write(Step step) {
        try {
            step.run();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
