package juniperusher.membership;

import java.net.InetSocketAddress;
import juniperusher.Protocol.Phase;

/**
 * One source's statement about one endpoint. Immutable.
 *
 * @param id          name of the endpoint, the same at every source
 * @param address     network address as seen from this relay, or null if the source gives none
 * @param destination number of the destination that the endpoint serves
 * @param kind        index of the endpoint's kind in the settings
 * @param zone        index of the endpoint's zone in the settings
 * @param weight      weight in the unit that the settings define, usually a rate in calls per second
 * @param phase       phase that the source requests for the endpoint
 */
public record EndpointEntry(
        String id, InetSocketAddress address, int destination, int kind, int zone, double weight, Phase phase) {
    /** This entry with the phase {@code GONE}, for an endpoint that the source no longer lists. */
    EndpointEntry asGone() {
        return new EndpointEntry(id, address, destination, kind, zone, weight, Phase.GONE);
    }

    /** This entry, with the given address if it has none of its own. */
    EndpointEntry withDefaultAddress(InetSocketAddress defaultAddress) {
        return address != null || defaultAddress == null
                ? this
                : new EndpointEntry(id, defaultAddress, destination, kind, zone, weight, phase);
    }
}
