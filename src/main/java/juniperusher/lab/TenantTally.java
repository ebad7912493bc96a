package juniperusher.lab;

import java.util.List;
import java.util.stream.IntStream;
import juniperusher.lab.Plan.Tenant;

/** The worth that each tenant asked for and won. Without tenants all figures are those of nothing asked: 1. */
final class TenantTally {
    private final List<Tenant> tenants;
    private final double[] asked;
    private final double[] won;

    TenantTally(List<Tenant> tenants) {
        this.tenants = List.copyOf(tenants);
        asked = new double[tenants.size()];
        won = new double[tenants.size()];
    }

    /** A tenant asks for a message of that worth. */
    void asked(int tenant, double worth) {
        if (!tenants.isEmpty()) {
            asked[tenant] += worth;
        }
    }

    /** A tenant's message has won so much. */
    void won(int tenant, double worth) {
        if (!tenants.isEmpty()) {
            won[tenant] += worth;
        }
    }

    private boolean within(int tenant) {
        return tenants.get(tenant).usage() <= 1;
    }

    private IntStream all() {
        return IntStream.range(0, tenants.size());
    }

    /** Worth won over asked for, of the tenants that ask for no more than their share. */
    double withinShare() {
        return share(all().filter(this::within).toArray());
    }

    /** Worth won over asked for, of the tenants that ask for more. */
    double beyondShare() {
        return share(all().filter(tenant -> !within(tenant)).toArray());
    }

    /** The least that a tenant won of what it asked for within its share. */
    double weakest() {
        return all().mapToDouble(this::wonWithin).min().orElse(1);
    }

    private double wonWithin(int tenant) {
        double entitled = asked[tenant] / Math.max(1, tenants.get(tenant).usage());
        return entitled == 0 ? 1 : Math.min(1, won[tenant] / entitled);
    }

    private double share(int... some) {
        double all = IntStream.of(some).mapToDouble(tenant -> asked[tenant]).sum();
        return all == 0
                ? 1
                : IntStream.of(some).mapToDouble(tenant -> won[tenant]).sum() / all;
    }
}
