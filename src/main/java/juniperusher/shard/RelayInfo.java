package juniperusher.shard;

/**
 * The properties of a relay that the shard map contains. Immutable.
 *
 * @param name unique in the fleet
 * @param region the region whose destinations it may own
 * @param zone the relay's failure domain within the region; zones of different regions may have the same name
 * @param weight its share of the region's load, relative to the weights of the region's other relays; at least 1
 */
public record RelayInfo(String name, String region, String zone, int weight) {
    private static final int MAX_NAME_LENGTH = 255;

    /**
     * Checks the names and the weight.
     *
     * @throws InvalidMapException if a name is empty, too long or has invisible characters, or the weight is below 1
     */
    public RelayInfo {
        checkName("a relay's name", name);
        checkName("a relay's region", region);
        checkName("a relay's zone", zone);
        if (weight < 1) {
            throw new InvalidMapException("relay '" + name + "' needs a weight of at least 1, got " + weight);
        }
    }

    /**
     * Checks that the name has 1 to 255 visible characters, all of them in Unicode's basic multilingual plane.
     *
     * @param description what the name belongs to, for the error message
     * @throws InvalidMapException if the name is not valid
     */
    static void checkName(String description, String name) {
        if (name.isEmpty() || name.length() > MAX_NAME_LENGTH || !hasOnlyVisibleCharacters(name)) {
            throw new InvalidMapException(description + " was expected to have 1 to " + MAX_NAME_LENGTH
                    + " visible characters, got '" + name + "'");
        }
    }

    // A loop because a stream is slower, and a map checks the names of thousands of relays at once.
    private static boolean hasOnlyVisibleCharacters(String name) {
        for (int i = 0; i < name.length(); i++) {
            char character = name.charAt(i);
            if (character <= ' ' || Character.isISOControl(character) || Character.isSurrogate(character)) {
                return false;
            }
        }
        return true;
    }

    // The generated equals of a record calls a method handle, which is slow until it is compiled.
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
