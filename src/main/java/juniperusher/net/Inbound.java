package juniperusher.net;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * The connections that came in, bounded in number, so that calls to endpoints, the watch and the journal
 * always find a descriptor. At the bound the one that matters least goes, and those that say nothing go
 * first.
 */
public final class Inbound {
    private static final long MUTE_AFTER_NANOS = 250_000_000L; // ns after which one that has said nothing is mute
    private static final long STALLED_AFTER_NANOS = 1_000_000_000L; // ns after which a request begun is taken to hang
    private static final double CROWDED_SHARE = 0.45; // of the bound: well below the share that clients hold
    private static final int SERVED_RANK = 5;
    private static final int SHED_DIVISOR = 8; // one in so many of the bound may be shed and not closed yet

    private final int maxConnections;
    private final Runnable onShed;
    private final boolean oldestFirst;
    private final Set<Guest> connections = new LinkedHashSet<>();
    private final Set<Guest> shedButOpen = new LinkedHashSet<>(); // shed, but not closed yet

    /** What a connection is doing. */
    public enum Standing {
        MUTE,
        IDLE,
        UNFINISHED,
        SERVED
    }

    /** A connection that came in. */
    public interface Guest {
        /** What it is doing now. */
        Standing standing();

        /** Since when, by {@link System#nanoTime}. */
        long since();

        /** Ends it as soon as nothing is owed to its client; what comes in that instant is seen to first. */
        void shed();

        /** Closes it at once, as its descriptor is needed. */
        void drop();
    }

    /**
     * A bound of its own, for a listener that clients must not crowd out (the operators' one):
     * {@code most} connections, {@code shedOne} told of each that is closed for want of room. Each carries
     * one short call, so the one that has waited longest goes first, whatever it has sent: guards a call that
     * has not yet been read against those that hold half a call beside it.
     */
    public static Inbound oldestFirst(int maxConnections, Runnable onShed) {
        return new Inbound(maxConnections, onShed, true);
    }

    Inbound(int maxConnections, Runnable onShed) {
        this(maxConnections, onShed, false);
    }

    private Inbound(int maxConnections, Runnable onShed, boolean oldestFirst) {
        this.maxConnections = maxConnections;
        this.onShed = onShed;
        this.oldestFirst = oldestFirst;
    }

    /** A connection came in; at the bound the least of the others is closed, or this one if all serve. */
    public void add(Guest connection) {
        Guest shed = null;
        Guest dropped = null;
        synchronized (connections) {
            if (connections.size() >= maxConnections) {
                shed = selectToShed(connection);
                connections.remove(shed);
                shedButOpen.add(shed);
                dropped = shedButOpen.size() > Math.max(1, maxConnections / SHED_DIVISOR)
                        ? shedButOpen.iterator().next()
                        : null;
                shedButOpen.remove(dropped);
            }
            if (shed != connection) {
                connections.add(connection);
            }
        }
        if (shed != null) {
            onShed.run();
            shed.shed();
        }
        if (dropped != null) {
            dropped.drop(); // Guards descriptors against clients that never close what was ended
        }
    }

    /**
     * Ends all, or with {@code resting} those alone on which nothing seems to be under way: one that has just
     * come may still say what it came for. None is closed with something owed on it.
     */
    public void endAll(boolean idleOnly) {
        List<Guest> selected;
        long now = System.nanoTime();
        synchronized (connections) {
            selected = connections.stream()
                    .filter(connection -> !idleOnly
                            || connection.standing() == Standing.IDLE
                            || connection.standing() == Standing.MUTE && now - connection.since() > MUTE_AFTER_NANOS)
                    .toList();
        }
        selected.forEach(Guest::shed);
    }

    private Guest selectToShed(Guest newcomer) {
        Guest selected = newcomer;
        int lowestRank = Integer.MAX_VALUE;
        long now = System.nanoTime();
        for (Guest connection : connections) {
            int rank = oldestFirst && connection.standing() != Standing.SERVED
                    ? 0
                    : rank(connection.standing(), now - connection.since());
            if (rank < lowestRank || rank == lowestRank && connection.since() - selected.since() < 0) {
                selected = connection;
                lowestRank = rank;
            }
        }
        return lowestRank == SERVED_RANK ? newcomer : selected;
    }

    /**
     * The lower, the sooner it goes. Guards those who have just come and whose first request is on its way:
     * they count for more than those that rest after an answer, who may come again on a new connection.
     */
    private static int rank(Standing standing, long ageNanos) {
        return switch (standing) {
            case MUTE -> ageNanos > MUTE_AFTER_NANOS ? 0 : 3;
            case IDLE -> 1;
            case UNFINISHED -> ageNanos > STALLED_AFTER_NANOS ? 2 : 4;
            case SERVED -> SERVED_RANK;
        };
    }

    /**
     * Whether so many are here that each should end with its answer. Clients hold a bounded number of
     * connections for all that they ask: those that rest here would leave none for the others.
     */
    public boolean isCrowded() {
        return size() > maxConnections * CROWDED_SHARE;
    }

    /** A connection has ended. */
    public void remove(Guest connection) {
        synchronized (connections) {
            connections.remove(connection);
            shedButOpen.remove(connection);
        }
    }

    /** How many there are. */
    public int size() {
        synchronized (connections) {
            return connections.size();
        }
    }
}
