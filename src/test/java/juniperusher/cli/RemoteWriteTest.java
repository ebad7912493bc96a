package juniperusher.cli;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import juniperusher.net.HttpMessage;
import juniperusher.net.HttpServerConnection;
import juniperusher.net.Network;
import org.testng.annotations.Test;
import org.xerial.snappy.Snappy;

/** Remote write against a receiver written from the public specification, version 1.0. */
public class RemoteWriteTest {
    private static final String EXPOSITION = "# TYPE juniperusher_taken_total counter\n"
            + "juniperusher_taken_total{front=\"am\\\"qp\",class=\"1\"} 41\njuniperusher_held 2.5\n";

    /**
     * Decodes a protobuf WriteRequest of the specification. Each series becomes a text of its name=value pairs, its
     * value and its timestamp.
     */
    private static List<String> decodeWriteRequest(byte[] bytes) {
        List<String> out = new ArrayList<>();
        ByteBuffer request = ByteBuffer.wrap(bytes).order(ByteOrder.LITTLE_ENDIAN);
        while (request.hasRemaining()) {
            assertEquals(readVarint(request), 1 << 3 | 2, "timeseries");
            ByteBuffer series = readBytesField(request);
            StringBuilder text = new StringBuilder();
            while (series.hasRemaining()) {
                long tag = readVarint(series);
                ByteBuffer inner = readBytesField(series);
                if (tag == (1 << 3 | 2)) {
                    assertEquals(readVarint(inner), 1 << 3 | 2, "label name");
                    text.append(decodeText(readBytesField(inner)));
                    assertEquals(readVarint(inner), 2 << 3 | 2, "label value");
                    text.append('=').append(decodeText(readBytesField(inner))).append(' ');
                } else {
                    assertEquals(tag, 2 << 3 | 2, "samples");
                    assertEquals(readVarint(inner), 1 << 3 | 1, "value");
                    text.append(inner.getDouble());
                    assertEquals(readVarint(inner), 2 << 3, "timestamp");
                    text.append('@').append(readVarint(inner));
                }
            }
            out.add(text.toString());
        }
        return out;
    }

    private static ByteBuffer readBytesField(ByteBuffer in) {
        int length = (int) readVarint(in);
        ByteBuffer out = in.slice(in.position(), length).order(ByteOrder.LITTLE_ENDIAN);
        in.position(in.position() + length);
        return out;
    }

    private static String decodeText(ByteBuffer in) {
        return StandardCharsets.UTF_8.decode(in).toString();
    }

    private static long readVarint(ByteBuffer in) {
        long value = 0;
        for (int shift = 0; ; shift += 7) {
            byte b = in.get();
            value |= (long) (b & 0x7f) << shift;
            if (b >= 0) {
                return value;
            }
        }
    }

    @Test
    public void requestHoldsEachSeriesWithSortedLabelsAndItsSample() {
        assertEquals(
                decodeWriteRequest(RemoteWrite.encodeWriteRequest(EXPOSITION, "n0", 1_900_000_000_123L)),
                List.of(
                        "__name__=juniperusher_taken_total class=1 front=am\"qp instance=n0 job=juniperusher "
                                + "41.0@1900000000123",
                        "__name__=juniperusher_held instance=n0 job=juniperusher 2.5@1900000000123"));
    }

    @Test
    public void serverErrorsAreRetriedWithTheSameSamplesAndOther4xxAreDropped() throws Exception {
        BlockingQueue<HttpMessage> received = new LinkedBlockingQueue<>();
        List<Integer> answers = new ArrayList<>(List.of(503, 429, 400, 204, 204));
        try (Network network = new Network(1)) {
            InetSocketAddress address = unusedAddress();
            network.listen(
                    address,
                    endPoint ->
                            new HttpServerConnection(endPoint, network, 1 << 20, new HttpServerConnection.Handler() {
                                @Override
                                public void handle(HttpMessage request, HttpServerConnection.Responder responder) {
                                    received.add(request);
                                    responder.respond(HttpMessage.response(
                                            answers.size() > 1 ? answers.remove(0) : answers.get(0), ""));
                                }

                                @Override
                                public boolean closesConnections() {
                                    return false;
                                }
                            }));
            new RemoteWrite(
                            "http://127.0.0.1:" + address.getPort() + "/api/v1/write",
                            "n0",
                            100,
                            () -> EXPOSITION,
                            network)
                    .start();
            List<String> sent = new ArrayList<>();
            for (int i = 0; i < 4; i++) {
                HttpMessage next = received.poll(5, TimeUnit.SECONDS);
                assertTrue(next != null, "only " + i + " requests came");
                assertEquals(next.startLine(), "POST /api/v1/write");
                assertEquals(next.header("Content-Encoding"), "snappy");
                assertEquals(next.header("Content-Type"), "application/x-protobuf");
                assertEquals(next.header("X-Prometheus-Remote-Write-Version"), "0.1.0");
                sent.add(decodeWriteRequest(Snappy.uncompress(next.body())).toString());
            }
            assertEquals(sent.get(1), sent.get(0), "after 503");
            assertEquals(sent.get(2), sent.get(0), "after 429");
            assertTrue(!sent.get(3).equals(sent.get(0)), "after 400 the samples are dropped");
        }
    }

    private static InetSocketAddress unusedAddress() throws Exception {
        try (java.net.ServerSocket socket = new java.net.ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            return new InetSocketAddress("127.0.0.1", socket.getLocalPort());
        }
    }
}
