package juniperusher.fleet;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.function.BiConsumer;
import java.util.function.Consumer;

/**
 * A connection to the operator port. Each input line is a command and gets one line as its answer; answers come in the
 * order in which the commands complete. A line that is too long closes the connection, and so do too many unread
 * answers. Used only on the loop's thread.
 */
final class OperatorPort implements Connection.Handler {
    /** Limit on the length of a command line. */
    static final int MAX_LINE_BYTES = 64 * 1024;

    /** Limit on queued answers, in bytes. */
    static final int MAX_OUTPUT_BYTES = 1 << 20;

    /** Limit on open connections. */
    static final int MAX_CONNECTIONS = 8;

    private final BiConsumer<String, Consumer<String>> commandHandler;
    private Connection connection;

    /** Passes each line to {@code commandHandler}, with a consumer for the answer. */
    OperatorPort(BiConsumer<String, Consumer<String>> commandHandler) {
        this.commandHandler = commandHandler;
    }

    @Override
    public void opened(Connection opened) {
        connection = opened;
    }

    @Override
    public void received(ByteBuffer input) {
        int start = input.position();
        for (int at = start; at < input.limit(); at++) {
            if (input.get(at) == '\n') {
                byte[] line = new byte[at - start];
                input.position(start).get(line);
                start = at + 1;
                input.position(start);
                commandHandler.accept(new String(line, StandardCharsets.UTF_8).strip(), this::answer);
            }
        }
    }

    private void answer(String text) {
        ByteBuffer line = ByteBuffer.wrap((text + "\n").getBytes(StandardCharsets.UTF_8));
        if (!connection.isClosed() && !connection.send(line)) {
            connection.closeLater("the operator does not read the answers");
        }
    }

    @Override
    public void closed(String reason) {
        // Nothing to release: answer() drops later answers.
    }
}
