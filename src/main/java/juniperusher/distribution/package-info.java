/**
 * Distribution of a versioned state from a leading control process to all relays: messages and their binary frames, a
 * log of recent changes, and the state machines of publisher and subscriber. The entry points are
 * {@link juniperusher.distribution.Publisher}, {@link juniperusher.distribution.Subscriber},
 * {@link juniperusher.distribution.ControlProcess} and {@link juniperusher.distribution.ControlMessageCodec}. Callers
 * pass the time (seconds of a monotonic clock) and a seed for random numbers. The package must not depend on sockets,
 * files, threads or clocks, nor on the meaning of the state.
 */
package juniperusher.distribution;
