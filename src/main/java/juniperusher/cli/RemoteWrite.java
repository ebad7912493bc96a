package juniperusher.cli;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import juniperusher.core.CallEnd;
import juniperusher.http.Config;
import juniperusher.net.HttpMessage;
import juniperusher.net.HttpPool;
import juniperusher.net.Network;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.xerial.snappy.Snappy;

/**
 * Sends the counters to a receiver of Prometheus remote write 1.0, as a protobuf WriteRequest that is compressed
 * with Snappy. Requests that fail, or are answered with 5xx or 429, are retried with exponential backoff; the
 * samples of a request with any other status outside 2xx are dropped. There is one request at a time, so that the
 * receiver gets the samples of a series in the order of their timestamps.
 */
final class RemoteWrite {
    private static final Logger LOG = LoggerFactory.getLogger(RemoteWrite.class);
    private static final Pattern SERIES_LINE = Pattern.compile("([a-zA-Z_:][\\w:]*)(?:\\{(.*)})? (\\S+)");
    private static final Pattern LABEL = Pattern.compile("(\\w+)=\"((?:[^\"\\\\]|\\\\.)*)\"");
    private static final long INITIAL_BACKOFF_MILLIS = 500; // doubles with each retry, up to the interval
    private static final long REQUEST_TIMEOUT_MILLIS = 5_000;

    private final InetSocketAddress address;
    private final String path;
    private final String instance;
    private final long intervalMillis;
    private final Supplier<String> exposition;
    private final Network network;
    private final HttpPool pool;

    /**
     * Creates a sender; {@link #start} starts it.
     *
     * @param url the receiver, as http://host:port/path
     * @param instance value of the label {@code instance} of each series
     * @param exposition supplies the current counters in the Prometheus text format
     * @throws IllegalArgumentException if the URL has another form
     */
    RemoteWrite(String url, String instance, long intervalMillis, Supplier<String> exposition, Network network) {
        Matcher parts = Pattern.compile("http://([^/]+:\\d+)(/.*)").matcher(url);
        if (!parts.matches()) {
            throw new IllegalArgumentException("'" + url + "' is not an address of the form http://host:port/path");
        }
        address = Config.address(parts.group(1));
        path = parts.group(2);
        this.instance = instance;
        this.intervalMillis = intervalMillis;
        this.exposition = exposition;
        this.network = network;
        pool = new HttpPool(network, 60, 1);
    }

    /** Sends the first samples after one interval. */
    void start() {
        schedule(this::sendCurrentSamples, intervalMillis);
    }

    private void schedule(Runnable task, long delayMillis) {
        network.scheduler().schedule(() -> network.threads().execute(task), delayMillis, TimeUnit.MILLISECONDS);
    }

    private void sendCurrentSamples() {
        try {
            send(
                    Snappy.compress(encodeWriteRequest(exposition.get(), instance, System.currentTimeMillis())),
                    INITIAL_BACKOFF_MILLIS);
        } catch (IOException e) {
            LOG.warn("remote write: cannot compress the samples: {}", e.toString());
            schedule(this::sendCurrentSamples, intervalMillis);
        }
    }

    private void send(byte[] body, long backoffMillis) {
        HttpPool.Exchange exchange = pool.exchange(
                address,
                HttpMessage.request(
                        "POST",
                        path,
                        body,
                        "Host",
                        address.getHostString() + ':' + address.getPort(),
                        "Content-Encoding",
                        "snappy",
                        "Content-Type",
                        "application/x-protobuf",
                        "User-Agent",
                        "juniperusher",
                        "X-Prometheus-Remote-Write-Version",
                        "0.1.0"),
                () -> true,
                new HttpPool.Listener() {
                    @Override
                    public void answered(HttpMessage response) {
                        int status = response.status();
                        if (status / 100 == 2) {
                            schedule(RemoteWrite.this::sendCurrentSamples, intervalMillis);
                        } else if (status / 100 == 5 || status == 429) {
                            retry(body, backoffMillis, "answered " + status);
                        } else {
                            LOG.warn("remote write: samples dropped, the receiver answered {}", status);
                            schedule(RemoteWrite.this::sendCurrentSamples, intervalMillis);
                        }
                    }

                    @Override
                    public void ended(CallEnd end, int statusLineCode) {
                        retry(body, backoffMillis, end.name().toLowerCase(Locale.ROOT));
                    }
                });
        network.scheduler()
                .schedule(() -> exchange.abandon(CallEnd.TIMED_OUT), REQUEST_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void retry(byte[] body, long backoffMillis, String reason) {
        LOG.info("remote write: {}; retry in {} ms", reason, backoffMillis);
        schedule(() -> send(body, Math.min(intervalMillis, backoffMillis * 2)), backoffMillis);
    }

    /**
     * Encodes all series of a text exposition as a protobuf WriteRequest. The numbers of its fields are:
     * timeseries = 1 { labels = 1 { name = 1, value = 2 }, samples = 2 { value = 1, timestamp = 2 } }.
     */
    static byte[] encodeWriteRequest(String exposition, String instance, long timestampMillis) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        for (String line : exposition.split("\n")) {
            Matcher series = SERIES_LINE.matcher(line);
            if (!line.startsWith("#") && series.matches()) {
                Map<String, String> labels = new TreeMap<>(); // the specification requires labels sorted by name
                labels.put("__name__", series.group(1));
                labels.put("instance", instance);
                labels.put("job", "juniperusher");
                Matcher label = LABEL.matcher(series.group(2) == null ? "" : series.group(2));
                while (label.find()) {
                    labels.put(
                            label.group(1),
                            label.group(2)
                                    .replace("\\\"", "\"")
                                    .replace("\\n", "\n")
                                    .replace("\\\\", "\\"));
                }
                writeField(out, 1, encodeTimeSeries(labels, Double.parseDouble(series.group(3)), timestampMillis));
            }
        }
        return out.toByteArray();
    }

    private static byte[] encodeTimeSeries(Map<String, String> labels, double value, long timestampMillis) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        labels.forEach((name, labelValue) -> {
            ByteArrayOutputStream label = new ByteArrayOutputStream();
            writeField(label, 1, name.getBytes(StandardCharsets.UTF_8));
            writeField(label, 2, labelValue.getBytes(StandardCharsets.UTF_8));
            writeField(out, 1, label.toByteArray());
        });
        ByteArrayOutputStream sample = new ByteArrayOutputStream();
        sample.write(1 << 3 | 1); // value, wire type 1: 64 bits, little-endian
        long bits = Double.doubleToRawLongBits(value);
        for (int i = 0; i < 8; i++) {
            sample.write((int) (bits >>> 8 * i));
        }
        sample.write(2 << 3); // timestamp, wire type 0: varint
        writeVarint(sample, timestampMillis);
        writeField(out, 2, sample.toByteArray());
        return out.toByteArray();
    }

    /** Writes a length-delimited field (wire type 2). */
    private static void writeField(ByteArrayOutputStream out, int number, byte[] bytes) {
        writeVarint(out, (long) number << 3 | 2);
        writeVarint(out, bytes.length);
        out.writeBytes(bytes);
    }

    private static void writeVarint(ByteArrayOutputStream out, long value) {
        long remaining = value;
        while ((remaining & ~0x7fL) != 0) {
            out.write((int) (remaining & 0x7f | 0x80));
            remaining >>>= 7;
        }
        out.write((int) remaining);
    }
}
