package juniperusher.net;

import java.util.LinkedHashSet;
import java.util.Set;

/**
 * The connections that came in, bounded in number, so that calls to endpoints, the watch and the journal
 * always find a descriptor. At the bound the one that matters least goes, and those that say nothing go
 * first.
 */
public final class Inbound {
    private final int most;
    private final Runnable shedOne;
    private final Set<Guest> guests = new LinkedHashSet<>();

    /** What a connection is doing, in the order in which connections are shed. */
    public enum Standing { MUTE, IDLE, UNFINISHED, SERVED }

    /** A connection that came in. */
    public interface Guest {
        /** What it is doing now. */
        Standing standing();

        /** Since when, by {@link System#nanoTime}. */
        long since();

        /** Closes it. */
        void shed();
    }

    Inbound(int most, Runnable shedOne) {
        this.most = most;
        this.shedOne = shedOne;
    }

    /** A connection came in; at the bound the least of the others is closed, or this one if all serve. */
    public void add(Guest guest) {
        Guest out = null;
        synchronized (guests) {
            if (guests.size() >= most) {
                out = least(guest);
                guests.remove(out);
            }
            if (out != guest) {
                guests.add(guest);
            }
        }
        if (out != null) {
            shedOne.run();
            out.shed();
        }
    }

    private Guest least(Guest newcomer) {
        Guest least = newcomer;
        Standing lowest = Standing.SERVED;
        for (Guest guest : guests) {
            Standing standing = guest.standing();
            if (standing.compareTo(lowest) < 0 || standing == lowest && least != newcomer
                    && guest.since() - least.since() < 0) {
                least = guest;
                lowest = standing;
            }
        }
        return least;
    }

    /** A connection has ended. */
    public void remove(Guest guest) {
        synchronized (guests) {
            guests.remove(guest);
        }
    }

    /** How many there are. */
    public int size() {
        synchronized (guests) {
            return guests.size();
        }
    }
}
