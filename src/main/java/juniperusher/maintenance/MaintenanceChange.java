package juniperusher.maintenance;

import java.util.List;

/**
 * One call of an operator: an endpoint enters or leaves maintenance.
 *
 * @param endpointId the endpoint's id at discovery
 * @param enters whether it enters maintenance
 */
public record MaintenanceChange(String endpointId, boolean enters) {
    /** Returns the maintenance after this change. */
    public Maintenance applyTo(Maintenance maintenance) {
        return enters ? maintenance.enter(endpointId) : maintenance.exit(endpointId);
    }

    /** Returns the maintenance after the changes, in their order. */
    static Maintenance applyAll(List<MaintenanceChange> changes, Maintenance maintenance) {
        Maintenance result = maintenance;
        for (MaintenanceChange change : changes) {
            result = change.applyTo(result);
        }
        return result;
    }
}
