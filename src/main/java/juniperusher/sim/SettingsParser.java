package juniperusher.sim;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import juniperusher.Protocol.DestinationKind;
import juniperusher.Protocol.Effect;
import juniperusher.Protocol.MessageClass;
import juniperusher.Protocol.Rules;
import juniperusher.Protocol.SenderLimits;
import juniperusher.Protocol.Settings;
import juniperusher.Protocol.Tenant;
import juniperusher.Protocol.Weight;

/** Parses the start-up settings: one path=value per line. Unknown keys are ignored. */
public final class SettingsParser {
    private final Map<String, String> values = new HashMap<>();

    private SettingsParser(String text) {
        for (String line : text.split("\n")) {
            int equalsSign = line.indexOf('=');
            if (equalsSign > 0) {
                values.put(
                        line.substring(0, equalsSign).strip(),
                        line.substring(equalsSign + 1).strip());
            } else if (!line.isBlank()) {
                throw new MalformedInputException("settings: no '=' in line '" + line + "'");
            }
        }
    }

    /**
     * Parsed settings.
     *
     * @param settings       settings of the decision module
     * @param remainingField index of the value x0 in load reports, the share of the limit that is left; -1 if not
     *                       reported
     * @param limitField     index of the value x1 in load reports, the limit in calls per second; -1 if not reported
     */
    public record ParsedSettings(Settings settings, int remainingField, int limitField) {}

    /**
     * Parses the settings.
     *
     * @throws MalformedInputException if a line is malformed, or a required setting is missing or invalid
     */
    public static ParsedSettings parse(String text) {
        SettingsParser parser = new SettingsParser(text);
        try {
            List<String> fields =
                    List.of(parser.values.getOrDefault("loadReport.fields", "").split(","));
            return new ParsedSettings(parser.settings(), fields.indexOf("x0"), fields.indexOf("x1"));
        } catch (IllegalArgumentException e) {
            throw new MalformedInputException("settings: " + e.getMessage());
        }
    }

    private Settings settings() {
        Rules rules = new Rules(
                doubleSetting("obligations.drainGraceS"),
                doubleSetting("obligations.coldFrom"),
                doubleSetting("obligations.warmWithinS"),
                doubleSetting("obligations.tipMultiple"),
                doubleSetting("obligations.tipAfterS"),
                doubleSetting("obligations.keyQuietS", 0),
                doubleSetting("obligations.askWithinS", 0));
        SenderLimits limits = new SenderLimits(
                intSetting("allowed.maxAttempts"),
                intSetting("allowed.mostHeld"),
                intSetting("familyInfo.maxCalls"),
                booleanSetting("allowed.mayCancel"),
                booleanSetting("allowed.parallelTries"),
                booleanSetting("allowed.probes"),
                booleanSetting("allowed.peerMessages"),
                booleanSetting("allowed.retryAfter"),
                doubleSetting("allowed.maxRetryAfterS", 0),
                doubleSetting("allowed.dialTimeoutS"),
                doubleSetting("allowed.keepaliveS", 0));
        return new Settings(
                intSetting("peersTotal"),
                (int) doubleSetting("locality", 0),
                requiredSetting("membershipMode").equals("ask"),
                weight(),
                doubleSetting("overShareWorth", 1),
                values.getOrDefault("familyInfo.late", "").equals("halving"),
                doubleSetting("fees.crossZone", 0),
                routeFees(),
                rules,
                limits,
                classes(),
                kinds(),
                tenants());
    }

    private List<MessageClass> classes() {
        List<MessageClass> classes = new ArrayList<>();
        for (int i = 0; i < intSetting("requestClasses.count"); i++) {
            String prefix = "requestClasses." + i + ".";
            Effect effect =
                    switch (requiredSetting(prefix + "effect")) {
                        case "idempotent" -> Effect.SAFE;
                        case "deduplicated" -> Effect.KEYED;
                        case "at_most_once" -> Effect.UNSAFE;
                        default -> throw unreadableSetting(prefix + "effect");
                    };
            classes.add(new MessageClass(
                    values.getOrDefault(prefix + "name", ""),
                    effect,
                    "zone".equals(values.get(prefix + "group")),
                    doubleSetting(prefix + "keyTtlS", 0),
                    booleanSetting(prefix + "sequential", false),
                    doubleSetting(prefix + "objectiveS"),
                    doubleSetting(prefix + "deadlineS"),
                    doubleSetting(prefix + "worth"),
                    doubleSetting(prefix + "lateValue", 0)));
        }
        return classes;
    }

    private List<DestinationKind> kinds() {
        String[] batches = values.getOrDefault("familyInfo.batchByKind", "").split(",");
        String[] apartFlags = values.getOrDefault("familyInfo.kindApart", "").split(",");
        List<DestinationKind> kinds = new ArrayList<>();
        for (int i = 0; i < Math.max(batches.length, apartFlags.length); i++) {
            String batch = i < batches.length && !batches[i].isEmpty() ? batches[i] : "1";
            try {
                kinds.add(new DestinationKind(
                        (int) Double.parseDouble(batch), i < apartFlags.length && apartFlags[i].equals("true")));
            } catch (NumberFormatException e) {
                throw unreadableSetting("familyInfo.batchByKind");
            }
        }
        return kinds;
    }

    private List<Double> routeFees() {
        List<Double> fees = new ArrayList<>();
        for (String fee : values.getOrDefault("familyInfo.feeByZone", "").split(",")) {
            try {
                fees.add(fee.isEmpty() ? 0 : Double.parseDouble(fee));
            } catch (NumberFormatException e) {
                throw unreadableSetting("familyInfo.feeByZone");
            }
        }
        return fees;
    }

    private List<Tenant> tenants() {
        List<Tenant> tenants = new ArrayList<>();
        for (int i = 0; i < doubleSetting("tenants.count", 0); i++) {
            String prefix = "tenants." + i + ".";
            tenants.add(new Tenant(values.getOrDefault(prefix + "name", ""), doubleSetting(prefix + "quotaPerS", 0)));
        }
        if (!tenants.isEmpty()) {
            tenants.add(new Tenant("", 0)); // clients not listed have a quota of 0: all their messages exceed it
        }
        return tenants;
    }

    private Weight weight() {
        return switch (values.getOrDefault("weightSource", "off")) {
            case "nominal" -> Weight.NOMINAL;
            case "rough" -> Weight.ROUGH;
            default -> Weight.NONE;
        };
    }

    private String requiredSetting(String key) {
        String value = values.get(key);
        if (value == null) {
            throw new MalformedInputException("settings: " + key + " is missing");
        }
        return value;
    }

    private double doubleSetting(String key) {
        try {
            return Double.parseDouble(requiredSetting(key));
        } catch (NumberFormatException e) {
            throw unreadableSetting(key);
        }
    }

    private double doubleSetting(String key, double defaultValue) {
        return values.containsKey(key) ? doubleSetting(key) : defaultValue;
    }

    private int intSetting(String key) {
        return (int) doubleSetting(key);
    }

    private boolean booleanSetting(String key) {
        return switch (requiredSetting(key)) {
            case "true" -> true;
            case "false" -> false;
            default -> throw unreadableSetting(key);
        };
    }

    private boolean booleanSetting(String key, boolean defaultValue) {
        return values.containsKey(key) ? booleanSetting(key) : defaultValue;
    }

    private MalformedInputException unreadableSetting(String key) {
        return new MalformedInputException("settings: " + key + " is unreadable: '" + values.get(key) + "'");
    }
}
