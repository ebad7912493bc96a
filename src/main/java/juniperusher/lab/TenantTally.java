package juniperusher.lab;

import java.util.List;
import java.util.stream.IntStream;
import juniperusher.lab.Plan.Tenant;

/** The worth that each tenant requested and earned. Without tenants, or without requests, all figures are 1. */
final class TenantTally {
    private final List<Tenant> tenants;
    private final double[] requestedWorth;
    private final double[] earnedWorth;

    TenantTally(List<Tenant> tenants) {
        this.tenants = List.copyOf(tenants);
        requestedWorth = new double[tenants.size()];
        earnedWorth = new double[tenants.size()];
    }

    /** Adds the worth of a message that a tenant requested. */
    void addRequested(int tenant, double worth) {
        if (!tenants.isEmpty()) {
            requestedWorth[tenant] += worth;
        }
    }

    /** Adds the worth that a delivered message of a tenant earned. */
    void addEarned(int tenant, double worth) {
        if (!tenants.isEmpty()) {
            earnedWorth[tenant] += worth;
        }
    }

    private boolean asksWithinShare(int tenant) {
        return tenants.get(tenant).usage() <= 1;
    }

    private IntStream tenantIndexes() {
        return IntStream.range(0, tenants.size());
    }

    /** Earned over requested worth of the tenants that request no more than their share. */
    double withinShare() {
        return earnedShare(tenantIndexes().filter(this::asksWithinShare).toArray());
    }

    /** Earned over requested worth of the tenants that request more than their share. */
    double beyondShare() {
        return earnedShare(
                tenantIndexes().filter(tenant -> !asksWithinShare(tenant)).toArray());
    }

    /** The lowest fraction that any tenant earned of the worth it requested within its share. */
    double lowestEarnedShare() {
        return tenantIndexes().mapToDouble(this::earnedWithinShare).min().orElse(1);
    }

    private double earnedWithinShare(int tenant) {
        double entitled =
                requestedWorth[tenant] / Math.max(1, tenants.get(tenant).usage());
        return entitled == 0 ? 1 : Math.min(1, earnedWorth[tenant] / entitled);
    }

    private double earnedShare(int... tenantIndexes) {
        double requested = IntStream.of(tenantIndexes)
                .mapToDouble(tenant -> requestedWorth[tenant])
                .sum();
        return requested == 0
                ? 1
                : IntStream.of(tenantIndexes)
                                .mapToDouble(tenant -> earnedWorth[tenant])
                                .sum()
                        / requested;
    }
}
