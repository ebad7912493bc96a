package juniperusher.lab.scale;

import com.eclipsesource.json.Json;
import com.eclipsesource.json.JsonArray;
import com.eclipsesource.json.JsonObject;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import juniperusher.Protocol.SettingsChanged;
import juniperusher.http.Config;

/** What one change of configuration costs: the whole file is read anew at each. */
final class ConfigSlopes {
    private static final String ENDPOINT = "listed endpoint";

    private ConfigSlopes() {}

    static List<Slope> all() {
        return List.of(new BytesByEndpoint(), new TimeByEndpoint(), new TimeByPeer(), new RetunedRound());
    }

    /** A configuration as the platform writes it. */
    private static JsonObject file(int endpoints, int peers) throws IOException {
        JsonObject json;
        try (InputStream in = Config.class.getResourceAsStream("/selftest.json")) {
            json = Json.parse(new String(in.readAllBytes(), StandardCharsets.UTF_8))
                    .asObject();
        }
        JsonArray addresses = new JsonArray();
        for (int i = 0; i < peers; i++) {
            addresses.add("10.1." + i / 250 + '.' + i % 250 + ":9000");
        }
        return json.set("listen", "127.0.0.1:8080")
                .set("discovery", "127.0.0.1:8081")
                .set("known", EndpointLists.whole(endpoints))
                .set("peers", addresses);
    }

    private static double readNanos(JsonObject json) throws IOException {
        Path file = Files.createTempFile("scale-config", ".json");
        try {
            Files.writeString(file, json.toString());
            return Meter.nanosPerStep(() -> Config.read(file));
        } finally {
            Files.delete(file);
        }
    }

    /** Bytes of the file, by endpoints that it lists as known. */
    private static final class BytesByEndpoint extends NamedSlope {
        BytesByEndpoint() {
            super("config.bytes.endpoint", "B", ENDPOINT);
        }

        @Override
        public double measure(int size) throws IOException {
            return file(size, 0).toString().length();
        }
    }

    /** Time to read the file, by endpoints that it lists as known. */
    private static final class TimeByEndpoint extends NamedSlope {
        TimeByEndpoint() {
            super("config.read.endpoint", "ns", ENDPOINT);
        }

        @Override
        public double measure(int size) throws IOException {
            return readNanos(file(size, 0));
        }
    }

    /** Time to read the file, by other relays that it names. */
    private static final class TimeByPeer extends NamedSlope {
        TimeByPeer() {
            super("config.read.peer", "ns", "relay of the fleet");
        }

        @Override
        public double measure(int size) throws IOException {
            return readNanos(file(0, size));
        }
    }

    /** Time of the module's round that puts changed settings in force, by listed destinations. */
    private static final class RetunedRound extends NamedSlope {
        RetunedRound() {
            super("config.retune.destination", "ns", "listed destination");
        }

        @Override
        public double measure(int size) throws IOException {
            ControlFixture control = new ControlFixture(size);
            SettingsChanged change = new SettingsChanged(ControlFixture.settings(1));
            return Meter.nanosPerStep(() -> control.round(List.of(change)));
        }
    }
}
