package juniperusher.lab;

import com.eclipsesource.json.JsonArray;
import com.eclipsesource.json.JsonObject;
import java.util.ArrayList;
import java.util.List;
import juniperusher.Protocol.DestinationKind;
import juniperusher.Protocol.Effect;
import juniperusher.Protocol.MessageClass;
import juniperusher.Protocol.Rules;
import juniperusher.Protocol.SenderLimits;
import juniperusher.Protocol.Settings;
import juniperusher.Protocol.Tenant;
import juniperusher.Protocol.Weight;

/** The settings of the relays in a plan, for the decision module and as a configuration file. */
public final class LabSettings {
    /** Notices, which may be repeated. */
    public static final MessageClass NOTICE_CLASS =
            new MessageClass("aviso-push", Effect.SAFE, false, 5, false, 0.8, 6, 1, 0.1);
    /** Orders, which must not be sent again once they may have run. */
    public static final MessageClass ORDER_CLASS =
            new MessageClass("ordem-build", Effect.UNSAFE, false, 5, false, 4, 20, 3, 0.5);
    /** The names of the classes in every plan, in the order of their indexes. */
    public static final List<String> CLASS_NAMES = List.of(NOTICE_CLASS.name(), ORDER_CLASS.name());

    /** Index of {@link #NOTICE_CLASS} among the classes. */
    public static final int NOTICE_INDEX = 0;
    /** Index of {@link #ORDER_CLASS} among the classes. */
    public static final int ORDER_INDEX = 1;
    /** Index of the sequenced class, in plans that have one. */
    public static final int SEQUENCED_INDEX = 2;

    private static final double TYPICAL_ANSWER_SECONDS = 0.3; // including the network
    private static final int MIN_PENDING_LIMIT = 12; // messages
    private static final int MAX_ATTEMPTS = 12;
    private static final double MAX_RETRY_AFTER_SECONDS = 2; // longer delays than this are not heeded by clients
    private static final double KEEP_ALIVE_SECONDS = 10;

    private LabSettings() {}

    /** The message classes of a plan. */
    public static List<MessageClass> classes(Plan plan) {
        if (plan.sequenced().share() == 0) {
            return List.of(NOTICE_CLASS, ORDER_CLASS);
        }
        Effect effect = plan.sequenced().unsafe() ? Effect.UNSAFE : Effect.SAFE;
        boolean ordered = plan.relays().keysEnabled();
        return List.of(
                NOTICE_CLASS, ORDER_CLASS, new MessageClass("etapa-registo", effect, false, 5, ordered, 2, 16, 1, 0.3));
    }

    /** The longest deadline of any message class, s. */
    public static double longestDeadline(Plan plan) {
        return classes(plan).stream().mapToDouble(MessageClass::deadline).max().orElseThrow();
    }

    private static boolean usesTenants(Plan plan) {
        return plan.relays().tenantsEnabled() && !plan.tenants().isEmpty();
    }

    /** The tenants of the plan and, as in settings read from a file, one for all that they do not name. */
    private static List<Tenant> tenants(Plan plan) {
        if (!usesTenants(plan)) {
            return List.of();
        }
        List<Tenant> out = new ArrayList<>();
        plan.tenants().forEach(one -> out.add(new Tenant(one.name(), plan.quota(one))));
        out.add(new Tenant(0));
        return out;
    }

    private static int maxPending(Plan plan) {
        return (int) Math.max(MIN_PENDING_LIMIT, plan.relays().maxPendingSeconds() * ratePerRelay(plan));
    }

    private static int maxCalls(Plan plan) {
        return (int)
                Math.max(3, Math.ceil(plan.relays().maxCallsFactor() * ratePerRelay(plan) * TYPICAL_ANSWER_SECONDS));
    }

    private static double ratePerRelay(Plan plan) {
        return plan.destinations().stream().mapToDouble(Plan.Destination::rate).sum()
                / plan.relays().count();
    }

    /** The settings for the decision module. */
    public static Settings of(Plan plan) {
        return new Settings(
                plan.relays().count(),
                0,
                false,
                Weight.NOMINAL,
                usesTenants(plan) ? plan.relays().overShareWorth() : 1,
                true,
                0,
                List.of(0.0),
                new Rules(0.5, 0.14, 13, 2.5, DestinationModel.WINDOW_SECONDS, 0.5, 10),
                new SenderLimits(
                        MAX_ATTEMPTS,
                        maxPending(plan),
                        maxCalls(plan),
                        true,
                        false,
                        true,
                        true,
                        true,
                        MAX_RETRY_AFTER_SECONDS,
                        1,
                        KEEP_ALIVE_SECONDS),
                classes(plan),
                List.of(new DestinationKind(1, false)),
                tenants(plan));
    }

    /**
     * The same settings as the {@code settings} object in the configuration file of a relay.
     *
     * @param relay     the index of the relay
     * @param keepAlive s after which an endpoint closes an idle connection
     */
    public static JsonObject json(Plan plan, int relay, double keepAlive) {
        Settings settings = of(plan);
        Rules rules = settings.rules();
        SenderLimits limits = settings.limits();
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
        for (Plan.Tenant tenant : usesTenants(plan) ? plan.tenants() : List.<Plan.Tenant>of()) {
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
                                .add("dialTimeoutS", limits.connectTimeout())
                                .add("keepaliveS", keepAlive)
                                .add("maxAttempts", limits.maxAttempts())
                                .add("maxRetryAfterS", limits.maxRetryAfter())
                                .add("mayCancel", limits.mayCancel())
                                .add("mostHeld", limits.maxPending())
                                .add("parallelTries", limits.mayDuplicate())
                                .add("peerMessages", limits.mayNotify())
                                .add("probes", limits.mayProbe())
                                .add("retryAfter", limits.mayTellRetryAfter())
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
                                .add("maxCalls", limits.maxCalls()))
                .add("fees", new JsonObject().add("crossZone", settings.crossZoneFee()))
                .add("kinds", new JsonArray().add("member"))
                .add(
                        "loadReport",
                        new JsonObject().add("fields", new JsonArray()).add("how", "off"))
                .add("me", relay)
                .add("membershipMode", "push")
                .add(
                        "obligations",
                        new JsonObject()
                                .add("askWithinS", rules.listMaxAge())
                                .add("coldFrom", rules.coldShare())
                                .add("drainGraceS", rules.drainGrace())
                                .add("graceToAnswerS", 0.02)
                                .add("keyQuietS", rules.keyQuiet())
                                .add("tipAfterS", rules.overloadTime())
                                .add("tipMultiple", rules.overloadFactor())
                                .add("warmWithinS", rules.warmUp()))
                .add("overShareWorth", settings.overQuotaShare())
                .add("peersTotal", settings.senders())
                .add("quantumS", 0.005)
                .add("requestClasses", classes)
                .add("tenants", tenants)
                .add("weightSource", "nominal");
    }
}
