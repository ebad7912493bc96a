package juniperusher.lab;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import juniperusher.Protocol.MessageClass;
import org.HdrHistogram.Histogram;

/**
 * Collects the figures, time series and latencies of a run, for either engine. Times are seconds from the start of the
 * run. Not thread-safe.
 */
public final class Tally {
    /** The percentiles of latencies that a result contains. */
    public static final List<Double> PERCENTILES = List.of(0.0, 25.0, 50.0, 75.0, 90.0, 95.0, 99.0, 99.9, 100.0);

    /** The name of the latency group for the sequenced class; the other groups are by destination. */
    public static final String SEQUENCED = "sequenced";

    private static final double MICROS_PER_SECOND = 1e6;
    private static final long MAX_LATENCY_MICROS = 3_600_000_000L;
    private static final int RECOVERY_WINDOW_SECONDS = 3;
    private static final double RECOVERED_SHARE = 0.95; // of the requested worth

    private final Plan plan;
    private final List<MessageClass> classes;
    private final Map<String, double[]> series = new TreeMap<>();
    private final Map<String, Histogram> latencies = new LinkedHashMap<>();
    private final double[] requestedWorth = new double[2]; // of destinations without (0) and with (1) trouble
    private final double[] earnedWorth = new double[2];
    private final TenantTally tenants;
    private int refusedMessages;

    /** Creates an empty tally for a run of a plan with these message classes. */
    public Tally(Plan plan, List<MessageClass> classes) {
        this.plan = plan;
        this.classes = List.copyOf(classes);
        tenants = new TenantTally(plan.tenants());
        for (String group : List.of("sound", "struck")) {
            latencies.put(group, new Histogram(MAX_LATENCY_MICROS, 3));
        }
        if (plan.sequenced().share() > 0) {
            latencies.put(SEQUENCED, new Histogram(MAX_LATENCY_MICROS, 3));
        }
    }

    private void addToSeries(String name, double at, double amount) {
        double[] values = series.computeIfAbsent(name, key -> new double[(int) Math.ceil(plan.seconds())]);
        if (at >= 0 && at < values.length) {
            values[(int) at] += amount;
        }
    }

    private int group(int destination) {
        return plan.destinations().get(destination).hasTrouble() ? 1 : 0;
    }

    /** Records that a client requests a message; not called again for resubmissions. */
    public void messageRequested(ClientMessage wish) {
        double worth = classes.get(wish.messageClass).worth();
        int group = group(wish.destination);
        addToSeries(group == 1 ? "worth asked, struck" : "worth asked, sound", wish.requestedAt, worth);
        if (wish.requestedAt >= plan.measuredFrom()) {
            requestedWorth[group] += worth;
            tenants.addRequested(wish.tenant, worth);
        }
    }

    /** Records the delivery of a message. Its worth decreases with the time since its request. */
    public void messageDelivered(ClientMessage wish, double at) {
        MessageClass kind = classes.get(wish.messageClass);
        double elapsed = Math.max(0, at - wish.requestedAt);
        double share = elapsed <= kind.aim()
                ? 1
                : Math.max(kind.lateShare(), Math.pow(0.5, (elapsed - kind.aim()) / kind.aim()));
        int group = group(wish.destination);
        addToSeries(group == 1 ? "worth won, struck" : "worth won, sound", wish.requestedAt, share * kind.worth());
        addToSeries("delivered", at, 1);
        if (wish.requestedAt < plan.measuredFrom()) {
            return;
        }
        earnedWorth[group] += share * kind.worth();
        tenants.addEarned(wish.tenant, share * kind.worth());
        long micros = Math.min(MAX_LATENCY_MICROS, Math.round(elapsed * MICROS_PER_SECOND));
        latencies.get(group == 1 ? "struck" : "sound").recordValue(micros);
        if (wish.messageClass == LabSettings.SEQUENCED_INDEX) {
            latencies.get(SEQUENCED).recordValue(micros);
        }
    }

    /** Records a call that reached a destination. */
    public void callReceived(int destination, double at) {
        if (group(destination) == 1) {
            addToSeries("calls, struck", at, 1);
        }
    }

    /** Records a call that a destination refused, because of its capacity or an outage. */
    public void callRefused(int destination, double at) {
        if (group(destination) == 1) {
            addToSeries("refused, struck", at, 1);
        }
    }

    /** Records a message that a relay refused, or returned because it never ran. */
    public void messageRefused(double at) {
        refusedMessages++;
        addToSeries("turned away", at, 1);
    }

    /** Adds a sampled value of all relays to the series of this name. */
    public void addSample(String name, double at, double value) {
        addToSeries(name, at, value);
    }

    /**
     * The result of the finished run.
     *
     * @param hash of the history, or 0 if the engine does not repeat exactly
     */
    public RunResult result(String variant, List<DestinationModel> models, RuleChecker rules, long hash) {
        Map<String, Double> figures = new LinkedHashMap<>();
        figures.put("worth", share(earnedWorth[0] + earnedWorth[1], requestedWorth[0] + requestedWorth[1]));
        figures.put("worth_struck", share(earnedWorth[1], requestedWorth[1]));
        figures.put("worth_sound", share(earnedWorth[0], requestedWorth[0]));
        figures.put("p50_sound", latencies.get("sound").getValueAtPercentile(50) / MICROS_PER_SECOND);
        figures.put("p99_sound", latencies.get("sound").getValueAtPercentile(99) / MICROS_PER_SECOND);
        figures.put("p99_struck", latencies.get("struck").getValueAtPercentile(99) / MICROS_PER_SECOND);
        if (plan.sequenced().share() > 0) {
            figures.put("p50_sequenced", latencies.get(SEQUENCED).getValueAtPercentile(50) / MICROS_PER_SECOND);
            figures.put("p99_sequenced", latencies.get(SEQUENCED).getValueAtPercentile(99) / MICROS_PER_SECOND);
        }
        if (!plan.tenants().isEmpty()) {
            figures.put("worth_within_share", tenants.withinShare());
            figures.put("worth_beyond_share", tenants.beyondShare());
            figures.put("worth_weakest_tenant", tenants.lowestEarnedShare());
        }
        figures.put(
                "above",
                models.stream().mapToDouble(DestinationModel::maxExcess).max().orElse(0));
        figures.put(
                "over_budget",
                models.stream()
                        .mapToDouble(DestinationModel::maxOverBudget)
                        .max()
                        .orElse(0));
        figures.put("refused_calls", (double)
                models.stream().mapToInt(DestinationModel::refusedCalls).sum());
        figures.put("fell", (double)
                models.stream().mapToInt(DestinationModel::collapses).sum());
        figures.put("turned_away", (double) refusedMessages);
        figures.put("recovered_after", recoverySeconds());
        figures.put("broken", (double) rules.violationCount());
        Map<String, double[]> percentiles = new LinkedHashMap<>();
        latencies.forEach((name, histogram) -> percentiles.put(
                name,
                PERCENTILES.stream()
                        .mapToDouble(at -> histogram.getValueAtPercentile(at) / MICROS_PER_SECOND)
                        .toArray()));
        return new RunResult(
                variant, plan.seed(), figures, new TreeMap<>(series), percentiles, rules.violations(), hash);
    }

    /** Time from the end of the last trouble to the first window in which enough of the worth was earned. */
    private double recoverySeconds() {
        double recoveryStart = plan.lastTroubleEnd();
        double[] requested = series.get("worth asked, struck");
        double[] earned = series.getOrDefault("worth won, struck", new double[0]);
        if (recoveryStart == 0 || requested == null || earned.length == 0) {
            return 0;
        }
        for (int first = (int) recoveryStart; first + RECOVERY_WINDOW_SECONDS <= requested.length; first++) {
            double requestedInWindow = 0;
            double earnedInWindow = 0;
            for (int i = first; i < first + RECOVERY_WINDOW_SECONDS; i++) {
                requestedInWindow += requested[i];
                earnedInWindow += earned[i];
            }
            if (earnedInWindow >= RECOVERED_SHARE * requestedInWindow) {
                return first - recoveryStart;
            }
        }
        return requested.length - recoveryStart;
    }

    private static double share(double part, double whole) {
        return whole == 0 ? 1 : part / whole;
    }
}
