package juniperusher.lab.hollow;

import com.eclipsesource.json.Json;
import com.eclipsesource.json.JsonArray;
import com.eclipsesource.json.JsonObject;
import com.eclipsesource.json.JsonValue;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.io.PrintStream;
import java.lang.management.ManagementFactory;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Base64;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.function.Supplier;
import juniperusher.fleet.EventLoop;
import org.HdrHistogram.Histogram;

/** A process with many hollow relays of one region on one event loop. It ends with its standard input. */
public final class HollowHost {
    private static final int SPARE_CONNECTIONS = 64;
    private static final double MICROS = 1e6;

    private final EventLoop loop;
    private final List<HollowRelay> relays = new ArrayList<>();
    private final Set<String> unreachable = new HashSet<>();
    private final ArrivalLog arrivals = new ArrivalLog();
    private long[] bytesAtMark = new long[0];
    private long[] messagesAtMark = new long[0];

    private HollowHost(JsonObject settings) throws IOException {
        long seed = settings.getLong("seed", 1);
        List<String> own = texts(settings.get("own"));
        List<String> others = texts(settings.get("others"));
        List<String> names = texts(settings.get("names"));
        loop = new EventLoop("hollow", 2 * names.size() + SPARE_CONNECTIONS);
        Random random = new Random(seed);
        for (String name : names) {
            List<String> sources = HollowRelay.preferred(own, others, random);
            relays.add(new HollowRelay(loop, relays.size(), name, sources, unreachable, arrivals, random.nextLong()));
        }
    }

    /** Microseconds of the machine's clock. */
    static long nowMicros() {
        Instant now = Instant.now();
        return now.getEpochSecond() * 1_000_000 + now.getNano() / 1_000;
    }

    static List<String> texts(JsonValue array) {
        List<String> texts = new ArrayList<>();
        array.asArray().forEach(value -> texts.add(value.asString()));
        return texts;
    }

    /** Reads its settings and then commands, one JSON object a line, until the input ends. */
    public static int run(InputStream in, PrintStream out) throws IOException {
        BufferedReader lines = new BufferedReader(new InputStreamReader(in, StandardCharsets.UTF_8));
        String first = lines.readLine();
        if (first == null) {
            return 0;
        }
        HollowHost host = new HollowHost(Json.parse(first).asObject());
        host.loop.start();
        out.println(new JsonObject().add("relays", host.relays.size()));
        String line;
        while ((line = lines.readLine()) != null) {
            JsonObject command = Json.parse(line).asObject();
            out.println(host.onLoop(() -> host.carryOut(command)));
        }
        host.loop.close();
        return 0;
    }

    private JsonObject onLoop(Supplier<JsonObject> task) throws IOException {
        CompletableFuture<JsonObject> done = new CompletableFuture<>();
        loop.execute(() -> {
            try {
                done.complete(task.get());
            } catch (RuntimeException e) {
                done.completeExceptionally(e);
            }
        });
        try {
            return done.get();
        } catch (ExecutionException e) {
            throw new IOException(e.getCause());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException(e);
        }
    }

    private JsonObject carryOut(JsonObject command) {
        long now = nowMicros();
        String what = command.getString("do", "");
        switch (what) {
            case "start" -> chosen(command).forEach(relay -> relay.start(now));
            case "stop" -> chosen(command).forEach(relay -> relay.stop(command.getBoolean("forget", false)));
            case "read" ->
                chosen(command).forEach(relay -> {
                    relay.reading(command.getBoolean("on", true));
                    relay.reachable(now);
                });
            case "cut" -> cut(Set.copyOf(texts(command.get("unreachable"))), command.getBoolean("own", false), now);
            case "mark" -> mark();
            case "status" -> {}
            case "report" -> {
                return report(command);
            }
            default -> throw new IllegalArgumentException("unknown command: " + command);
        }
        return status();
    }

    private List<HollowRelay> chosen(JsonObject command) {
        if (command.get("relays") == null) {
            return relays;
        }
        List<HollowRelay> chosen = new ArrayList<>();
        command.get("relays").asArray().forEach(index -> chosen.add(relays.get(index.asInt())));
        return chosen;
    }

    /** These sources cannot be reached from now on, all others can; {@code own} if it is this region that is cut. */
    private void cut(Set<String> sources, boolean own, long now) {
        for (HollowRelay relay : relays) {
            if (relay.source() != null && sources.contains(relay.source())) {
                relay.freeze();
            }
            if (own) {
                relay.reachable(now);
            }
        }
        unreachable.clear();
        unreachable.addAll(sources);
    }

    private void mark() {
        bytesAtMark = relays.stream().mapToLong(HollowRelay::bytes).toArray();
        messagesAtMark = relays.stream().mapToLong(HollowRelay::messages).toArray();
    }

    private JsonObject status() {
        long up = relays.stream().filter(HollowRelay::isUp).count();
        long subscribed =
                relays.stream().filter(relay -> relay.source() != null).count();
        long behind = relays.stream().mapToLong(HollowRelay::epoch).min().orElse(0);
        return new JsonObject().add("up", up).add("subscribed", subscribed).add("least_epoch", behind);
    }

    private JsonObject report(JsonObject command) {
        JsonArray told = command.get("published").asArray();
        long[] published = new long[told.size()];
        Arrays.setAll(published, epoch -> told.get(epoch).asLong());
        ArrivalLog.Times times = arrivals.times(published);
        long bytes = 0;
        long mostBytes = 0;
        long messages = 0;
        long refused = 0;
        for (int i = 0; i < relays.size(); i++) {
            long own = relays.get(i).bytes() - bytesAtMark[i];
            bytes += own;
            mostBytes = Math.max(mostBytes, own);
            messages += relays.get(i).messages() - messagesAtMark[i];
            refused += relays.get(i).refused();
        }
        System.gc();
        long heap = ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed();
        return status().add("in_force", encoded(times.inForce()))
                .add("catch_up", encoded(times.catchUp()))
                .add("slowest_in_force", json(times.slowestInForce()))
                .add("slowest_catch_up", json(times.slowestCatchUp()))
                .add("bytes", bytes)
                .add("most_bytes", mostBytes)
                .add("messages", messages)
                .add("refused", refused)
                .add("heap", heap);
    }

    private static JsonObject json(ArrivalLog.Slowest slowest) {
        return new JsonObject()
                .add("micros", slowest.micros())
                .add("relay", slowest.relay())
                .add("epoch", slowest.epoch())
                .add("at", slowest.at());
    }

    private static String encoded(Histogram histogram) {
        ByteBuffer buffer = ByteBuffer.allocate(histogram.getNeededByteBufferCapacity());
        int length = histogram.encodeIntoCompressedByteBuffer(buffer);
        return Base64.getEncoder().encodeToString(Arrays.copyOf(buffer.array(), length));
    }

    /** The histogram that a report holds. */
    static Histogram decoded(String text) {
        try {
            return Histogram.decodeFromCompressedByteBuffer(
                    ByteBuffer.wrap(Base64.getDecoder().decode(text)), 0);
        } catch (java.util.zip.DataFormatException e) {
            throw new IllegalArgumentException("a report without a histogram", e);
        }
    }

    /** Seconds of microseconds. */
    static double seconds(long micros) {
        return micros / MICROS;
    }
}
