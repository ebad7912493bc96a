/**
 * How much of the heap each kind of input may use. {@link juniperusher.memory.MemoryBudget} counts the bytes of one
 * kind, and {@link juniperusher.memory.HeapShares} divides the heap among the kinds. No I/O, no clock; depends on no
 * other package.
 */
package juniperusher.memory;
