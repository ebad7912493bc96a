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

/**
 * Parses the start-up settings: one path=value per line. Unknown keys are ignored. Only a key that complete settings
 * may lack has a default value: an assumed value for any other could loosen a rule.
 */
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
                    List.of(parser.requiredSetting("loadReport.fields").split(","));
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
                doubleSetting("obligations.askWithinS"));
        SenderLimits limits = new SenderLimits(
                intSetting("allowed.maxAttempts"),
                intSetting("allowed.mostHeld"),
                intSetting("familyInfo.maxCalls"),
                booleanSetting("allowed.mayCancel"),
                booleanSetting("allowed.parallelTries"),
                booleanSetting("allowed.probes"),
                booleanSetting("allowed.peerMessages"),
                booleanSetting("allowed.retryAfter"),
                doubleSetting("allowed.maxRetryAfterS"),
                doubleSetting("allowed.dialTimeoutS"),
                doubleSetting("allowed.keepaliveS"));
        return new Settings(
                intSetting("peersTotal"),
                intSetting("locality"),
                watchesList(),
                weight(),
                doubleSetting("overShareWorth"),
                requiredSetting("familyInfo.late").equals("halving"),
                doubleSetting("fees.crossZone"),
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
                    requiredSetting(prefix + "name"),
                    effect,
                    zoneOnly(prefix + "group"),
                    doubleSetting(prefix + "keyTtlS"),
                    booleanSetting(prefix + "sequential", false),
                    doubleSetting(prefix + "objectiveS"),
                    doubleSetting(prefix + "deadlineS"),
                    doubleSetting(prefix + "worth"),
                    doubleSetting(prefix + "lateValue")));
        }
        return classes;
    }

    private boolean zoneOnly(String key) {
        return switch (requiredSetting(key)) {
            case "all" -> false;
            // The cell of an endpoint is that of its destination, so the zone is the stricter of the two groups.
            case "zone", "cell" -> true;
            default -> throw unreadableSetting(key);
        };
    }

    private boolean watchesList() {
        return switch (requiredSetting("membershipMode")) {
            case "ask" -> true;
            case "push" -> false;
            default -> throw unreadableSetting("membershipMode");
        };
    }

    private List<DestinationKind> kinds() {
        String[] batches = requiredSetting("familyInfo.batchByKind").split(",");
        String[] apartFlags = requiredSetting("familyInfo.kindApart").split(",");
        List<DestinationKind> kinds = new ArrayList<>();
        for (int i = 0; i < Math.max(batches.length, apartFlags.length); i++) {
            String batch = i < batches.length && !batches[i].isEmpty() ? batches[i] : "1";
            try {
                kinds.add(new DestinationKind(
                        (int) Double.parseDouble(batch), i < apartFlags.length && isApart(apartFlags[i])));
            } catch (NumberFormatException e) {
                throw unreadableSetting("familyInfo.batchByKind");
            }
        }
        return kinds;
    }

    private boolean isApart(String flag) {
        return switch (flag) {
            case "true" -> true;
            case "false", "" -> false;
            default -> throw unreadableSetting("familyInfo.kindApart");
        };
    }

    private List<Double> routeFees() {
        List<Double> fees = new ArrayList<>();
        for (String fee : requiredSetting("familyInfo.feeByZone").split(",")) {
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
        int count = values.containsKey("tenants.count") ? intSetting("tenants.count") : noTenants();
        for (int i = 0; i < count; i++) {
            String prefix = "tenants." + i + ".";
            tenants.add(new Tenant(requiredSetting(prefix + "name"), doubleSetting(prefix + "quotaPerS")));
        }
        if (!tenants.isEmpty()) {
            tenants.add(new Tenant("", 0)); // clients not listed have a quota of 0: all their messages exceed it
        }
        return tenants;
    }

    /** The number of tenants if the list of them is empty; an empty list is written without a count. */
    private int noTenants() {
        if (!requiredSetting("tenants").isEmpty()) {
            throw unreadableSetting("tenants");
        }
        return 0;
    }

    private Weight weight() {
        return switch (requiredSetting("weightSource")) {
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
        double value;
        try {
            value = Double.parseDouble(requiredSetting(key));
        } catch (NumberFormatException e) {
            throw unreadableSetting(key);
        }
        if (!Double.isFinite(value)) {
            throw unreadableSetting(key);
        }
        return value;
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
