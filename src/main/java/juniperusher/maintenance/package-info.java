/**
 * Endpoints that the operators hold out of service: which ones, and what the module is told of them in place
 * of discovery's word. The door is {@link juniperusher.maintenance.Maintenance}, a value that never changes;
 * {@link juniperusher.maintenance.MaintenanceFile} keeps it in the folder that lasts, so that a restart and a
 * second process at an upgrade find it.
 *
 * <p>Must not know: sockets, HTTP, the module's decisions, the journal of RPCs, threads.
 */
package juniperusher.maintenance;
