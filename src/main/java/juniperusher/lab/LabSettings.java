package juniperusher.lab;

import com.eclipsesource.json.JsonArray;
import com.eclipsesource.json.JsonObject;
import java.util.ArrayList;
import java.util.List;
import juniperusher.Protocol.Allowed;
import juniperusher.Protocol.Effect;
import juniperusher.Protocol.Kind;
import juniperusher.Protocol.MessageClass;
import juniperusher.Protocol.Rules;
import juniperusher.Protocol.Settings;
import juniperusher.Protocol.Tenant;
import juniperusher.Protocol.Weight;

/** What the relays of a plan are told at their start: for the module, and as a configuration file. */
public final class LabSettings {
    /** A notice: it may be repeated. */
    public static final MessageClass NOTICE =
            new MessageClass("aviso-push", Effect.SAFE, false, 5, false, 0.8, 6, 1, 0.1);
    /** An order: once it may have run it is never sent again. */
    public static final MessageClass ORDER =
            new MessageClass("ordem-build", Effect.UNSAFE, false, 5, false, 4, 20, 3, 0.5);
    /** The names of the classes that every plan has, notices first. */
    public static final List<String> NAMES = List.of(NOTICE.name(), ORDER.name());

    /** Place of {@link #NOTICE} in the settings. */
    public static final int REPEATABLE = 0;
    /** Place of {@link #ORDER}. */
    public static final int UNREPEATABLE = 1;
    /** Place of the class in order, in plans that have one. */
    public static final int SEQUENCED = 2;

    private static final double ANSWER = 0.3; // s, a usual answer with its way
    private static final int LEAST = 12; // messages held
    private static final int ATTEMPTS = 12;
    private static final double MOST_RETURN = 2; // s, the longest told time that clients heed
    private static final double KEEP_ALIVE = 10;

    private LabSettings() {}

    /** The classes of a plan's messages. */
    public static List<MessageClass> classes(Plan plan) {
        if (plan.sequenced().share() == 0) {
            return List.of(NOTICE, ORDER);
        }
        Effect effect = plan.sequenced().unsafe() ? Effect.UNSAFE : Effect.SAFE;
        boolean ordered = plan.relays().keys();
        return List.of(NOTICE, ORDER, new MessageClass("etapa-registo", effect, false, 5, ordered, 2, 16, 1, 0.3));
    }

    /** The longest time in which any message may be delivered. */
    public static double longestDeadline(Plan plan) {
        return classes(plan).stream().mapToDouble(MessageClass::deadline).max().orElseThrow();
    }

    private static boolean tenantsTold(Plan plan) {
        return plan.relays().tenants() && !plan.tenants().isEmpty();
    }

    /** Those of the plan and, as a relay that reads its settings has it, one for all whom they do not name. */
    private static List<Tenant> tenants(Plan plan) {
        if (!tenantsTold(plan)) {
            return List.of();
        }
        List<Tenant> out = new ArrayList<>();
        plan.tenants().forEach(one -> out.add(new Tenant(one.name(), plan.quota(one))));
        out.add(new Tenant(0));
        return out;
    }

    private static int held(Plan plan) {
        return (int) Math.max(LEAST, plan.relays().held() * part(plan));
    }

    private static int calls(Plan plan) {
        return (int) Math.max(3, Math.ceil(plan.relays().calls() * part(plan) * ANSWER));
    }

    private static double part(Plan plan) {
        return plan.destinations().stream().mapToDouble(Plan.Destination::rate).sum()
                / plan.relays().count();
    }

    /** For the module. */
    public static Settings of(Plan plan) {
        return new Settings(
                plan.relays().count(),
                0,
                false,
                Weight.NOMINAL,
                tenantsTold(plan) ? plan.relays().overShareWorth() : 1,
                true,
                0,
                List.of(0.0),
                new Rules(0.5, 0.14, 13, 2.5, DestinationModel.WINDOW, 0.5, 10),
                new Allowed(
                        ATTEMPTS, held(plan), calls(plan), true, false, true, true, true, MOST_RETURN, 1, KEEP_ALIVE),
                classes(plan),
                List.of(new Kind(1, false)),
                tenants(plan));
    }

    /**
     * The same as the {@code settings} of a relay's configuration file.
     *
     * @param keepAlive s after which an endpoint closes an idle connection
     */
    public static JsonObject json(Plan plan, int me, double keepAlive) {
        Settings settings = of(plan);
        Rules rules = settings.rules();
        Allowed allowed = settings.allowed();
        JsonArray classes = new JsonArray();
        for (MessageClass kind : settings.classes()) {
            classes.add(new JsonObject()
                    .add("name", kind.name())
                    .add("deadlineS", kind.deadline())
                    .add("objectiveS", kind.aim())
                    .add("worth", kind.worth())
                    .add("lateValue", kind.lateShare())
                    .add("keyTtlS", kind.keyWindow())
                    .add("group", "all")
                    .add("sequential", kind.ordered())
                    .add("streamed", false)
                    .add("effect", kind.effect() == Effect.SAFE ? "idempotent" : "at_most_once"));
        }
        JsonArray tenants = new JsonArray();
        for (Plan.Tenant tenant : tenantsTold(plan) ? plan.tenants() : List.<Plan.Tenant>of()) {
            tenants.add(new JsonObject()
                    .add("name", tenant.name())
                    .add("share", tenant.share())
                    .add("quotaPerS", plan.quota(tenant)));
        }
        return new JsonObject()
                .add(
                        "allowed",
                        new JsonObject()
                                .add("cpuUsPerRequest", 0.0)
                                .add("cpuUsPerS", 50_000)
                                .add("dialTimeoutS", allowed.connectTimeout())
                                .add("keepaliveS", keepAlive)
                                .add("maxAttempts", allowed.attempts())
                                .add("maxRetryAfterS", allowed.maxRetryAfter())
                                .add("mayCancel", allowed.cancel())
                                .add("mostHeld", allowed.held())
                                .add("parallelTries", allowed.secondCopies())
                                .add("peerMessages", allowed.notes())
                                .add("probes", allowed.probes())
                                .add("retryAfter", allowed.retryAfter())
                                .add("streamsPerConn", 1))
                .add("azs", new JsonArray().add("here"))
                .add("locality", settings.zone())
                .add(
                        "familyInfo",
                        new JsonObject()
                                .add("batchByKind", new JsonArray().add(1))
                                .add("feeByZone", new JsonArray().add(0.0))
                                .add("kindApart", new JsonArray().add(false))
                                .add("late", "halving")
                                .add("maxCalls", allowed.calls()))
                .add("fees", new JsonObject().add("crossZone", settings.crossZoneFee()))
                .add("kinds", new JsonArray().add("member"))
                .add(
                        "loadReport",
                        new JsonObject().add("fields", new JsonArray()).add("how", "off"))
                .add("me", me)
                .add("membershipMode", "push")
                .add(
                        "obligations",
                        new JsonObject()
                                .add("askWithinS", rules.askWithin())
                                .add("coldFrom", rules.coldFrom())
                                .add("drainGraceS", rules.drainGrace())
                                .add("graceToAnswerS", 0.02)
                                .add("keyQuietS", rules.keyQuiet())
                                .add("tipAfterS", rules.tipAfter())
                                .add("tipMultiple", rules.tipMultiple())
                                .add("warmWithinS", rules.warmWithin()))
                .add("overShareWorth", settings.overShareWorth())
                .add("peersTotal", settings.senders())
                .add("quantumS", 0.005)
                .add("requestClasses", classes)
                .add("tenants", tenants)
                .add("weightSource", "nominal");
    }
}
