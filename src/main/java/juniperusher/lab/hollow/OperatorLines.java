package juniperusher.lab.hollow;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;

/** A connection to a control process's operator address that asks one thing at a time. */
final class OperatorLines implements AutoCloseable {
    private static final int PATIENCE_MILLIS = 30_000; // for the connection and for metrics
    private static final String END = "# EOF";

    private final Socket socket = new Socket();
    private final BufferedReader answers;

    OperatorLines(String address) throws IOException {
        int colon = address.lastIndexOf(':');
        socket.connect(
                new InetSocketAddress(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1))),
                PATIENCE_MILLIS);
        socket.setTcpNoDelay(true);
        answers = new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.UTF_8));
    }

    void send(String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
    }

    /** The next line; an {@link IOException} once the connection has ended. */
    String next() throws IOException {
        String line = answers.readLine();
        if (line == null) {
            throw new IOException("the control process closed the operator's connection");
        }
        return line;
    }

    /** A control process's metrics by their names without the prefix. */
    static Map<String, Double> metrics(String address) throws IOException {
        Map<String, Double> metrics = new HashMap<>();
        try (OperatorLines lines = new OperatorLines(address)) {
            lines.socket.setSoTimeout(PATIENCE_MILLIS);
            lines.send("metrics\n");
            for (String line = lines.next(); !line.equals(END); line = lines.next()) {
                String[] words = line.split(" ");
                if (!line.startsWith("#")) {
                    metrics.put(words[0].replaceFirst("^juniperusher_", ""), Double.parseDouble(words[1]));
                }
            }
        }
        return metrics;
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
