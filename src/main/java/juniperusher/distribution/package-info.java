/**
 * How a versioned state gets from the process that leads to every relay: messages and their binary frames, the
 * log of recent changes, the publisher's and the subscriber's side as state machines. Doors:
 * {@link juniperusher.distribution.Publisher}, {@link juniperusher.distribution.Subscriber} and
 * {@link juniperusher.distribution.ControlMessageCodec}. Times are told (seconds of a monotonic clock), randomness
 * comes from a seed. It must not know sockets, files, threads or clocks, nor what the state is about.
 */
package juniperusher.distribution;
