package juniperusher.mgmt;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.Closeable;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import juniperusher.TestPorts;
import juniperusher.net.HttpMessage;
import juniperusher.net.HttpServerConnection;
import juniperusher.net.Network;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Operators' calls over a socket: responses, errors, and callers that hold connections without a complete call. */
public class OperatorListenerTest {
    private Network network;
    private OperatorListener operatorListener;
    private int port;
    private final Set<String> underMaintenance = ConcurrentHashMap.newKeySet();
    private volatile boolean serving;

    @BeforeMethod
    public void startListener() throws Exception {
        serving = false;
        underMaintenance.clear();
        port = TestPorts.unused();
        network = new Network(1.0);
        operatorListener =
                OperatorListener.listen(network, new InetSocketAddress(InetAddress.getLoopbackAddress(), port));
    }

    @AfterMethod
    public void close() throws IOException {
        operatorListener.close();
        network.close();
    }

    private void attachRelay() {
        operatorListener.setRelay(new ManagedRelay() {
            @Override
            public boolean isServing() {
                return serving;
            }

            @Override
            public MaintenanceResult enterMaintenance(String id) {
                return id.startsWith("s-") && (underMaintenance.add(id) || true)
                        ? MaintenanceResult.DONE
                        : MaintenanceResult.UNKNOWN;
            }

            @Override
            public MaintenanceResult exitMaintenance(String id) {
                return id.startsWith("s-") && (underMaintenance.remove(id) || true)
                        ? MaintenanceResult.DONE
                        : MaintenanceResult.UNKNOWN;
            }
        });
    }

    /** Sends one call, reads to the end of the connection and returns the status code. */
    private int call(String request) throws IOException {
        return call(InetAddress.getLoopbackAddress(), request);
    }

    private int call(InetAddress address, String request) throws IOException {
        try (Socket socket = new Socket(address, port)) {
            socket.setSoTimeout(1_000); // an answer is due within 1 s
            OutputStream out = socket.getOutputStream();
            out.write(request.getBytes(StandardCharsets.ISO_8859_1));
            out.flush();
            InputStream in = socket.getInputStream();
            ByteArrayOutputStream read = new ByteArrayOutputStream();
            byte[] buffer = new byte[4096];
            for (int n = in.read(buffer); n >= 0; n = in.read(buffer)) {
                read.write(buffer, 0, n);
            }
            String text = read.toString(StandardCharsets.ISO_8859_1);
            assertTrue(text.startsWith("HTTP/1.1 "), "no status line in the response: " + text);
            assertTrue(
                    text.toLowerCase().contains("connection: close"),
                    "the response allows a second call on the connection: " + text);
            return Integer.parseInt(text.substring(9, 12));
        }
    }

    private static String postRequest(String path, String body) {
        return "POST " + path + " HTTP/1.1\r\nHost: relay\r\nContent-Length: "
                + body.getBytes(StandardCharsets.UTF_8).length + "\r\n\r\n" + body;
    }

    @Test
    public void statusIs503UntilTheRelayServes() throws IOException {
        assertEquals(call("GET /status HTTP/1.1\r\nHost: relay\r\n\r\n"), 503);
        assertEquals(call(postRequest("/maintenance/enter", "{\"target\":\"s-1\"}")), 503);
        attachRelay();
        assertEquals(call("GET /status HTTP/1.1\r\nHost: relay\r\n\r\n"), 503);
        serving = true;
        assertEquals(call("GET /status HTTP/1.1\r\nHost: relay\r\n\r\n"), 200);
    }

    @Test
    public void enterIsIdempotentAndUnknownIdsGet404() throws IOException {
        attachRelay();
        assertEquals(call(postRequest("/maintenance/enter", "{\"target\":\"s-1\"}")), 200);
        assertEquals(call(postRequest("/maintenance/enter", "{\"target\":\"s-1\"}")), 200);
        assertEquals(underMaintenance, Set.of("s-1"));
        assertEquals(call(postRequest("/maintenance/exit", "{\"target\":\"s-1\"}")), 200);
        assertEquals(underMaintenance, Set.of());
        assertEquals(call(postRequest("/maintenance/enter", "{\"target\":\"nobody\"}")), 404);
    }

    @Test
    public void invalidCallsGet4xxAndChangeNothing() throws IOException {
        attachRelay();
        assertEquals(call(postRequest("/maintenance/enter", "{\"target\":")), 400);
        assertEquals(call(postRequest("/maintenance/enter", "[\"s-1\"]")), 400);
        assertEquals(call(postRequest("/maintenance/enter", "{\"target\":7}")), 400);
        assertEquals(call(postRequest("/maintenance/enter", "")), 400);
        assertEquals(call("GET /maintenance/enter HTTP/1.1\r\nHost: relay\r\n\r\n"), 405);
        assertEquals(call(postRequest("/status", "")), 405);
        assertEquals(call("GET /elsewhere HTTP/1.1\r\nHost: relay\r\n\r\n"), 404);
        assertEquals(call("NONSENSE\r\n\r\n"), 400);
        assertEquals(underMaintenance, Set.of());
    }

    @Test
    public void callersHoldingConnectionsDoNotDelayOthers() throws IOException {
        attachRelay();
        serving = true;
        List<Socket> sockets = new ArrayList<>();
        try {
            // Twice the listener's bound; half of the connections send part of a call, the others send nothing.
            for (int i = 0; i < 128; i++) {
                Socket socket = new Socket(InetAddress.getLoopbackAddress(), port);
                if (i % 2 == 0) {
                    socket.getOutputStream().write("GET /sta".getBytes(StandardCharsets.ISO_8859_1));
                }
                sockets.add(socket);
            }
            long from = System.nanoTime();
            for (int i = 0; i < 20; i++) {
                assertEquals(call("GET /status HTTP/1.1\r\nHost: relay\r\n\r\n"), 200);
            }
            assertTrue(System.nanoTime() - from < 20 * 1_000_000_000L / 2, "responses took more than 0.5 s on average");
        } finally {
            for (Socket socket : sockets) {
                socket.close();
            }
        }
    }

    @Test
    public void listenersOnOnePortWithDifferentAddressesAreSeparate() throws Exception {
        attachRelay();
        serving = true;
        try (Closeable clients = network.listen(
                new InetSocketAddress("127.0.0.2", port),
                endPoint -> new HttpServerConnection(endPoint, network, 64, new HttpServerConnection.Handler() {
                    @Override
                    public void handle(HttpMessage request, HttpServerConnection.Responder responder) {
                        responder.respond(HttpMessage.response(202, ""));
                    }

                    @Override
                    public boolean closesConnections() {
                        return true;
                    }
                }))) {
            String status = "GET /status HTTP/1.1\r\nHost: relay\r\n\r\n";
            for (int i = 0; i < 4; i++) {
                assertEquals(call(InetAddress.getLoopbackAddress(), status), 200);
                assertEquals(call(InetAddress.getByName("127.0.0.2"), status), 202);
            }
        }
    }
}
