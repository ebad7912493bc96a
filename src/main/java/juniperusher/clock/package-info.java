/**
 * The relay's clock, which is unaffected by steps of the wall clock and continues over restarts of the process until
 * the machine reboots. It depends on no other package.
 */
package juniperusher.clock;
