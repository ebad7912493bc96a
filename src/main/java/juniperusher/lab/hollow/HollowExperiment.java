package juniperusher.lab.hollow;

import com.eclipsesource.json.JsonObject;
import com.eclipsesource.json.JsonValue;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/**
 * What a hollow fleet is and what happens to it. The meaning of each value is in {@code hollow.schema.json}.
 *
 * @param restartSeconds from a relay's end to its start
 * @param replaced share of restarts after which the relay has no saved map
 */
public record HollowExperiment(
        String title,
        long seed,
        double seconds,
        double settle,
        int relays,
        int regions,
        int zones,
        int destinations,
        int rangesPerRelay,
        int followers,
        int relaysPerProcess,
        int hostHeapMb,
        int controlHeapMb,
        double changesPerSecond,
        double restartsPerSecond,
        double restartSeconds,
        double replaced,
        Budgets budgets,
        List<Fault> faults) {
    /** The schema beside this class. */
    public static final String SCHEMA = "hollow.schema.json";

    /** Megabytes of a Java process beyond its heap, as an upper estimate: code, metaspace, stacks, buffers. */
    private static final int BEYOND_HEAP_MB = 90;

    private static final int MAX_PROCESSES = 200;

    /** What has to hold; see the schema. */
    public record Budgets(double inForce, double catchUp, double bytesPerSecond, double memoryMb, double coreShare) {}

    /** What goes wrong. */
    public enum Kind {
        ZONE_LOST,
        REGION_CUT,
        CONTROL_KILLED,
        SLOW_READERS,
        BURST
    }

    /**
     * Something that goes wrong.
     *
     * @param seconds for which it lasts
     */
    public record Fault(Kind kind, double at, double seconds, int region, int zone, int control, int count) {}

    /**
     * From a file that its schema has checked and filled with defaults.
     *
     * @throws IllegalArgumentException in one line, where its values do not go together
     */
    public static HollowExperiment fromJson(JsonObject file) {
        JsonObject budgets = file.get("budgets").asObject();
        List<Fault> faults = new ArrayList<>();
        for (JsonValue fault : file.get("faults").asArray()) {
            faults.add(fault(fault.asObject()));
        }
        HollowExperiment experiment = new HollowExperiment(
                file.getString("title", ""),
                file.get("seed").asLong(),
                file.get("seconds").asDouble(),
                file.get("settle").asDouble(),
                file.get("relays").asInt(),
                file.get("regions").asInt(),
                file.get("zones").asInt(),
                file.get("destinations").asInt(),
                file.get("ranges_per_relay").asInt(),
                file.get("followers").asInt(),
                file.get("relays_per_process").asInt(),
                file.get("host_heap_mb").asInt(),
                file.get("control_heap_mb").asInt(),
                file.get("changes_per_second").asDouble(),
                file.get("restarts_per_second").asDouble(),
                file.get("restart_seconds").asDouble(),
                file.get("replaced").asDouble(),
                new Budgets(
                        budgets.get("in_force").asDouble(),
                        budgets.get("catch_up").asDouble(),
                        budgets.get("bytes_per_second").asDouble(),
                        budgets.get("memory_mb").asDouble(),
                        budgets.get("core_share").asDouble()),
                List.copyOf(faults));
        experiment.check();
        return experiment;
    }

    private static Fault fault(JsonObject fault) {
        return new Fault(
                Kind.valueOf(fault.getString("kind", "").toUpperCase(Locale.ROOT)),
                fault.get("at").asDouble(),
                fault.get("for").asDouble(),
                fault.get("region").asInt(),
                fault.get("zone").asInt(),
                fault.get("control").asInt(),
                fault.get("count").asInt());
    }

    private void check() {
        if (relays < 2 * regions) {
            throw new IllegalArgumentException(
                    "relays = " + relays + ": expected at least two for each of " + regions + " regions");
        }
        if (destinations < (long) relays * rangesPerRelay) {
            throw new IllegalArgumentException("destinations = " + destinations + ": expected one for each range, "
                    + (long) relays * rangesPerRelay);
        }
        if (processes() > MAX_PROCESSES) {
            throw new IllegalArgumentException(processes() + " processes, expected at most " + MAX_PROCESSES);
        }
        for (Fault fault : faults) {
            if (fault.region() >= regions || fault.zone() >= zones || fault.control() > followers) {
                throw new IllegalArgumentException("faults: '" + fault.kind() + "' at " + fault.at()
                        + " names a region, zone or control process that there is not");
            }
        }
    }

    /** How many processes it starts. */
    public int processes() {
        int perRegion = (relays + regions - 1) / regions;
        return 1 + followers + regions * ((perRegion + relaysPerProcess - 1) / relaysPerProcess);
    }

    /** The most memory that its processes may take, in MB. */
    public long memoryMb() {
        int hosts = processes() - 1 - followers;
        return (long) hosts * (hostHeapMb + BEYOND_HEAP_MB) + (1L + followers) * (controlHeapMb + BEYOND_HEAP_MB);
    }
}
