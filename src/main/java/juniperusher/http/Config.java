package juniperusher.http;

import com.eclipsesource.json.JsonArray;
import com.eclipsesource.json.JsonObject;
import com.eclipsesource.json.JsonValue;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import juniperusher.Protocol;
import juniperusher.net.PeerJson;
import juniperusher.sim.MalformedInputException;
import juniperusher.sim.SettingsParser;

/**
 * The configuration file that the platform gives to a relay.
 *
 * @param name the relay's name
 * @param listen the address on which clients connect
 * @param discovery the address of the platform's agent, which serves discovery and takes status reports
 * @param seed the seed of the random number generators
 * @param diskBytes the space that the state folder may use
 * @param maxDescriptors how many file descriptors the process may open
 * @param peerListen the UDP address on which notes from other relays arrive, or null
 * @param peers the addresses of the tier's relays, in the order of their numbers
 * @param peersAll one address that reaches all of them, or null
 * @param knownEndpoints the last list of endpoints that this relay had, which may be outdated
 * @param parsedSettings the settings of the decision module, and the positions of the values in load reports
 * @param classNames names of the message classes, in the settings' order
 * @param kindNames names of the kinds of destination, in the settings' order
 * @param zoneNames names of the zones, in the settings' order
 * @param minRoundGapSeconds the minimum interval between two rounds of the decision loop, in seconds
 * @param relayIndex the index of this relay in {@code peers}
 * @param operatorAddress the address on which operators connect, from {@code RELAY_MGMT} or else from the file's
 *     {@code mgmt}; or null
 * @param keys the keys of the file with which the relay started; a newer file needs them too
 */
public record Config(
        String name,
        InetSocketAddress listen,
        InetSocketAddress discovery,
        long seed,
        long diskBytes,
        int maxDescriptors,
        InetSocketAddress peerListen,
        List<InetSocketAddress> peers,
        InetSocketAddress peersAll,
        JsonObject knownEndpoints,
        SettingsParser.ParsedSettings parsedSettings,
        List<String> classNames,
        List<String> kindNames,
        List<String> zoneNames,
        double minRoundGapSeconds,
        int relayIndex,
        InetSocketAddress operatorAddress,
        ConfigKeys keys) {

    /**
     * Reads a configuration file.
     *
     * @throws IllegalArgumentException if the file is invalid; the message says why in one line
     */
    public static Config read(Path file) throws IOException {
        try {
            return parse(PeerJson.parse(Files.readString(file)).asObject());
        } catch (UnsupportedOperationException
                | NullPointerException
                | MalformedInputException
                | IllegalArgumentException e) {
            String reason = e instanceof NullPointerException ? "a required part is missing" : e.getMessage();
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
                classNames(settings.get("requestClasses").asArray()),
                names(required(settings, "kinds")),
                names(required(settings, "azs")),
                required(settings, "quantumS").asDouble(),
                required(settings, "me").asInt(),
                operatorAddress(json.get("mgmt")),
                ConfigKeys.of(json));
    }

    /** The names of the classes. Requests and journals identify classes by name, so each name occurs once. */
    private static List<String> classNames(JsonArray classes) {
        List<String> names = new ArrayList<>();
        for (JsonValue each : classes) {
            String name = each.asObject().getString("name", "");
            if (name.isEmpty() || names.contains(name)) {
                throw new IllegalArgumentException("requestClasses: the name '" + name + "' is empty or occurs twice");
            }
            names.add(name);
        }
        return names;
    }

    /**
     * This configuration with what may change while a relay runs taken from a newer file: the addresses of discovery
     * and of peers, the classes and the limits. The rest of that file takes effect at the next start.
     *
     * @throws IllegalArgumentException if the newer file is incomplete; the message says why in one line
     */
    Config reloadedFrom(Config newer) {
        Set<String> missing = keys.missingIn(newer.keys);
        if (!missing.isEmpty()) {
            throw new IllegalArgumentException("the newer configuration lacks " + String.join(", ", missing));
        }
        return new Config(
                name,
                listen,
                newer.discovery,
                seed,
                diskBytes,
                maxDescriptors,
                peerListen,
                newer.peers,
                newer.peersAll,
                knownEndpoints,
                reloadedSettings(newer),
                mergedClassNames(newer),
                kindNames,
                zoneNames,
                minRoundGapSeconds,
                relayIndex,
                operatorAddress,
                keys);
    }

    /** The names of these classes at their present indexes, then those that only the newer file has. */
    private List<String> mergedClassNames(Config newer) {
        List<String> names = new ArrayList<>(classNames);
        newer.classNames.stream().filter(name -> !names.contains(name)).forEach(names::add);
        return names;
    }

    /**
     * These settings with the newer file's classes and limits. A class keeps its index and a new one is appended. A
     * class that the newer file lacks stays unchanged, since clients may still send messages of it. The rest (kinds,
     * tenants, rules) takes effect at the next start.
     */
    private SettingsParser.ParsedSettings reloadedSettings(Config newer) {
        List<String> names = mergedClassNames(newer);
        List<Protocol.MessageClass> messageClasses =
                new ArrayList<>(parsedSettings.settings().classes());
        for (int newerIndex = 0; newerIndex < newer.classNames.size(); newerIndex++) {
            Protocol.MessageClass newerClass =
                    newer.parsedSettings.settings().classes().get(newerIndex);
            int index = names.indexOf(newer.classNames.get(newerIndex));
            if (index < messageClasses.size()) {
                messageClasses.set(index, newerClass);
            } else {
                messageClasses.add(newerClass);
            }
        }
        Protocol.Settings old = parsedSettings.settings();
        Protocol.Settings reloaded = new Protocol.Settings(
                old.senders(),
                old.zone(),
                old.watchesList(),
                old.weight(),
                old.overQuotaShare(),
                old.halvesWorth(),
                old.crossZoneFee(),
                old.routeFees(),
                old.rules(),
                newer.parsedSettings.settings().limits(),
                messageClasses,
                old.kinds(),
                old.tenants());
        return new SettingsParser.ParsedSettings(
                reloaded, parsedSettings.remainingField(), parsedSettings.limitField());
    }

    /** This configuration without other relays and without an address for operators. */
    Config withoutPeers() {
        return new Config(
                name,
                listen,
                discovery,
                seed,
                diskBytes,
                maxDescriptors,
                null,
                List.of(),
                null,
                knownEndpoints,
                parsedSettings,
                classNames,
                kindNames,
                zoneNames,
                minRoundGapSeconds,
                relayIndex,
                null,
                keys);
    }

    private static JsonValue required(JsonObject settings, String key) {
        JsonValue value = settings.get(key);
        if (value == null) {
            throw new IllegalArgumentException("settings: " + key + " is missing");
        }
        return value;
    }

    private static List<String> names(JsonValue value) {
        List<String> out = new ArrayList<>();
        if (value.isArray()) {
            value.asArray().forEach(name -> out.add(name.asString()));
        } else {
            out.addAll(List.of(value.asString().split(",")));
        }
        return out;
    }

    /** The address for operators; the environment variable takes precedence over the file. */
    private static InetSocketAddress operatorAddress(JsonValue inFile) {
        String fromEnvironment = System.getenv("RELAY_MGMT");
        return fromEnvironment != null && !fromEnvironment.isBlank()
                ? address(fromEnvironment.strip())
                : optionalAddress(inFile);
    }

    private static InetSocketAddress optionalAddress(JsonValue value) {
        return value == null || value.isNull() || value.asString().isEmpty() ? null : address(value.asString());
    }

    /**
     * Parses an address of the form host:port, and resolves the host.
     *
     * @throws IllegalArgumentException if the text has another form
     */
    public static InetSocketAddress address(String text) {
        int colon = text.lastIndexOf(':');
        if (colon < 1) {
            throw new IllegalArgumentException("'" + text + "' is not an address of the form host:port");
        }
        try {
            return new InetSocketAddress(text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
        } catch (NumberFormatException e) {
            throw new IllegalArgumentException("'" + text + "' is not an address of the form host:port", e);
        }
    }

    /**
     * Appends nested settings to {@code out} as path=value lines, the form in which the simulator passes them and that
     * {@link SettingsParser} reads.
     */
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
