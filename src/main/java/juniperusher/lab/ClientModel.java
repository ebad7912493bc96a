package juniperusher.lab;

import juniperusher.lab.Plan.Clients;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * What the clients of one destination ask for, and whether and when a refused one returns. What is asked for
 * is drawn
 * apart from the returns, so that it is the same whatever becomes of it.
 */
public final class ClientModel {
    private static final double SOONEST = 0.68; // s of a client's own first wait, which doubles
    private static final double LATEST = 1.4;
    private static final double UNREACHED_SOONEST = 0.3; // s until one that found no relay tries again
    private static final double UNREACHED_LATEST = 1.2;

    private final Clients habits;
    private final UniformRandomProvider asking;
    private final UniformRandomProvider returning;

    /** Clients with these habits, and random numbers for what they ask and for how they return. */
    public ClientModel(Clients habits, UniformRandomProvider asking, UniformRandomProvider returning) {
        this.habits = habits;
        this.asking = asking;
        this.returning = returning;
    }

    /** s from one message for a destination to the next, where so many a second are asked for. */
    public double gap(double rate) {
        return -Math.log(1 - asking.nextDouble()) / rate;
    }

    /** Whether the next message is one that may not be repeated. */
    public boolean order() {
        return asking.nextDouble() < habits.orders();
    }

    /** The place of the relay that the next message goes to. */
    public int relay(int relays) {
        return asking.nextInt(relays);
    }

    /**
     * s until a client comes again that has been refused.
     *
     * @param tries how often it has handed the message in
     * @param told  s that it was told, 0 for nothing
     * @return infinite if it does not come again
     */
    public double back(int tries, double told) {
        if (tries > habits.returns()) {
            return Double.POSITIVE_INFINITY;
        }
        double own = between(SOONEST, LATEST) * Math.pow(2, tries - 1);
        boolean heeds = returning.nextDouble() < habits.heed();
        return heeds && told > 0 ? told : own;
    }

    /** s until a client tries again that has found no relay; that is no refusal. */
    public double unreached() {
        return between(UNREACHED_SOONEST, UNREACHED_LATEST);
    }

    private double between(double low, double high) {
        return low + returning.nextDouble() * (high - low);
    }
}
