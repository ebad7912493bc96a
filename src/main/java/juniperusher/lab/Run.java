package juniperusher.lab;

import java.util.List;
import java.util.Map;

/**
 * What came of one run.
 *
 * @param variant     its name
 * @param figures     by name: {@code worth} (delivered over asked for, from the measured time on; {@code _struck} and
 *                    {@code _sound} of destinations with and without trouble), {@code p50_sound}, {@code p99_sound},
 *                    {@code p99_struck} (s from asking to delivery), {@code p50_sequenced}, {@code p99_sequenced} (the
 *                    same, of the class in order), {@code worth_within_share}, {@code worth_beyond_share} (of tenants
 *                    that ask for no more than their share, or for more), {@code worth_weakest_tenant} (the least that
 *                    a tenant won of what it asked for within its share), {@code above} (calls beyond what a
 *                    destination takes, in the worst 1.5 s of a return), {@code over_budget} (the same, beyond what
 *                    topples a cold one and chance), {@code refused_calls} (by destinations above their limit),
 *                    {@code fell}, {@code turned_away} (messages refused by relays or handed back),
 *                    {@code recovered_after} (s from the last return until 95% of a struck destination's worth is
 *                    delivered again, over 3 s), {@code broken}
 * @param series      by name, one value a second
 * @param percentiles s, latency by percentile for {@code sound}, {@code struck} and {@code sequenced}, in the order of
 *                    {@link Tally#AT}
 * @param broken      rules broken, the first of them in one line each
 * @param hash        of the history; the same for the same plan and seed in virtual time, 0 on sockets
 */
public record Run(
        String variant,
        long seed,
        Map<String, Double> figures,
        Map<String, double[]> series,
        Map<String, double[]> percentiles,
        List<String> broken,
        long hash) {}
