/**
 * Retry storms: what a destination's return from an outage, or a wave of messages handed in again, asks of
 * this
 * relay beside the decisions on single messages. Owns the state of each destination (calm, storm,
 * recovering), the
 * rate that all relays together may send it then and this relay's share of that, the bound on what is held
 * for
 * it, the time at which refused clients are to return, and the notes between relays about all of these. The
 * door
 * is {@link juniperusher.storm.Storms}: it sees the module's events before and its actions after each round,
 * and
 * tells the module by {@code Protocol.Advised}.
 *
 * <p>Must not know: sockets, threads, clocks, files, the module's insides. It decides on no message.
 */
package juniperusher.storm;
