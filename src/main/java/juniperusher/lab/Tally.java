package juniperusher.lab;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import juniperusher.Protocol.MessageClass;
import org.HdrHistogram.Histogram;

/** Counts what a run shows, for either engine; not safe for threads. Times are s from the run's start. */
public final class Tally {
    /** Percentiles that are kept of latencies. */
    public static final List<Double> AT = List.of(0.0, 25.0, 50.0, 75.0, 90.0, 95.0, 99.0, 99.9, 100.0);

    /** The group of latencies of the class in order, beside those by destination. */
    public static final String SEQUENCED = "sequenced";

    private static final double MICRO = 1e6;
    private static final long LONGEST = 3_600_000_000L; // µs
    private static final int RECOVERED = 3; // s over which a recovery is seen
    private static final double WHOLE = 0.95; // share of the worth that counts as recovered

    private final Plan plan;
    private final List<MessageClass> classes;
    private final Map<String, double[]> series = new TreeMap<>();
    private final Map<String, Histogram> latency = new LinkedHashMap<>();
    private final double[] asked = new double[2]; // sound, struck
    private final double[] won = new double[2];
    private final TenantTally tenants;
    private int turnedAway;

    /** A tally of a plan's run with messages of these classes. */
    public Tally(Plan plan, List<MessageClass> classes) {
        this.plan = plan;
        this.classes = List.copyOf(classes);
        tenants = new TenantTally(plan.tenants());
        for (String group : List.of("sound", "struck")) {
            latency.put(group, new Histogram(LONGEST, 3));
        }
        if (plan.sequenced().share() > 0) {
            latency.put(SEQUENCED, new Histogram(LONGEST, 3));
        }
    }

    private void add(String name, double at, double what) {
        double[] values = series.computeIfAbsent(name, key -> new double[(int) Math.ceil(plan.seconds())]);
        if (at >= 0 && at < values.length) {
            values[(int) at] += what;
        }
    }

    private int group(int destination) {
        return plan.destinations().get(destination).struck() ? 1 : 0;
    }

    /** A client asks for a message's delivery, for the first time. */
    public void asked(Wish wish) {
        double worth = classes.get(wish.messageClass).worth();
        int group = group(wish.destination);
        add(group == 1 ? "worth asked, struck" : "worth asked, sound", wish.from, worth);
        if (wish.from >= plan.measuredFrom()) {
            asked[group] += worth;
            tenants.asked(wish.tenant, worth);
        }
    }

    /** A message is delivered. */
    public void delivered(Wish wish, double at) {
        MessageClass kind = classes.get(wish.messageClass);
        double took = Math.max(0, at - wish.from);
        double share =
                took <= kind.aim() ? 1 : Math.max(kind.lateShare(), Math.pow(0.5, (took - kind.aim()) / kind.aim()));
        int group = group(wish.destination);
        add(group == 1 ? "worth won, struck" : "worth won, sound", wish.from, share * kind.worth());
        add("delivered", at, 1);
        if (wish.from < plan.measuredFrom()) {
            return;
        }
        won[group] += share * kind.worth();
        tenants.won(wish.tenant, share * kind.worth());
        long micros = Math.min(LONGEST, Math.round(took * MICRO));
        latency.get(group == 1 ? "struck" : "sound").recordValue(micros);
        if (wish.messageClass == LabSettings.SEQUENCED) {
            latency.get(SEQUENCED).recordValue(micros);
        }
    }

    /** A call reaches a destination. */
    public void called(int destination, double at) {
        if (group(destination) == 1) {
            add("calls, struck", at, 1);
        }
    }

    /** A destination refuses a call, for want of capacity or since it is out. */
    public void refusedCall(int destination, double at) {
        if (group(destination) == 1) {
            add("refused, struck", at, 1);
        }
    }

    /** A relay turns a message away, or hands it back. */
    public void turnedAway(double at) {
        turnedAway++;
        add("turned away", at, 1);
    }

    /** What is seen of all relays in a second: a name and a value. */
    public void sampled(String name, double at, double value) {
        add(name, at, value);
    }

    /** The run is over. */
    public Run result(String variant, List<DestinationModel> models, RuleChecker rules, long hash) {
        Map<String, Double> figures = new LinkedHashMap<>();
        figures.put("worth", share(won[0] + won[1], asked[0] + asked[1]));
        figures.put("worth_struck", share(won[1], asked[1]));
        figures.put("worth_sound", share(won[0], asked[0]));
        figures.put("p50_sound", latency.get("sound").getValueAtPercentile(50) / MICRO);
        figures.put("p99_sound", latency.get("sound").getValueAtPercentile(99) / MICRO);
        figures.put("p99_struck", latency.get("struck").getValueAtPercentile(99) / MICRO);
        if (plan.sequenced().share() > 0) {
            figures.put("p50_sequenced", latency.get(SEQUENCED).getValueAtPercentile(50) / MICRO);
            figures.put("p99_sequenced", latency.get(SEQUENCED).getValueAtPercentile(99) / MICRO);
        }
        if (!plan.tenants().isEmpty()) {
            figures.put("worth_within_share", tenants.withinShare());
            figures.put("worth_beyond_share", tenants.beyondShare());
            figures.put("worth_weakest_tenant", tenants.weakest());
        }
        figures.put(
                "above",
                models.stream().mapToDouble(DestinationModel::above).max().orElse(0));
        figures.put(
                "over_budget",
                models.stream().mapToDouble(DestinationModel::overBudget).max().orElse(0));
        figures.put("refused_calls", (double)
                models.stream().mapToInt(DestinationModel::refused).sum());
        figures.put("fell", (double)
                models.stream().mapToInt(DestinationModel::fell).sum());
        figures.put("turned_away", (double) turnedAway);
        figures.put("recovered_after", recovered());
        figures.put("broken", (double) rules.count());
        Map<String, double[]> percentiles = new LinkedHashMap<>();
        latency.forEach((name, histogram) -> percentiles.put(
                name,
                AT.stream()
                        .mapToDouble(at -> histogram.getValueAtPercentile(at) / MICRO)
                        .toArray()));
        return new Run(variant, plan.seed(), figures, new TreeMap<>(series), percentiles, rules.broken(), hash);
    }

    private double recovered() {
        double back = plan.lastReturn();
        double[] all = series.get("worth asked, struck");
        double[] got = series.getOrDefault("worth won, struck", new double[0]);
        if (back == 0 || all == null || got.length == 0) {
            return 0;
        }
        for (int first = (int) back; first + RECOVERED <= all.length; first++) {
            double wanted = 0;
            double reached = 0;
            for (int i = first; i < first + RECOVERED; i++) {
                wanted += all[i];
                reached += got[i];
            }
            if (reached >= WHOLE * wanted) {
                return first - back;
            }
        }
        return all.length - back;
    }

    private static double share(double part, double whole) {
        return whole == 0 ? 1 : part / whole;
    }
}
