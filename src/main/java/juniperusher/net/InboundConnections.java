package juniperusher.net;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * The set of inbound connections. Their number is bounded, so that file descriptors remain for calls to endpoints,
 * the watch and the journal. When the bound is exceeded, the least important connection is shed, that is, ended as soon
 * as no request is in progress on it. Connections that have sent no data are shed first. Thread-safe.
 */
public final class InboundConnections {
    private static final long NO_DATA_AFTER_NANOS = 250_000_000L; // then a connection without data is shed first
    private static final long STALLED_AFTER_NANOS = 1_000_000_000L; // then an incomplete request counts as stalled
    private static final double CROWDED_SHARE = 0.45; // of the bound; well below the share that clients may use
    private static final int HANDLING_RANK = 5; // the highest rank; connections of this rank are not shed for others
    private static final int SHED_DIVISOR = 8; // 1/8 of the bound may be shed but not closed yet

    private final int maxConnections;
    private final Runnable onShed;
    private final boolean oldestFirst;
    private final Set<InboundConnection> connections = new LinkedHashSet<>();
    private final Set<InboundConnection> shedButOpen = new LinkedHashSet<>();

    /** The state of an inbound connection. */
    public enum ConnectionState {
        /** No data has arrived yet, the handshake is incomplete, or the output is already shut down. */
        NO_DATA,
        /** Open without a request since the last response. */
        IDLE,
        /** A request has arrived in part. */
        RECEIVING,
        /** A request is being handled. */
        HANDLING
    }

    /** An inbound connection. Its methods may be called on any thread. */
    public interface InboundConnection {
        /** The current state. */
        ConnectionState state();

        /** The {@link System#nanoTime} at which the current state began. */
        long stateSinceNanos();

        /** Ends the connection once no request is in progress; a request that has just arrived is answered first. */
        void closeGracefully();

        /** Closes the connection at once, because its file descriptor is needed. */
        void closeNow();
    }

    /**
     * Creates a separate bound for a listener that must not compete with clients for connections, such as the
     * operators' one. It allows {@code maxConnections} and calls {@code onShed} for each connection that it sheds.
     * Each connection carries one short call, so the one that has waited longest is shed first, whatever it has sent.
     * Otherwise a call that is not read yet would be shed before connections that hold an incomplete call open.
     */
    public static InboundConnections oldestFirst(int maxConnections, Runnable onShed) {
        return new InboundConnections(maxConnections, onShed, true);
    }

    InboundConnections(int maxConnections, Runnable onShed) {
        this(maxConnections, onShed, false);
    }

    private InboundConnections(int maxConnections, Runnable onShed, boolean oldestFirst) {
        this.maxConnections = maxConnections;
        this.onShed = onShed;
        this.oldestFirst = oldestFirst;
    }

    /**
     * Adds a new connection. At the bound, sheds the least important of the other connections, or the new one if all
     * others are being served.
     */
    public void add(InboundConnection connection) {
        InboundConnection shed = null;
        InboundConnection dropped = null;
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
            shed.closeGracefully();
        }
        if (dropped != null) {
            dropped.closeNow(); // its client may never close; the descriptor is needed now
        }
    }

    /**
     * Sheds all connections, or with {@code idleOnly} only the idle ones and those that have sent no data for some
     * time; on a connection just opened a request may still arrive. Requests in progress are answered first.
     */
    public void closeAll(boolean idleOnly) {
        List<InboundConnection> selected;
        long now = System.nanoTime();
        synchronized (connections) {
            selected = connections.stream()
                    .filter(connection -> !idleOnly
                            || connection.state() == ConnectionState.IDLE
                            || connection.state() == ConnectionState.NO_DATA
                                    && now - connection.stateSinceNanos() > NO_DATA_AFTER_NANOS)
                    .toList();
        }
        selected.forEach(InboundConnection::closeGracefully);
    }

    private InboundConnection selectToShed(InboundConnection newcomer) {
        InboundConnection selected = newcomer;
        int lowestRank = Integer.MAX_VALUE;
        long now = System.nanoTime();
        for (InboundConnection connection : connections) {
            int rank = oldestFirst && connection.state() != ConnectionState.HANDLING
                    ? 0
                    : rank(connection.state(), now - connection.stateSinceNanos());
            if (rank < lowestRank
                    || rank == lowestRank && connection.stateSinceNanos() - selected.stateSinceNanos() < 0) {
                selected = connection;
                lowestRank = rank;
            }
        }
        return lowestRank == HANDLING_RANK ? newcomer : selected;
    }

    /**
     * The importance of a connection; the lowest rank is shed first. A new connection, whose first request is
     * probably on its way, ranks above an idle one, whose client can open a new connection.
     */
    private static int rank(ConnectionState state, long ageNanos) {
        return switch (state) {
            case NO_DATA -> ageNanos > NO_DATA_AFTER_NANOS ? 0 : 3;
            case IDLE -> 1;
            case RECEIVING -> ageNanos > STALLED_AFTER_NANOS ? 2 : 4;
            case HANDLING -> HANDLING_RANK;
        };
    }

    /**
     * Whether each connection should close after its next response because there are too many. Clients have a bounded
     * number of connections in total; if many of them stay idle here, none remain for other clients.
     */
    public boolean isCrowded() {
        return size() > maxConnections * CROWDED_SHARE;
    }

    /** Removes a closed connection. */
    public void remove(InboundConnection connection) {
        synchronized (connections) {
            connections.remove(connection);
            shedButOpen.remove(connection);
        }
    }

    /** The number of connections on which a request has arrived in part. */
    public int receivingCount() {
        synchronized (connections) {
            return (int) connections.stream()
                    .filter(connection -> connection.state() == ConnectionState.RECEIVING)
                    .count();
        }
    }

    /** The number of open connections, without those that have been shed. */
    public int size() {
        synchronized (connections) {
            return connections.size();
        }
    }
}
