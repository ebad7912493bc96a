package juniperusher.membership;

import java.net.InetSocketAddress;
import juniperusher.Protocol.Target;

/**
 * An endpoint in a {@link Snapshot}. Immutable.
 *
 * @param id         name of the endpoint at the sources; empty for a fixed endpoint that no source lists
 * @param target     number, destination and phase of the endpoint, as the decision module receives them
 * @param address    network address, or null if the subchannel of the endpoint has its own address
 * @param phaseSince time at which the endpoint entered its present phase, in seconds of the events' clock
 */
public record Endpoint(String id, Target target, InetSocketAddress address, double phaseSince) {}
