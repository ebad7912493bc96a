package juniperusher.core;

import java.util.Map;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.concurrent.atomic.LongAdder;
import java.util.function.DoubleSupplier;

/** Counters and gauges of the relay in the Prometheus text exposition format. Safe for threads. */
public final class Counters {
    private final Map<String, LongAdder> values = new ConcurrentSkipListMap<>();
    private final Map<String, DoubleSupplier> gauges = new ConcurrentSkipListMap<>();

    /**
     * Increments the counter.
     *
     * @param labels alternating label names and values
     */
    public void add(String name, String... labels) {
        values.computeIfAbsent(series(name, labels), key -> new LongAdder()).increment();
    }

    /**
     * Registers a gauge, whose value is read each time the metrics are printed. A gauge of the same name is replaced.
     */
    public void gauge(String name, DoubleSupplier value) {
        gauges.put("juniperusher_" + name, value);
    }

    private static String series(String name, String... labels) {
        StringBuilder out = new StringBuilder("juniperusher_").append(name);
        for (int i = 0; i < labels.length; i += 2) {
            out.append(i == 0 ? '{' : ',')
                    .append(labels[i])
                    .append("=\"")
                    .append(labels[i + 1]
                            .replace("\\", "\\\\")
                            .replace("\"", "\\\"")
                            .replace("\n", "\\n"))
                    .append('"');
        }
        return out.append(labels.length > 0 ? "}" : "").toString();
    }

    /**
     * Returns the value of a counter, or 0 if it was never incremented.
     *
     * @param labels alternating label names and values
     */
    public long get(String name, String... labels) {
        LongAdder value = values.get(series(name, labels));
        return value == null ? 0 : value.sum();
    }

    /** Prints all counters and gauges in the Prometheus text exposition format. */
    public String text() {
        StringBuilder out = new StringBuilder();
        String family = "";
        for (Map.Entry<String, LongAdder> entry : values.entrySet()) {
            String name = entry.getKey().replaceFirst("\\{.*", "");
            if (!name.equals(family)) {
                out.append("# TYPE ").append(name).append(" counter\n");
                family = name;
            }
            out.append(entry.getKey())
                    .append(' ')
                    .append(entry.getValue().sum())
                    .append('\n');
        }
        gauges.forEach((name, value) -> out.append("# TYPE ")
                .append(name)
                .append(" gauge\n")
                .append(name)
                .append(' ')
                .append(value.getAsDouble())
                .append('\n'));
        return out.toString();
    }
}
