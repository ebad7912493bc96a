package juniperusher.sim;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import juniperusher.Protocol.Allowed;
import juniperusher.Protocol.Effect;
import juniperusher.Protocol.Kind;
import juniperusher.Protocol.MessageClass;
import juniperusher.Protocol.Rules;
import juniperusher.Protocol.Settings;
import juniperusher.Protocol.Tenant;
import juniperusher.Protocol.Weight;

/** Reads the start-up settings: path=value, one a line. Unknown keys are ignored. */
public final class SettingsParser {
    private final Map<String, String> values = new HashMap<>();

    private SettingsParser(String text) {
        for (String line : text.split("\n")) {
            int at = line.indexOf('=');
            if (at > 0) {
                values.put(line.substring(0, at).strip(), line.substring(at + 1).strip());
            } else if (!line.isBlank()) {
                throw new WireException("settings: no '=' in line '" + line + "'");
            }
        }
    }

    /** The settings and the places of the report values x0 and x1 (-1 where not reported). */
    public record Parsed(Settings settings, int leftField, int limitField) {}

    public static Parsed parse(String text) {
        SettingsParser p = new SettingsParser(text);
        try {
            List<String> fields =
                    List.of(p.values.getOrDefault("loadReport.fields", "").split(","));
            return new Parsed(p.settings(), fields.indexOf("x0"), fields.indexOf("x1"));
        } catch (IllegalArgumentException e) {
            throw new WireException("settings: " + e.getMessage());
        }
    }

    private Settings settings() {
        Rules rules = new Rules(
                number("obligations.drainGraceS"),
                number("obligations.coldFrom"),
                number("obligations.warmWithinS"),
                number("obligations.tipMultiple"),
                number("obligations.tipAfterS"),
                number("obligations.keyQuietS", 0),
                number("obligations.askWithinS", 0));
        Allowed allowed = new Allowed(
                whole("allowed.maxAttempts"),
                whole("allowed.mostHeld"),
                whole("familyInfo.maxCalls"),
                flag("allowed.mayCancel"),
                flag("allowed.parallelTries"),
                flag("allowed.probes"),
                flag("allowed.peerMessages"),
                flag("allowed.retryAfter"),
                number("allowed.maxRetryAfterS", 0),
                number("allowed.dialTimeoutS"),
                number("allowed.keepaliveS", 0));
        return new Settings(
                whole("peersTotal"),
                (int) number("locality", 0),
                required("membershipMode").equals("ask"),
                weight(),
                number("overShareWorth", 1),
                values.getOrDefault("familyInfo.late", "").equals("halving"),
                number("fees.crossZone", 0),
                routeFees(),
                rules,
                allowed,
                classes(),
                kinds(),
                tenants());
    }

    private List<MessageClass> classes() {
        List<MessageClass> out = new ArrayList<>();
        for (int i = 0; i < whole("requestClasses.count"); i++) {
            String c = "requestClasses." + i + ".";
            Effect effect =
                    switch (required(c + "effect")) {
                        case "idempotent" -> Effect.SAFE;
                        case "deduplicated" -> Effect.KEYED;
                        case "at_most_once" -> Effect.UNSAFE;
                        default -> throw unreadable(c + "effect");
                    };
            out.add(new MessageClass(
                    values.getOrDefault(c + "name", ""),
                    effect,
                    "zone".equals(values.get(c + "group")),
                    number(c + "keyTtlS", 0),
                    flag(c + "sequential", false),
                    number(c + "objectiveS"),
                    number(c + "deadlineS"),
                    number(c + "worth"),
                    number(c + "lateValue", 0)));
        }
        return out;
    }

    private List<Kind> kinds() {
        String[] batches = values.getOrDefault("familyInfo.batchByKind", "").split(",");
        String[] aparts = values.getOrDefault("familyInfo.kindApart", "").split(",");
        List<Kind> out = new ArrayList<>();
        for (int i = 0; i < Math.max(batches.length, aparts.length); i++) {
            String batch = i < batches.length && !batches[i].isEmpty() ? batches[i] : "1";
            try {
                out.add(new Kind((int) Double.parseDouble(batch), i < aparts.length && aparts[i].equals("true")));
            } catch (NumberFormatException e) {
                throw unreadable("familyInfo.batchByKind");
            }
        }
        return out;
    }

    private List<Double> routeFees() {
        List<Double> out = new ArrayList<>();
        for (String fee : values.getOrDefault("familyInfo.feeByZone", "").split(",")) {
            try {
                out.add(fee.isEmpty() ? 0 : Double.parseDouble(fee));
            } catch (NumberFormatException e) {
                throw unreadable("familyInfo.feeByZone");
            }
        }
        return out;
    }

    private List<Tenant> tenants() {
        List<Tenant> out = new ArrayList<>();
        for (int i = 0; i < number("tenants.count", 0); i++) {
            String tenant = "tenants." + i + ".";
            out.add(new Tenant(values.getOrDefault(tenant + "name", ""), number(tenant + "quotaPerS", 0)));
        }
        if (!out.isEmpty()) {
            out.add(new Tenant("", 0)); // whoever is not named has no share: all that it sends is beyond it
        }
        return out;
    }

    private Weight weight() {
        return switch (values.getOrDefault("weightSource", "off")) {
            case "nominal" -> Weight.NOMINAL;
            case "rough" -> Weight.ROUGH;
            default -> Weight.NONE;
        };
    }

    private String required(String key) {
        String value = values.get(key);
        if (value == null) {
            throw new WireException("settings: " + key + " is missing");
        }
        return value;
    }

    private double number(String key) {
        try {
            return Double.parseDouble(required(key));
        } catch (NumberFormatException e) {
            throw unreadable(key);
        }
    }

    private double number(String key, double absent) {
        return values.containsKey(key) ? number(key) : absent;
    }

    private int whole(String key) {
        return (int) number(key);
    }

    private boolean flag(String key) {
        return switch (required(key)) {
            case "true" -> true;
            case "false" -> false;
            default -> throw unreadable(key);
        };
    }

    private boolean flag(String key, boolean absent) {
        return values.containsKey(key) ? flag(key) : absent;
    }

    private WireException unreadable(String key) {
        return new WireException("settings: " + key + " is unreadable: '" + values.get(key) + "'");
    }
}
