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
 * One run of an experiment: what is played, free of the engine that plays it. Times are in seconds from its
 * start,
 * rates a second. The keys and bounds are those of {@code experiment.schema.json}.
 *
 * @param seconds      for which clients hand in
 * @param measuredFrom worth counts for what is asked for from here on
 */
public record Plan(
        long seed,
        double seconds,
        double measuredFrom,
        Relays relays,
        Notes notes,
        Clients clients,
        Sequenced sequenced,
        List<Tenant> tenants,
        List<Destination> destinations,
        List<Crash> crashes) {
    private static final int EACH = 4; // kinds of random numbers of a destination, after the common ones:
    private static final int NOTES = 0;
    private static final int RELAYS = 1;
    private static final int KEYS = 2;
    private static final int ACKNOWLEDGEMENTS = 3;
    private static final int TRAITS = -1; // and below, one for each destination
    private static final double SHARES_ROUNDING = 0.01;

    /**
     * The relays.
     *
     * @param storm          whether the storm package is on
     * @param held           s of its share of the whole rate that a relay may hold
     * @param calls          calls out at once, over its share of what usual answer times need
     * @param keys           whether relays are told of keys; without, what they do breaks the order
     * @param tenants        whether relays are told of tenants and their shares
     * @param overShareWorth part of its worth that a message keeps beyond its tenant's share
     */
    public record Relays(
            int count,
            boolean storm,
            double held,
            double calls,
            boolean keys,
            boolean tenants,
            double overShareWorth) {}

    /** The network of the notes: shares of notes, and seconds. */
    public record Notes(double lost, double doubled, double late, double lateBy) {}

    /** The clients' habits. */
    public record Clients(double load, double orders, int returns, double heed) {}

    /**
     * The class in order.
     *
     * @param share             of all messages, before what is drawn of the other classes
     * @param unsafe            whether what may have run may never be repeated
     * @param keyed             share of its messages that carry their key
     * @param gap               mean s between two messages of a key
     * @param life              mean s for which a key is used
     * @param acknowledgedAfter mean s until the notice of a message's end is acknowledged; 0 for at once
     */
    public record Sequenced(
            double share, boolean unsafe, double keyed, double gap, double life, double acknowledgedAfter) {}

    /**
     * A tenant.
     *
     * @param share of the load that is its own; all shares add up to 1
     * @param usage how much of its share it asks for
     */
    public record Tenant(String name, double share, double usage) {
        /** What it asks for, over the load. */
        public double traffic() {
            return share * usage;
        }
    }

    /**
     * A destination.
     *
     * @param queue    calls that may wait where the limit is on calls under way, -1 where it is a rate
     * @param load     messages asked for, over its rate
     * @param toldWait s that it tells to wait where it refuses, 0 for none
     */
    public record Destination(
            String name,
            double rate,
            int queue,
            int connections,
            double latency,
            Spread spread,
            double load,
            double toldWait,
            List<Trouble> troubles) {
        /** Whether it has trouble at any time. */
        public boolean struck() {
            return !troubles.isEmpty();
        }
    }

    /** How answer times are spread round their mean. */
    public enum Spread {
        EXPONENTIAL,
        LOGNORMAL,
        CONSTANT
    }

    /** How a destination is out; {@code DOWN}: connections are refused. */
    public enum Kind {
        SHUT,
        FAST_ERRORS,
        HANG,
        SLOW,
        DOWN
    }

    /** A trouble and the return from it. */
    public record Trouble(Kind kind, double from, double until, double cold, double warm, double tip, double slower) {}

    /** A relay is killed and comes back with its journal. */
    public record Crash(int relay, double at, double down) {}

    public Plan {
        tenants = List.copyOf(tenants);
        destinations = List.copyOf(destinations);
        crashes = List.copyOf(crashes);
        double shares = tenants.stream().mapToDouble(Tenant::share).sum();
        if (!tenants.isEmpty() && Math.abs(shares - 1) > SHARES_ROUNDING) {
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
                    throw new IllegalArgumentException("destinations: the troubles of '" + destination.name()
                            + "' have to follow each other; expected from " + last
                            + " on and until after from");
                }
                last = trouble.until();
            }
        }
    }

    /** Reads a checked file with its defaults filled in. */
    public static Plan of(JsonObject file, long seed) {
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
                new Sequenced(
                        number(sequenced, "share"),
                        sequenced.getString("effect", "").equals("unsafe"),
                        number(sequenced, "keyed"),
                        number(sequenced, "gap"),
                        number(sequenced, "life"),
                        number(sequenced, "acknowledged_after")),
                all(
                        file,
                        "tenants",
                        one -> new Tenant(one.getString("name", ""), number(one, "share"), number(one, "usage"))),
                all(file, "destinations", one -> destination(one, habits.load())),
                all(file, "crashes", one -> new Crash(one.getInt("relay", 0), number(one, "at"), number(one, "down"))));
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
                all(
                        one,
                        "troubles",
                        trouble -> new Trouble(
                                Kind.valueOf(trouble.getString("kind", "").toUpperCase(Locale.ROOT)),
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

    private static <T> List<T> all(JsonObject table, String key, Function<JsonObject, T> read) {
        List<T> out = new ArrayList<>();
        for (JsonValue value : table.get(key).asArray()) {
            out.add(read.apply(value.asObject()));
        }
        return out;
    }

    /** The end of the last trouble, or 0 without any: where a recovery is counted from. */
    public double lastReturn() {
        return destinations.stream()
                .flatMap(one -> one.troubles().stream())
                .mapToDouble(Trouble::until)
                .max()
                .orElse(0);
    }

    /** Whether its runs have a figure: those of the class in order and of tenants are of plans that have them. */
    boolean hasFigure(String figure) {
        return switch (figure) {
            case "p50_sequenced", "p99_sequenced" -> sequenced.share() > 0;
            case "worth_within_share", "worth_beyond_share", "worth_weakest_tenant" -> !tenants.isEmpty();
            default -> true;
        };
    }

    /** What all tenants ask for, over the load: 1 without tenants. */
    public double usage() {
        return tenants.isEmpty()
                ? 1
                : tenants.stream().mapToDouble(Tenant::traffic).sum();
    }

    /** Messages a second that are asked for of a destination. */
    public double asked(int destination) {
        return destinations.get(destination).rate()
                * destinations.get(destination).load()
                * usage();
    }

    /** Messages a second over all relays that are within a tenant's share. */
    public double quota(Tenant tenant) {
        return tenant.share()
                * destinations.stream()
                        .mapToDouble(one -> one.rate() * one.load())
                        .sum();
    }

    /** The model of a destination, by its place; the same in both engines. */
    public DestinationModel model(int destination) {
        return new DestinationModel(destinations.get(destination), random((destination + 1) * EACH));
    }

    /** The model of a destination's clients. */
    public ClientModel clients(int destination) {
        return new ClientModel(clients, random((destination + 1) * EACH + 1), random((destination + 1) * EACH + 2));
    }

    /** The model of the network between relays. */
    public NoteModel noteModel() {
        return new NoteModel(notes, random(NOTES));
    }

    /** The model of the keys that clients use. */
    KeyModel keyModel() {
        double all = 0;
        for (int i = 0; i < destinations.size(); i++) {
            all += asked(i);
        }
        return new KeyModel(all * sequenced.share(), sequenced.gap(), sequenced.life(), relays.count(), random(KEYS));
    }

    /** Random numbers for the times until notices are acknowledged. */
    UniformRandomProvider acknowledgements() {
        return random(ACKNOWLEDGEMENTS);
    }

    /** Random numbers for the tenants, classes in order and keys of a destination's messages. */
    UniformRandomProvider traits(int destination) {
        return random(TRAITS - destination);
    }

    /** Random numbers for the ways to a destination; to one beyond the last: of probes. */
    UniformRandomProvider ways(int destination) {
        return random((destination + 1) * EACH + 3);
    }

    /** Random numbers for the seeds of relays. */
    UniformRandomProvider seeds() {
        return random(RELAYS);
    }

    private UniformRandomProvider random(int part) {
        return RandomSource.XO_SHI_RO_256_PP.create(new long[] {seed, part, seed * 31 + part, 0x6a756e69L});
    }
}
