package juniperusher.lab;

import com.eclipsesource.json.JsonObject;
import com.eclipsesource.json.JsonValue;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.function.Function;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/**
 * The input of one run of an experiment, independent of the engine that executes it. Times are seconds from the start
 * of the run, rates are per second. The schema of the file is {@code experiment.schema.json}.
 *
 * @param seconds      how long clients request messages
 * @param measuredFrom time from which requested messages count towards the worth; earlier ones are warm-up
 */
public record Plan(
        long seed,
        double seconds,
        double measuredFrom,
        Relays relays,
        Notes notes,
        Clients clients,
        SequencedClass sequenced,
        List<Tenant> tenants,
        List<Destination> destinations,
        List<Crash> crashes) {
    // Numbers of the independent random streams. Those below STREAMS_PER_DESTINATION are shared by all destinations;
    // each destination then has that many of its own, and one more at or below TRAITS_STREAM.
    private static final int STREAMS_PER_DESTINATION = 4;
    private static final int NOTES_STREAM = 0;
    private static final int RELAYS_STREAM = 1;
    private static final int KEYS_STREAM = 2;
    private static final int ACKNOWLEDGEMENTS_STREAM = 3;
    private static final int TRAITS_STREAM = -1;
    private static final double SHARE_SUM_TOLERANCE = 0.01;

    /**
     * The relays and what they know.
     *
     * @param stormEnabled      whether the storm package is on
     * @param maxPendingSeconds bound on the pending messages of a relay, in s of its part of the total rate
     * @param maxCallsFactor    bound on its calls in flight, as a multiple of those that its part of the total rate
     *                          needs at a typical answer time
     * @param keysEnabled       whether relays know the class as ordered; if not, they break the order of keys
     * @param tenantsEnabled    whether relays know the tenants and their quotas
     * @param overShareWorth    factor on the worth of a message beyond the quota of its tenant
     */
    public record Relays(
            int count,
            boolean stormEnabled,
            double maxPendingSeconds,
            double maxCallsFactor,
            boolean keysEnabled,
            boolean tenantsEnabled,
            double overShareWorth) {}

    /**
     * The network that carries notes between relays.
     *
     * @param lostShare       share of notes that are lost
     * @param duplicatedShare share of the other notes that arrive twice
     * @param lateShare       share of copies that arrive later by {@code extraDelay}
     * @param extraDelay      s
     */
    public record Notes(double lostShare, double duplicatedShare, double lateShare, double extraDelay) {}

    /**
     * The behavior of the clients.
     *
     * @param load             requested messages over the rate of a destination, where it has no load of its own
     * @param orderShare       share of messages whose class may not be repeated
     * @param maxResubmissions how often a client resubmits a refused message
     * @param retryAfterShare  share of refusals after which clients wait for the retry-after delay
     */
    public record Clients(double load, double orderShare, int maxResubmissions, double retryAfterShare) {}

    /**
     * The class whose messages are delivered in the order of their key.
     *
     * @param share                    its share of all messages; notices and orders divide the rest
     * @param unsafe                   whether a message that may have run must not be repeated
     * @param keyedShare               share of its messages that have a key
     * @param meanGap                  mean time between two messages of a key, s
     * @param meanLifetime             mean time for which a key is used, s
     * @param meanAcknowledgementDelay mean time until a client acknowledges the status report of an undelivered
     *                                 message, s; 0 for immediately
     */
    public record SequencedClass(
            double share,
            boolean unsafe,
            double keyedShare,
            double meanGap,
            double meanLifetime,
            double meanAcknowledgementDelay) {}

    /**
     * A tenant, which is entitled to a share of the load.
     *
     * @param share share of the load that it is entitled to; all shares add up to 1
     * @param usage its requested traffic as a multiple of its share
     */
    public record Tenant(String name, double share, double usage) {
        /** Its requested traffic as a fraction of the load. */
        public double traffic() {
            return share * usage;
        }
    }

    /**
     * A destination and its troubles in order of time.
     *
     * @param queue      length of the queue before its call slots; -1 if it limits the rate instead
     * @param load       requested messages over its rate
     * @param retryAfter retry-after delay of its refusals, s; 0 if they state none
     */
    public record Destination(
            String name,
            double rate,
            int queue,
            int connections,
            double latency,
            Spread spread,
            double load,
            double retryAfter,
            List<Trouble> troubles) {
        /** Whether it has trouble at any time of the run. */
        public boolean hasTrouble() {
            return !troubles.isEmpty();
        }
    }

    /** The distribution of answer times around their mean. */
    public enum Spread {
        EXPONENTIAL,
        LOGNORMAL,
        CONSTANT
    }

    /**
     * How a destination fails: {@code SHUT} refuses all calls as full, {@code FAST_ERRORS} answers with errors,
     * {@code HANG} never answers, {@code SLOW} answers late, {@code DOWN} refuses connections.
     */
    public enum TroubleKind {
        SHUT,
        FAST_ERRORS,
        HANG,
        SLOW,
        DOWN
    }

    /**
     * A trouble and the recovery from it.
     *
     * @param coldShare      share of the rate that the destination can take at the start of its recovery
     * @param warmUp         s from there until it can take its full rate again
     * @param overloadFactor multiple of its capacity beyond which it collapses while it recovers
     * @param slowdown       factor on answer times during {@code SLOW}
     */
    public record Trouble(
            TroubleKind kind,
            double from,
            double until,
            double coldShare,
            double warmUp,
            double overloadFactor,
            double slowdown) {}

    /** A relay is killed at a time and restarts with its journal after {@code downSeconds}. */
    public record Crash(int relay, double at, double downSeconds) {}

    public Plan {
        tenants = List.copyOf(tenants);
        destinations = List.copyOf(destinations);
        crashes = List.copyOf(crashes);
        double shares = tenants.stream().mapToDouble(Tenant::share).sum();
        if (!tenants.isEmpty() && Math.abs(shares - 1) > SHARE_SUM_TOLERANCE) {
            throw new IllegalArgumentException(
                    String.format(Locale.ROOT, "tenants: their shares add up to %.3f; expected 1", shares));
        }
        for (Crash crash : crashes) {
            if (crash.relay() >= relays.count()) {
                throw new IllegalArgumentException("crashes: relay " + crash.relay() + " of " + relays.count()
                        + "; expected 0 to " + (relays.count() - 1));
            }
        }
        for (Destination destination : destinations) {
            double last = 0;
            for (Trouble trouble : destination.troubles()) {
                if (trouble.from() < last || trouble.until() <= trouble.from()) {
                    throw new IllegalArgumentException("destinations: troubles of '" + destination.name()
                            + "' overlap or end before they begin; expected from at least " + last
                            + ", and until after from");
                }
                last = trouble.until();
            }
        }
    }

    /** Reads a plan from an experiment file that was validated and has its defaults filled in. */
    public static Plan fromJson(JsonObject file, long seed) {
        JsonObject relays = file.get("relays").asObject();
        JsonObject notes = file.get("notes").asObject();
        JsonObject clients = file.get("clients").asObject();
        JsonObject sequenced = file.get("sequenced").asObject();
        Clients habits = new Clients(
                number(clients, "load"),
                number(clients, "orders"),
                clients.getInt("returns", 0),
                number(clients, "heed"));
        return new Plan(
                seed,
                number(file, "seconds"),
                number(file, "measured_from"),
                new Relays(
                        relays.getInt("count", 0),
                        relays.getBoolean("storm", true),
                        number(relays, "held"),
                        number(relays, "calls"),
                        relays.getBoolean("keys", true),
                        relays.getBoolean("tenants", true),
                        number(relays, "over_share_worth")),
                new Notes(
                        number(notes, "lost"),
                        number(notes, "doubled"),
                        number(notes, "late"),
                        number(notes, "late_by")),
                habits,
                new SequencedClass(
                        number(sequenced, "share"),
                        sequenced.getString("effect", "").equals("unsafe"),
                        number(sequenced, "keyed"),
                        number(sequenced, "gap"),
                        number(sequenced, "life"),
                        number(sequenced, "acknowledged_after")),
                readAll(
                        file,
                        "tenants",
                        one -> new Tenant(one.getString("name", ""), number(one, "share"), number(one, "usage"))),
                readAll(file, "destinations", one -> destination(one, habits.load())),
                readAll(
                        file,
                        "crashes",
                        one -> new Crash(one.getInt("relay", 0), number(one, "at"), number(one, "down"))));
    }

    private static Destination destination(JsonObject one, double load) {
        return new Destination(
                one.getString("name", ""),
                number(one, "rate"),
                one.getString("limit", "").equals("rate") ? -1 : one.getInt("queue", 0),
                one.getInt("connections", 0),
                number(one, "latency"),
                Spread.valueOf(one.getString("spread", "").toUpperCase(Locale.ROOT)),
                one.getDouble("load", load),
                number(one, "told_wait"),
                readAll(
                        one,
                        "troubles",
                        trouble -> new Trouble(
                                TroubleKind.valueOf(
                                        trouble.getString("kind", "").toUpperCase(Locale.ROOT)),
                                number(trouble, "from"),
                                number(trouble, "until"),
                                number(trouble, "cold"),
                                number(trouble, "warm"),
                                number(trouble, "tip"),
                                number(trouble, "slower"))));
    }

    private static double number(JsonObject table, String key) {
        return table.get(key).asDouble();
    }

    private static <T> List<T> readAll(JsonObject table, String key, Function<JsonObject, T> read) {
        List<T> out = new ArrayList<>();
        for (JsonValue value : table.get(key).asArray()) {
            out.add(read.apply(value.asObject()));
        }
        return out;
    }

    /** The end of the last trouble, from which the recovery time counts; 0 without any trouble. */
    public double lastTroubleEnd() {
        return destinations.stream()
                .flatMap(one -> one.troubles().stream())
                .mapToDouble(Trouble::until)
                .max()
                .orElse(0);
    }

    /** Whether runs of this plan have a figure; some exist only in plans with a sequenced class or tenants. */
    boolean hasFigure(String figure) {
        return switch (figure) {
            case "p50_sequenced", "p99_sequenced" -> sequenced.share() > 0;
            case "worth_within_share", "worth_beyond_share", "worth_weakest_tenant" -> !tenants.isEmpty();
            default -> true;
        };
    }

    /** The requested traffic of all tenants as a fraction of the load; 1 without tenants. */
    public double totalUsage() {
        return tenants.isEmpty()
                ? 1
                : tenants.stream().mapToDouble(Tenant::traffic).sum();
    }

    /** Requested messages per second for a destination. */
    public double requestRate(int destination) {
        return destinations.get(destination).rate()
                * destinations.get(destination).load()
                * totalUsage();
    }

    /** The quota of a tenant over all relays, in messages per second. */
    public double quota(Tenant tenant) {
        return tenant.share()
                * destinations.stream()
                        .mapToDouble(one -> one.rate() * one.load())
                        .sum();
    }

    /** Creates the model of a destination, by its index. Both engines use the same model. */
    public DestinationModel destinationModel(int destination) {
        return new DestinationModel(destinations.get(destination), random((destination + 1) * STREAMS_PER_DESTINATION));
    }

    /** Creates the model of a destination's clients. */
    public ClientModel clientModel(int destination) {
        return new ClientModel(
                clients,
                random((destination + 1) * STREAMS_PER_DESTINATION + 1),
                random((destination + 1) * STREAMS_PER_DESTINATION + 2));
    }

    /** Creates the model of the network between relays. */
    public NoteModel noteModel() {
        return new NoteModel(notes, random(NOTES_STREAM));
    }

    /** Creates the model of the keys that clients use. */
    KeyModel keyModel() {
        double all = 0;
        for (int i = 0; i < destinations.size(); i++) {
            all += requestRate(i);
        }
        return new KeyModel(
                all * sequenced.share(),
                sequenced.meanGap(),
                sequenced.meanLifetime(),
                relays.count(),
                random(KEYS_STREAM));
    }

    /** Random numbers for the delays until status reports are acknowledged. */
    UniformRandomProvider acknowledgementRandom() {
        return random(ACKNOWLEDGEMENTS_STREAM);
    }

    /** Random numbers that select the tenant of a message, and whether it is sequenced and has a key. */
    UniformRandomProvider traitRandom(int destination) {
        return random(TRAITS_STREAM - destination);
    }

    /** Random numbers for network delays to a destination; the index after the last one is for probes. */
    UniformRandomProvider networkRandom(int destination) {
        return random((destination + 1) * STREAMS_PER_DESTINATION + 3);
    }

    /** Random numbers for the seeds of the relays' decision modules. */
    UniformRandomProvider relaySeedRandom() {
        return random(RELAYS_STREAM);
    }

    private UniformRandomProvider random(int stream) {
        return RandomSource.XO_SHI_RO_256_PP.create(new long[] {seed, stream, seed * 31 + stream, 0x6a756e69L});
    }
}
