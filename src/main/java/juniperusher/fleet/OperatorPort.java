package juniperusher.fleet;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.function.BiConsumer;
import java.util.function.Consumer;

/**
 * A connection of the operator: lines in, an answer for each, in the order in which they are done. Its bounds are those
 * of the connection: a line that is too long and answers that are not read end it. Used on the loop's thread.
 */
final class OperatorPort implements Connection.Handler {
    /** Bytes of a line. */
    static final int MAX_LINE = 64 * 1024;

    /** Bytes of answers that may wait. */
    static final int MAX_OUTPUT = 1 << 20;

    /** Connections at once. */
    static final int MAX_CONNECTIONS = 8;

    private final BiConsumer<String, Consumer<String>> commands;
    private Connection connection;

    /** Hands each line on, with where its answer goes. */
    OperatorPort(BiConsumer<String, Consumer<String>> commands) {
        this.commands = commands;
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
                commands.accept(new String(line, StandardCharsets.UTF_8).strip(), this::answer);
            }
        }
    }

    private void answer(String text) {
        ByteBuffer line = ByteBuffer.wrap((text + "\n").getBytes(StandardCharsets.UTF_8));
        if (!connection.isClosed() && !connection.send(line)) {
            connection.closeLater("its answers are not read");
        }
    }

    @Override
    public void closed(String reason) {
        // Answers that are still to come are dropped.
    }
}
