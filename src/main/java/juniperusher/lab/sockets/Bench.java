package juniperusher.lab.sockets;

import com.eclipsesource.json.JsonArray;
import com.eclipsesource.json.JsonObject;
import java.io.Closeable;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;
import java.util.stream.Stream;
import juniperusher.lab.LabSettings;
import juniperusher.lab.Plan;
import juniperusher.net.HttpMessage;
import juniperusher.net.Network;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;

/**
 * What a relay costs: RPCs a second, and latency from the intended sending to the endpoint, through a relay
 * with its
 * journal on and through a bare forwarder of the same parts, in turn on the same machine. Each is a process
 * of its own
 * with the options of the deployment.
 */
public final class Bench implements AutoCloseable {
    private static final double STEP = 1.25; // factor from one rate to the next
    private static final double FIRST = 400; // a second
    private static final double MOST = 60_000;
    // of what was sent that has to arrive, for a rate to count
    private static final double LEAST_SHARE = 0.99;
    private static final long MOST_P99 = 100_000; // µs, and within which the 99th percentile has to be
    private static final long DRAIN = 2_000; // ms
    private static final int BYTES = 200;
    private static final long LONGEST = 60_000_000; // µs

    private final String program;
    private final double seconds;
    private final Path folder = Files.createTempDirectory("juniperusher-bench");
    private final Network network = new Network(1, 16_384);
    private final Map<String, Long> meant = new ConcurrentHashMap<>();
    private final AtomicReference<Histogram> latency = new AtomicReference<>();
    private final InetSocketAddress endpoint = Ports.unused();
    private final Closeable listening;
    private int runs;

    /**
     * What was measured of one of the two.
     *
     * @param most    RPCs a second, the highest rate at which 99% arrive and the 99th percentile is within
     * 100 ms
     * @param latency µs at half the lower of both highest rates
     */
    public record Measured(double most, Histogram latency) {
        double at(double percentile) {
            return latency.getValueAtPercentile(percentile) / 1e3;
        }
    }

    /** Both. */
    public record Result(Measured relay, Measured forwarder, double rate) {
        /** A table with the ratio of the relay to the forwarder. */
        public String table() {
            StringBuilder out = new StringBuilder(
                    String.format(Locale.ROOT, "%-22s %10s %10s %8s%n", "", "relay", "forwarder", "ratio"));
            line(out, "RPCs a second, most", relay.most(), forwarder.most());
            for (double at : new double[] {50, 99, 99.9}) {
                line(
                        out,
                        String.format(
                                Locale.ROOT,
                                "p%s in ms at %.0f/s",
                                at == (int) at ? Integer.toString((int) at) : Double.toString(at),
                                rate),
                        relay.at(at),
                        forwarder.at(at));
            }
            return out.toString();
        }

        private static void line(StringBuilder out, String what, double first, double second) {
            out.append(String.format(Locale.ROOT, "%-22s %10.2f %10.2f %8.2f%n", what, first, second, first / second));
        }
    }

    private Bench(String program, double seconds) throws Exception {
        this.program = program;
        this.seconds = seconds;
        listening = network.listen(
                endpoint,
                endPoint -> new PeerConnection(endPoint, network.threads(), 10_000, new PeerConnection.Handler() {
                    @Override
                    public void asked(PeerConnection connection, HttpMessage request) {
                        Long since = meant.remove(String.valueOf(request.header("X-Call-Id")));
                        if (since != null) {
                            latency.get().recordValue(Load.micros(System.nanoTime() - since));
                        }
                        connection.answer(HttpMessage.response(200, ""));
                    }

                    @Override
                    public void gone(PeerConnection connection) {
                        return; // it opens another
                    }
                }));
    }

    /**
     * Measures both, in turn.
     *
     * @param program  the main class whose command {@code serve} is a relay
     * @param seconds  of each rate that is tried
     * @param progress hears what is being tried
     */
    public static Result run(String program, double seconds, Consumer<String> progress) throws Exception {
        try (Bench bench = new Bench(program, seconds)) {
            try (RelayProcess relay = bench.relay();
                    RelayProcess forwarder = bench.forwarder()) {
                for (RelayProcess one : List.of(relay, forwarder)) {
                    one.start();
                    one.awaitUp();
                    bench.step(one, FIRST); // so that both are compiled
                    bench.step(one, 2 * FIRST);
                }
                double first = bench.most(relay, "relay", progress);
                double second = bench.most(forwarder, "forwarder", progress);
                double rate = Math.min(first, second) / 2;
                progress.accept(String.format(Locale.ROOT, "latency at %.0f a second", rate));
                Histogram one = bench.step(relay, rate);
                Histogram other = bench.step(forwarder, rate);
                return new Result(new Measured(first, one), new Measured(second, other), rate);
            }
        }
    }

    @Override
    public void close() throws IOException {
        listening.close();
        network.close();
        try (Stream<Path> files = Files.walk(folder)) {
            for (Path path : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.delete(path);
            }
        }
    }

    /** The highest rate that it keeps up with. */
    private double most(RelayProcess process, String name, Consumer<String> progress) throws Exception {
        double kept = 0;
        for (double rate = FIRST; rate <= MOST; rate *= STEP) {
            progress.accept(String.format(Locale.ROOT, "%s at %.0f a second", name, rate));
            Histogram got = step(process, rate);
            if (got.getTotalCount() < LEAST_SHARE * rate * seconds || got.getValueAtPercentile(99) > MOST_P99) {
                break;
            }
            kept = rate;
        }
        if (kept == 0) {
            throw new IOException("the " + name + " does not keep up with " + FIRST + " RPCs a second");
        }
        return kept;
    }

    private Histogram step(RelayProcess process, double rate) throws Exception {
        Histogram histogram = new ConcurrentHistogram(LONGEST, 3);
        meant.clear();
        latency.set(histogram);
        Load.run(
                process.listen(),
                rate,
                seconds,
                LabSettings.CLASS_NAMES.get(0),
                0,
                LabSettings.NOTICE_CLASS.deadline(),
                BYTES,
                "b" + ++runs + '-',
                meant::put);
        long until = System.currentTimeMillis() + DRAIN;
        while (!meant.isEmpty() && System.currentTimeMillis() < until) {
            TimeUnit.MILLISECONDS.sleep(10);
        }
        return histogram;
    }

    private RelayProcess relay() throws IOException {
        InetSocketAddress listen = Ports.unused();
        JsonObject plan = new JsonObject()
                .add("title", "bench")
                .add("seconds", seconds)
                .add("measured_from", 0)
                .add(
                        "relays",
                        new JsonObject()
                                .add("count", 1)
                                .add("storm", false)
                                .add("held", 9)
                                .add("calls", 1))
                .add(
                        "notes",
                        new JsonObject()
                                .add("lost", 0)
                                .add("doubled", 0)
                                .add("late", 0)
                                .add("late_by", 0))
                .add(
                        "clients",
                        new JsonObject()
                                .add("load", 1)
                                .add("orders", 0)
                                .add("returns", 0)
                                .add("heed", 1))
                .add("crashes", new JsonArray())
                .add(
                        "destinations",
                        new JsonArray()
                                .add(new JsonObject()
                                        .add("name", "endpoint")
                                        .add("rate", MOST)
                                        .add("limit", "rate")
                                        .add("queue", 0)
                                        .add("connections", 1000)
                                        .add("latency", 0.01)
                                        .add("spread", "constant")
                                        .add("told_wait", 0)
                                        .add("troubles", new JsonArray())));
        JsonObject settings = LabSettings.json(Plan.fromJson(plan, 1), 0, Emulation.KEEP_ALIVE);
        settings.get("familyInfo").asObject().set("maxCalls", 200);
        JsonObject json = new JsonObject()
                .add("name", "bench")
                .add("listen", Ports.text(listen))
                .add("discovery", Ports.text(Ports.unused()))
                .add("seed", "1")
                .add(
                        "limits",
                        new JsonObject()
                                .add("cores", 1)
                                .add("memory_mb", 192)
                                .add("sockets", 1024)
                                .add("disk_mb", 256))
                .add("peers", new JsonArray())
                .add("settings", settings)
                .add(
                        "known",
                        new JsonObject()
                                .add("version", 1)
                                .add("full", true)
                                .add(
                                        "servers",
                                        new JsonArray()
                                                .add(new JsonObject()
                                                        .add("id", "s-0")
                                                        .add("addr", Ports.text(endpoint))
                                                        .add("zone", "here")
                                                        .add("kind", "member")
                                                        .add("cell", 0)
                                                        .add("state", "up")
                                                        .add("weight", MOST)
                                                        .add("started_ms", 0))));
        Path own = Files.createDirectories(folder.resolve("relay"));
        Files.writeString(own.resolve("relay.json"), json.toString());
        return new RelayProcess(own, listen, List.of(program, "serve"));
    }

    private RelayProcess forwarder() throws IOException {
        InetSocketAddress listen = Ports.unused();
        return new RelayProcess(
                Files.createDirectories(folder.resolve("forwarder")),
                listen,
                List.of(Forwarder.class.getName(), Ports.text(listen), Ports.text(endpoint)));
    }
}
