package juniperusher.http;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/** An endpoint for tests that records the time of each call and answers at once with the current status. */
final class FakeEndpoint extends FakeServer {
    volatile String status = "200 OK";
    final List<Long> callTimesMillis = new CopyOnWriteArrayList<>(); // wall clock

    FakeEndpoint() throws IOException {}

    /** Serves requests without content, one after the other; a call counts once its last byte has arrived. */
    @Override
    void serve(Socket socket) throws IOException {
        InputStream in = new BufferedInputStream(socket.getInputStream());
        OutputStream out = socket.getOutputStream();
        int lineEnds = 0; // in a row; two end the request's head
        for (int b = in.read(); b >= 0; b = in.read()) {
            lineEnds = b == '\n' ? lineEnds + 1 : b == '\r' ? lineEnds : 0;
            if (lineEnds == 2) {
                lineEnds = 0;
                callTimesMillis.add(System.currentTimeMillis());
                out.write(("HTTP/1.1 " + status + "\r\nContent-Length: 0\r\n\r\n").getBytes(StandardCharsets.US_ASCII));
            }
        }
    }
}
