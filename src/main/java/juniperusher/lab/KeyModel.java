package juniperusher.lab;

import java.util.ArrayList;
import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * The keys that clients use for messages in order, over all destinations. A key is used for a limited time, and all its
 * messages go to one relay. The number of active keys follows from the message rate and the mean gap between two
 * messages of a key. Not thread-safe.
 */
final class KeyModel {
    private static final double MIN_LIFETIME_FACTOR = 0.5; // of the mean lifetime
    private static final double MAX_LIFETIME_FACTOR = 1.5;

    private final int maxActiveKeys;
    private final double meanLifetime;
    private final int relays;
    private final UniformRandomProvider random;
    private final List<ActiveKey> activeKeys = new ArrayList<>();
    private long lastNumber;

    /** A key, numbered from 1, and the index of the relay that gets its messages. */
    record Key(long number, int relay) {}

    private record ActiveKey(Key key, double until) {}

    /**
     * Creates a model without active keys.
     *
     * @param rate         sequenced messages per second, over all destinations
     * @param meanGap      mean time between two messages of a key, s
     * @param meanLifetime mean time for which a key is used, s
     */
    KeyModel(double rate, double meanGap, double meanLifetime, int relays, UniformRandomProvider random) {
        maxActiveKeys = (int) Math.max(1, Math.round(rate * meanGap));
        this.meanLifetime = meanLifetime;
        this.relays = relays;
        this.random = random;
    }

    /** Selects the key of a message that is requested now. Times must not decrease. */
    Key nextKey(double now) {
        activeKeys.removeIf(one -> one.until() <= now);
        if (activeKeys.size() < maxActiveKeys) {
            Key key = new Key(++lastNumber, random.nextInt(relays));
            activeKeys.add(new ActiveKey(
                    key,
                    now
                            + meanLifetime
                                    * (MIN_LIFETIME_FACTOR
                                            + random.nextDouble() * (MAX_LIFETIME_FACTOR - MIN_LIFETIME_FACTOR))));
            return key;
        }
        return activeKeys.get(random.nextInt(activeKeys.size())).key();
    }
}
