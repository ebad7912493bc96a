/**
 * The relay's clock: steady through steps of the wall clock, and over the processes of one start of the machine. It
 * knows nothing of the other packages.
 */
package juniperusher.clock;
