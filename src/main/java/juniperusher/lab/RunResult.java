package juniperusher.lab;

import java.util.List;
import java.util.Map;

/**
 * The result of one run. A worth among the figures is a ratio: the worth that delivered messages earned over that of
 * all requested ones, counting requests from {@link Plan#measuredFrom()} on.
 *
 * @param variant     the name of the variant
 * @param figures     by name: {@code worth}; {@code worth_struck} and {@code worth_sound} (of destinations with and
 *                    without trouble); {@code p50_sound}, {@code p99_sound}, {@code p99_struck} (s from the request to
 *                    the delivery); {@code p50_sequenced}, {@code p99_sequenced} (the same, of the sequenced class);
 *                    {@code worth_within_share}, {@code worth_beyond_share} (of tenants that request no more than their
 *                    share, or more); {@code worth_weakest_tenant} (the lowest fraction that a tenant earned of what it
 *                    requested within its share); {@code above} (most calls beyond the capacity of a destination in a
 *                    window of 1.5 s during its recovery); {@code over_budget} (the same, beyond its overload budget
 *                    and an allowance for random variation); {@code refused_calls} (by destinations above their
 *                    capacity); {@code fell} (collapses under overload); {@code turned_away} (messages that relays
 *                    refused or returned); {@code recovered_after} (s from the end of the last trouble until 95% of the
 *                    worth requested of destinations with trouble is earned again over 3 s); {@code broken} (rule
 *                    violations)
 * @param series      by name, one value a second
 * @param percentiles s, the latencies of {@code sound}, {@code struck} and {@code sequenced}, in the order of {@link
 *                    Tally#PERCENTILES}
 * @param violations  the first violations of delivery rules, each in one line
 * @param hash        of the history; equal for equal plans and seeds in virtual time, 0 on sockets
 */
public record RunResult(
        String variant,
        long seed,
        Map<String, Double> figures,
        Map<String, double[]> series,
        Map<String, double[]> percentiles,
        List<String> violations,
        long hash) {}
