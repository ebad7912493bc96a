/**
 * Endpoints that operators have taken out of service, and the phase that the decision module sees for them instead of
 * discovery's. The entry point is {@link juniperusher.maintenance.Maintenance}, an immutable value.
 * {@link juniperusher.maintenance.SavedMaintenance} keeps it, change by change, in the
 * {@link juniperusher.maintenance.MaintenanceFile} of the persistent state folder for a restart and for the other
 * process during an upgrade.
 *
 * <p>Must not depend on: sockets, HTTP, the module's decisions, the journal of RPCs, threads.
 */
package juniperusher.maintenance;
