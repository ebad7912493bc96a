package juniperusher.http;

import com.eclipsesource.json.Json;
import com.eclipsesource.json.JsonArray;
import com.eclipsesource.json.JsonObject;
import com.eclipsesource.json.JsonValue;
import com.eclipsesource.json.ParseException;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import juniperusher.Protocol;
import juniperusher.sim.SettingsParser;
import juniperusher.sim.WireException;

/**
 * What the platform tells a relay at its start.
 *
 * @param name      the relay's name
 * @param listen    where channels connect
 * @param discovery the platform's agent
 * @param seed      for random numbers
 * @param diskBytes room in the folder that lasts
 * @param descriptors how many the process may hold
 * @param peerListen where notes arrive, or null
 * @param peers     the relays of the tier, in the order of their numbers
 * @param peersAll  the address for all of them, or null
 * @param knownEndpoints     the list of endpoints as this relay had it last
 * @param settings  the module's settings and the places of the report's values
 * @param classes   names of the classes, in the settings' order
 * @param kindNames     names of the kinds of destination, in the settings' order
 * @param zoneNames     names of the zones, in the settings' order
 * @param minRoundGapSeconds       shortest time between two rounds in seconds
 * @param number    this relay's place among the relays of its tier, as in {@code peers}
 * @param mgmt      the operators' address, from {@code RELAY_MGMT} or else the file's {@code mgmt}; or null
 */
public record Config(
        String name,
        InetSocketAddress listen,
        InetSocketAddress discovery,
        long seed,
        long diskBytes,
        int descriptors,
        InetSocketAddress peerListen,
        List<InetSocketAddress> peers,
        InetSocketAddress peersAll,
        JsonObject knownEndpoints,
        SettingsParser.Parsed settings,
        List<String> classes,
        List<String> kindNames,
        List<String> zoneNames,
        double minRoundGapSeconds,
        int number,
        InetSocketAddress mgmt) {

    /** Reads the file; an {@link IllegalArgumentException} says in one line what is wrong with it. */
    public static Config read(Path file) throws IOException {
        try {
            return parse(Json.parse(Files.readString(file)).asObject());
        } catch (ParseException
                | UnsupportedOperationException
                | NullPointerException
                | WireException
                | IllegalArgumentException e) {
            String reason = e instanceof NullPointerException ? "a part that is needed is missing" : e.getMessage();
            throw new IllegalArgumentException("configuration " + file.getFileName() + " cannot be read: " + reason, e);
        }
    }

    private static Config parse(JsonObject json) {
        JsonObject settings = json.get("settings").asObject();
        StringBuilder lines = new StringBuilder();
        flatten("", settings, lines);
        List<InetSocketAddress> peers = new ArrayList<>();
        if (json.get("peers") != null) {
            json.get("peers").asArray().forEach(peer -> peers.add(address(peer.asString())));
        }
        List<String> classes = new ArrayList<>();
        settings.get("requestClasses")
                .asArray()
                .forEach(c -> classes.add(c.asObject().getString("name", "")));
        return new Config(
                json.getString("name", ""),
                address(json.get("listen").asString()),
                address(json.get("discovery").asString()),
                Long.parseUnsignedLong(json.get("seed").asString(), 16),
                (long) (json.get("limits").asObject().getDouble("disk_mb", 1) * (1 << 20)),
                json.get("limits").asObject().getInt("sockets", 1024),
                optionalAddress(json.get("peer_listen")),
                peers,
                optionalAddress(json.get("peers_all")),
                json.get("known").asObject(),
                SettingsParser.parse(lines.toString()),
                classes,
                names(settings.get("kinds")),
                names(settings.get("azs")),
                settings.getDouble("quantumS", 0.005),
                settings.getInt("me", 0),
                mgmt(json.get("mgmt")));
    }

    /**
     * This configuration with the addresses of a newer file: what may change while a relay runs. The rest of
     * a file takes effect at the next start.
     */
    Config reloadedFrom(Config newer) {
        return new Config(
                name,
                listen,
                newer.discovery,
                seed,
                diskBytes,
                descriptors,
                peerListen,
                newer.peers,
                newer.peersAll,
                knownEndpoints,
                reloadedSettings(newer),
                mergedClassNames(newer),
                kindNames,
                zoneNames,
                minRoundGapSeconds,
                number,
                mgmt);
    }

    /** The names of the classes: these in their places, then those that only the newer file has. */
    private List<String> mergedClassNames(Config newer) {
        List<String> names = new ArrayList<>(classes);
        newer.classes.stream().filter(name -> !names.contains(name)).forEach(names::add);
        return names;
    }

    /**
     * The settings with the newer file's classes and limits: a class keeps its place, one that is new comes
     * after the others, and one that the newer file lacks stays as it was, for messages that still come with
     * it. The rest (kinds, tenants, rules) takes effect at the next start.
     */
    private SettingsParser.Parsed reloadedSettings(Config newer) {
        List<String> names = mergedClassNames(newer);
        List<Protocol.MessageClass> messageClasses =
                new ArrayList<>(settings.settings().classes());
        for (int newerIndex = 0; newerIndex < newer.classes.size(); newerIndex++) {
            Protocol.MessageClass newerClass =
                    newer.settings.settings().classes().get(newerIndex);
            int index = names.indexOf(newer.classes.get(newerIndex));
            if (index < messageClasses.size()) {
                messageClasses.set(index, newerClass);
            } else {
                messageClasses.add(newerClass);
            }
        }
        Protocol.Settings old = settings.settings();
        Protocol.Settings reloaded = new Protocol.Settings(
                old.senders(),
                old.zone(),
                old.askForList(),
                old.weight(),
                old.overShareWorth(),
                old.halving(),
                old.crossZoneFee(),
                old.routeFees(),
                old.rules(),
                newer.settings.settings().allowed(),
                messageClasses,
                old.kinds(),
                old.tenants());
        return new SettingsParser.Parsed(reloaded, settings.leftField(), settings.limitField());
    }

    /** This configuration without relays to send notes to. */
    Config withoutPeers() {
        return new Config(
                name,
                listen,
                discovery,
                seed,
                diskBytes,
                descriptors,
                null,
                List.of(),
                null,
                knownEndpoints,
                settings,
                classes,
                kindNames,
                zoneNames,
                minRoundGapSeconds,
                number,
                null);
    }

    private static List<String> names(JsonValue value) {
        List<String> out = new ArrayList<>();
        if (value != null && value.isArray()) {
            value.asArray().forEach(name -> out.add(name.asString()));
        } else if (value != null) {
            out.addAll(List.of(value.asString().split(",")));
        }
        return out;
    }

    /** The operators' address: the environment's word goes before the file's. */
    private static InetSocketAddress mgmt(JsonValue inFile) {
        String fromEnvironment = System.getenv("RELAY_MGMT");
        return fromEnvironment != null && !fromEnvironment.isBlank()
                ? address(fromEnvironment.strip())
                : optionalAddress(inFile);
    }

    private static InetSocketAddress optionalAddress(JsonValue value) {
        return value == null || value.isNull() || value.asString().isEmpty() ? null : address(value.asString());
    }

    /** An address given as host:port. */
    public static InetSocketAddress address(String text) {
        int colon = text.lastIndexOf(':');
        if (colon < 1) {
            throw new IllegalArgumentException("'" + text + "' is no address of the form host:port");
        }
        try {
            return new InetSocketAddress(text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
        } catch (NumberFormatException e) {
            throw new IllegalArgumentException("'" + text + "' is no address of the form host:port", e);
        }
    }

    /** Writes nested settings as path=value lines, the form that the simulator gives them in. */
    static void flatten(String path, JsonValue value, StringBuilder out) {
        if (value.isObject()) {
            value.asObject()
                    .forEach(member -> flatten(
                            path.isEmpty() ? member.getName() : path + '.' + member.getName(), member.getValue(), out));
        } else if (value.isArray() && isObjects(value.asArray())) {
            out.append(path).append(".count=").append(value.asArray().size()).append('\n');
            for (int i = 0; i < value.asArray().size(); i++) {
                flatten(path + '.' + i, value.asArray().get(i), out);
            }
        } else if (value.isArray()) {
            List<String> items = new ArrayList<>();
            value.asArray().forEach(item -> items.add(scalar(item)));
            out.append(path).append('=').append(String.join(",", items)).append('\n');
        } else {
            out.append(path).append('=').append(scalar(value)).append('\n');
        }
    }

    private static boolean isObjects(JsonArray array) {
        return !array.isEmpty() && array.get(0).isObject();
    }

    private static String scalar(JsonValue value) {
        return (value.isString() ? value.asString() : value.toString()).replace('\n', ' ');
    }
}
