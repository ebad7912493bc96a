package juniperusher.shard;

/**
 * A relay as the shard map knows it.
 *
 * @param name unique in the fleet
 * @param region the region whose destinations it may own
 * @param zone the failure domain within the region; zones of different regions may bear the same name
 * @param weight the share of its region's load that it is to bear, relative to the region's other relays; at least 1
 */
public record RelayInfo(String name, String region, String zone, int weight) {
    private static final int LONGEST_NAME = 255;

    /** Refuses what is no name (see {@link InvalidMapException}) and weights below 1. */
    public RelayInfo {
        checkName("a relay's name", name);
        checkName("a relay's region", region);
        checkName("a relay's zone", zone);
        if (weight < 1) {
            throw new InvalidMapException("relay '" + name + "' needs a weight of at least 1, got " + weight);
        }
    }

    /** Names have 1 to 255 visible characters, none outside of Unicode's basic plane. */
    static void checkName(String what, String name) {
        if (name.isEmpty() || name.length() > LONGEST_NAME || !visible(name)) {
            throw new InvalidMapException(
                    what + " was expected to have 1 to " + LONGEST_NAME + " visible characters, got '" + name + "'");
        }
    }

    // A loop in place of a stream: a whole map of thousands of relays is checked at once.
    private static boolean visible(String name) {
        for (int i = 0; i < name.length(); i++) {
            char one = name.charAt(i);
            if (one <= ' ' || Character.isISOControl(one) || Character.isSurrogate(one)) {
                return false;
            }
        }
        return true;
    }

    // Written out: a record's own is a method handle, which is slow until it is compiled.
    @Override
    public boolean equals(Object other) {
        return other instanceof RelayInfo relay
                && weight == relay.weight
                && name.equals(relay.name)
                && region.equals(relay.region)
                && zone.equals(relay.zone);
    }

    @Override
    public int hashCode() {
        return name.hashCode();
    }
}
