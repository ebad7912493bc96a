/**
 * Real relay processes on loopback under faults: endpoints that hang, answer late, cut or reset; a folder that
 * cannot be written; clocks that step; system calls that fail; signals. A ledger checks the rules over all that
 * clients, endpoints and the platform saw.
 */
package juniperusher.faults;
