package juniperusher.http;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/** A discovery agent for tests that can be made to fail in several ways. */
final class FakeAgent extends FakeServer {
    /** How a request for the full list is answered; BUSY applies to watches too. */
    enum Behavior {
        NORMAL,
        NO_RESPONSE,
        CUT_IN_HALF,
        NOT_JSON,
        NO_ADDRESS,
        REFUSED,
        BUSY
    }

    volatile Behavior behavior = Behavior.NORMAL;
    volatile long listDelayMillis; // before the full list is sent
    volatile String list;
    final List<String> requestPaths = new CopyOnWriteArrayList<>();
    private final List<Socket> sockets = new CopyOnWriteArrayList<>();
    private final List<Socket> watches = new CopyOnWriteArrayList<>();

    FakeAgent(String list) throws IOException {
        this.list = list;
    }

    static String list(long version, boolean whole, String... servers) {
        return "{\"version\":" + version + ",\"full\":" + whole + ",\"servers\":[" + String.join(",", servers) + "]}";
    }

    static String server(String id, int port, String state) {
        return "{\"id\":\"" + id + "\",\"addr\":\"127.0.0.1:" + port
                + "\",\"zone\":\"lisboa-1\",\"kind\":\"pequeno-projeto\",\"cell\":7,\"state\":\"" + state
                + "\",\"weight\":5.0,\"started_ms\":0}";
    }

    InetSocketAddress address() {
        return (InetSocketAddress) server.getLocalSocketAddress();
    }

    int watchCount() {
        watches.removeIf(Socket::isClosed);
        return watches.size();
    }

    @Override
    void serve(Socket socket) throws Exception {
        sockets.add(socket);
        BufferedReader in =
                new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII));
        for (String line = in.readLine(); line != null; line = in.readLine()) {
            if (line.startsWith("GET ")) {
                requestPaths.add(line.split(" ")[1]);
                answer(socket, line.contains("stream=1"));
            }
        }
        socket.close();
    }

    private void answer(Socket socket, boolean stream) throws Exception {
        OutputStream out = socket.getOutputStream();
        if (behavior == Behavior.BUSY) {
            out.write("HTTP/1.1 503 Busy\r\nRetry-After: 0.2\r\nContent-Length: 0\r\n\r\n"
                    .getBytes(StandardCharsets.US_ASCII));
            return;
        }
        if (stream) {
            out.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
            watches.add(socket);
            return;
        }
        Thread.sleep(listDelayMillis);
        byte[] body =
                switch (behavior) {
                    case NOT_JSON -> "{\"servers\": [{]".getBytes(StandardCharsets.US_ASCII);
                    case NO_ADDRESS -> list.replace("127.0.0.1:", "nowhere").getBytes(StandardCharsets.US_ASCII);
                    default -> list.getBytes(StandardCharsets.US_ASCII);
                };
        if (behavior == Behavior.NO_RESPONSE) {
            return;
        }
        out.write(("HTTP/1.1 " + (behavior == Behavior.REFUSED ? "500 Broken" : "200 OK") + "\r\nContent-Length: "
                        + body.length + "\r\n\r\n")
                .getBytes(StandardCharsets.US_ASCII));
        if (behavior == Behavior.CUT_IN_HALF) {
            out.write(body, 0, body.length / 2);
            socket.close();
        } else {
            out.write(body);
        }
    }

    /** Sends a line on all watches, in HTTP chunks of {@code chunkBytes} each. */
    void send(String line, int chunkBytes) throws Exception {
        byte[] bytes = (line + '\n').getBytes(StandardCharsets.UTF_8);
        for (Socket watch : watches) {
            if (watch.isClosed()) {
                continue; // the relay has closed this watch
            }
            OutputStream out = watch.getOutputStream();
            for (int from = 0; from < bytes.length; from += chunkBytes) {
                int size = Math.min(chunkBytes, bytes.length - from);
                out.write((Integer.toHexString(size) + "\r\n").getBytes(StandardCharsets.US_ASCII));
                out.write(bytes, from, size);
                out.write("\r\n".getBytes(StandardCharsets.US_ASCII));
                out.flush();
            }
        }
    }

    void send(String line) throws Exception {
        send(line, Integer.MAX_VALUE);
    }

    /** Closes all open connections, as an agent does after a move, but keeps listening. */
    void closeConnections() throws IOException {
        for (Socket socket : new ArrayList<>(sockets)) {
            socket.close();
        }
        sockets.clear();
        watches.clear();
    }

    @Override
    public void close() throws IOException {
        super.close();
        closeConnections();
    }
}
