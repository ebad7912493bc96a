package juniperusher.lab.hollow;

import com.eclipsesource.json.Json;
import com.eclipsesource.json.JsonObject;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import juniperusher.distribution.Timing;
import juniperusher.fleet.ControlService;
import juniperusher.fleet.ControlSettings;
import juniperusher.fleet.Dialer;
import juniperusher.fleet.EventLoop;

/** A true control process whose network towards the leader can be cut. It ends with its standard input. */
public final class HollowControl {
    private static final int MAX_MAP_BYTES = 1 << 24;

    private HollowControl() {}

    /** Reads its settings and then commands, one JSON object a line, until the input ends. */
    public static int run(InputStream in, PrintStream out) throws IOException {
        BufferedReader lines = new BufferedReader(new InputStreamReader(in, StandardCharsets.UTF_8));
        String first = lines.readLine();
        if (first == null) {
            return 0;
        }
        Set<String> unreachable = ConcurrentHashMap.newKeySet();
        try (ControlService service =
                ControlService.start(settings(Json.parse(first).asObject()), loop -> dialer(loop, unreachable))) {
            out.println(new JsonObject()
                    .add("listen", text(service.subscriberAddress()))
                    .add("operator", text(service.operatorAddress())));
            String line;
            while ((line = lines.readLine()) != null) {
                List<String> sources =
                        HollowHost.texts(Json.parse(line).asObject().get("unreachable"));
                unreachable.clear();
                unreachable.addAll(sources);
                if (!sources.isEmpty()) {
                    service.loop().execute(() -> service.server().pauseUpstream());
                }
                out.println(new JsonObject().add("unreachable", sources.size()));
            }
        }
        return 0;
    }

    private static Dialer dialer(EventLoop loop, Set<String> unreachable) {
        Dialer direct = Dialer.direct(loop, Timing.DEFAULT.connectTimeoutSeconds());
        return (source, handler) -> unreachable.contains(source) ? null : direct.dial(source, handler);
    }

    private static String text(java.net.InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }

    private static ControlSettings settings(JsonObject json) {
        String relays = json.getString("relays", "");
        return new ControlSettings(
                json.getString("listen", ""),
                Path.of(json.getString("state", "")),
                HollowHost.texts(json.get("upstream")),
                relays.isEmpty() ? null : Path.of(relays),
                json.getInt("destinations", 1),
                json.getInt("ranges_per_relay", 1),
                1,
                "127.0.0.1:0",
                json.getInt("max_subscribers", 1000),
                MAX_MAP_BYTES);
    }
}
