/**
 * Tests of real relay processes on loopback under faults: endpoints that hang, answer late, cut answers or reset
 * connections; a state folder that cannot be written; clocks that step; system calls that fail; signals. A ledger
 * checks the delivery rules against what clients, endpoints and the platform observed.
 */
package juniperusher.faults;
