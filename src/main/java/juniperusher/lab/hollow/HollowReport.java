package juniperusher.lab.hollow;

import com.eclipsesource.json.JsonObject;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import juniperusher.lab.hollow.HollowResults.Figure;
import org.HdrHistogram.Histogram;

/** Collects what processes report and makes figures of it. */
final class HollowReport {
    private static final double MEGABYTE = 1 << 20;
    private static final double KILOBYTE = 1 << 10;
    private static final double MEDIAN = 50;
    private static final double P99 = 99;

    private final double seconds;
    private final long beganMicros;
    private final long restarts;
    private final ChangeFeed changes;
    private final Histogram inForce = ArrivalLog.histogram();
    private final Histogram catchUp = ArrivalLog.histogram();
    private int relays;
    private long bytes;
    private long mostBytes;
    private long messages;
    private long refused;
    private double processorSeconds;
    private double mostCoreShare;
    private double mostMemory; // MB for each relay
    private double mostHeap; // MB for each relay
    private double mostControlCore;
    private double mostControlMemory;
    private double mostControlOut; // bytes a second
    private double mostControlMessages;
    private double leaderCore;
    private double leaderOut;
    private double busy;
    private double slow;
    private double snapshots;
    private Slowest slowestInForce = new Slowest("", 0, 0, 0);
    private Slowest slowestCatchUp = new Slowest("", 0, 0, 0);

    /**
     * The relay that took longest.
     *
     * @param at seconds from the beginning at which it was done
     */
    private record Slowest(String relay, long micros, long epoch, double at) {
        String described() {
            return relay.isEmpty() ? "none" : String.format(Locale.ROOT, "%s at %.1f s, epoch %d", relay, at, epoch);
        }
    }

    /** The run as a whole. */
    record About(
            int processes, int ranges, int mapBytes, double firstMapSeconds, double settled, double hostMemoryMb) {}

    HollowReport(double seconds, long beganMicros, long restarts, ChangeFeed changes) {
        this.seconds = seconds;
        this.beganMicros = beganMicros;
        this.restarts = restarts;
        this.changes = changes;
    }

    void addHost(List<String> names, JsonObject answer, ProcessUsage from, ProcessUsage to) {
        int members = names.size();
        relays += members;
        slowestInForce =
                slower(slowestInForce, names, answer.get("slowest_in_force").asObject());
        slowestCatchUp =
                slower(slowestCatchUp, names, answer.get("slowest_catch_up").asObject());
        inForce.add(HollowHost.decoded(answer.getString("in_force", "")));
        catchUp.add(HollowHost.decoded(answer.getString("catch_up", "")));
        bytes += answer.getLong("bytes", 0);
        mostBytes = Math.max(mostBytes, answer.getLong("most_bytes", 0));
        messages += answer.getLong("messages", 0);
        refused += answer.getLong("refused", 0);
        double used = to.processorSeconds() - from.processorSeconds();
        processorSeconds += used;
        mostCoreShare = Math.max(mostCoreShare, used / seconds / members);
        mostMemory = Math.max(mostMemory, to.residentKb() * KILOBYTE / MEGABYTE / members);
        mostHeap = Math.max(mostHeap, answer.getLong("heap", 0) / MEGABYTE / members);
    }

    private Slowest slower(Slowest known, List<String> names, JsonObject told) {
        int relay = told.getInt("relay", -1);
        if (relay < 0 || told.getLong("micros", 0) <= known.micros()) {
            return known;
        }
        return new Slowest(
                names.get(relay),
                told.getLong("micros", 0),
                told.getLong("epoch", 0),
                HollowHost.seconds(told.getLong("at", 0) - beganMicros));
    }

    void addControl(
            boolean leader,
            ProcessUsage from,
            ProcessUsage to,
            Map<String, Double> metricsBefore,
            Map<String, Double> metrics) {
        double core = (to.processorSeconds() - from.processorSeconds()) / seconds;
        double out = grown("control_bytes_out", metricsBefore, metrics) / seconds;
        if (leader) {
            leaderCore = core;
            leaderOut = out;
        }
        mostControlCore = Math.max(mostControlCore, core);
        mostControlMemory = Math.max(mostControlMemory, to.residentKb() * KILOBYTE / MEGABYTE);
        mostControlOut = Math.max(mostControlOut, out);
        mostControlMessages = Math.max(
                mostControlMessages,
                (grown("control_messages_out", metricsBefore, metrics)
                                + grown("control_messages_in", metricsBefore, metrics))
                        / seconds);
        busy += metrics.getOrDefault("control_busy", 0.0);
        slow += metrics.getOrDefault("control_slow", 0.0);
        snapshots += metrics.getOrDefault("control_snapshots", 0.0);
    }

    private static double grown(String name, Map<String, Double> before, Map<String, Double> after) {
        return after.getOrDefault(name, 0.0) - before.getOrDefault(name, 0.0);
    }

    HollowResults results(HollowExperiment experiment, About about) {
        HollowExperiment.Budgets budgets = experiment.budgets();
        List<Figure> figures = new ArrayList<>();
        figures.add(new Figure("change in force, p50", at(inForce, MEDIAN), "s", null));
        figures.add(new Figure("change in force, p99", at(inForce, P99), "s", null));
        figures.add(new Figure("change in force at the last relay, p100", highest(inForce), "s", budgets.inForce()));
        figures.add(new Figure("changes in force, counted", inForce.getTotalCount(), "", null));
        figures.add(new Figure("caught up after a return, p50", at(catchUp, MEDIAN), "s", null));
        figures.add(new Figure("caught up after a return, p100", highest(catchUp), "s", budgets.catchUp()));
        figures.add(new Figure("returns, counted", catchUp.getTotalCount(), "", null));
        figures.add(new Figure("all at the last epoch after the end", about.settled(), "s", experiment.settle()));
        figures.add(new Figure("relay: bytes in and out, mean", bytes / seconds / relays, "B/s", null));
        figures.add(new Figure(
                "relay: bytes in and out, the one with most", mostBytes / seconds, "B/s", budgets.bytesPerSecond()));
        figures.add(new Figure("relay: messages in and out, mean", messages / seconds / relays, "1/s", null));
        figures.add(new Figure("relay: share of a core, mean", processorSeconds / seconds / relays, "", null));
        figures.add(new Figure("relay: share of a core, worst process", mostCoreShare, "", budgets.coreShare()));
        figures.add(new Figure("relay: memory, worst process", mostMemory, "MB", budgets.memoryMb()));
        figures.add(new Figure("relay: heap in use, worst process", mostHeap, "MB", null));
        figures.add(new Figure("relay: maps refused", refused, "", 0.0));
        figures.add(new Figure("control: share of a core, most", mostControlCore, "", null));
        figures.add(new Figure("control: memory, most", mostControlMemory, "MB", null));
        figures.add(new Figure("control: bytes out, most", mostControlOut, "B/s", null));
        figures.add(new Figure("control: messages in and out, most", mostControlMessages, "1/s", null));
        figures.add(new Figure("leader: share of a core", leaderCore, "", null));
        figures.add(new Figure("leader: bytes out", leaderOut, "B/s", null));
        figures.add(new Figure("subscribers told to come again", busy, "", null));
        figures.add(new Figure("slow subscribers closed", slow, "", null));
        figures.add(new Figure("whole maps begun", snapshots, "", null));
        figures.add(new Figure("epochs", changes.lastEpoch(), "", null));
        figures.add(new Figure("changes refused", changes.refused(), "", null));
        figures.add(new Figure("changes not answered, the leader ended", changes.lost(), "", null));
        figures.add(new Figure("restarts of single relays", restarts, "", null));
        figures.add(new Figure("first map at all relays after", about.firstMapSeconds(), "s", null));
        figures.add(new Figure("memory of all processes with relays", about.hostMemoryMb(), "MB", null));
        return new HollowResults(experiment.title(), described(experiment, about), figures);
    }

    private String described(HollowExperiment experiment, About about) {
        return String.format(
                Locale.ROOT,
                "seed %d: %d relays in %d regions of %d zones, %d control processes, %d processes in all; "
                        + "%d destinations in %d ranges, a map of %d bytes; %.1f s%n"
                        + "slowest change: %s; slowest return: %s",
                experiment.seed(),
                relays,
                experiment.regions(),
                experiment.zones(),
                1 + experiment.followers(),
                about.processes(),
                experiment.destinations(),
                about.ranges(),
                about.mapBytes(),
                seconds,
                slowestInForce.described(),
                slowestCatchUp.described());
    }

    private static double at(Histogram histogram, double percentile) {
        return HollowHost.seconds(histogram.getValueAtPercentile(percentile));
    }

    private static double highest(Histogram histogram) {
        return histogram.getTotalCount() == 0 ? 0 : HollowHost.seconds(histogram.getMaxValue());
    }
}
