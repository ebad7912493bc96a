package juniperusher.lab;

import java.util.ArrayList;
import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * The keys that clients use, over all destinations. Each lives for a while, its messages come one mean gap apart and go
 * to one relay. As many keys are in use at once as the rate of messages needs for that gap.
 */
final class KeyModel {
    private static final double SHORTEST = 0.5; // of the mean life
    private static final double LONGEST = 1.5;

    private final int atOnce;
    private final double life;
    private final int relays;
    private final UniformRandomProvider random;
    private final List<Live> live = new ArrayList<>();
    private long opened;

    /** A key and the relay that gets its messages; numbers count from 1. */
    record Key(long number, int relay) {}

    private record Live(Key key, double until) {}

    /**
     * Keys of which none has been used.
     *
     * @param rate messages a second that carry a key
     * @param gap  mean s between two messages of a key
     * @param life mean s for which a key is used
     */
    KeyModel(double rate, double gap, double life, int relays, UniformRandomProvider random) {
        atOnce = (int) Math.max(1, Math.round(rate * gap));
        this.life = life;
        this.relays = relays;
        this.random = random;
    }

    /** The key of a message that is asked for now. Times may not go back. */
    Key next(double now) {
        live.removeIf(one -> one.until() <= now);
        if (live.size() < atOnce) {
            Key key = new Key(++opened, random.nextInt(relays));
            live.add(new Live(key, now + life * (SHORTEST + random.nextDouble() * (LONGEST - SHORTEST))));
            return key;
        }
        return live.get(random.nextInt(live.size())).key();
    }
}
