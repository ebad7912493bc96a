package juniperusher.net;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;

/** The idle connections of a pool, by peer; the most recently used one is taken first. Thread-safe. */
final class IdleConnections {
    private final long timeoutNanos;
    private final int maxCount;
    private final Map<HttpPool.ConnectionKey, Deque<HttpClientConnection>> byKey = new HashMap<>(); // newest first
    private int count;

    /** Keeps at most {@code maxCount} connections, each for {@code timeoutNanos}. */
    IdleConnections(long timeoutNanos, int maxCount) {
        this.timeoutNanos = timeoutNanos;
        this.maxCount = maxCount;
    }

    /** Takes a connection on which no input has arrived; null if there is none. */
    HttpClientConnection take(HttpPool.ConnectionKey key) {
        HttpClientConnection connection = poll(key);
        while (connection != null && (hasExpired(connection) || !connection.hasNoInput())) {
            connection.closeGracefully();
            connection = poll(key);
        }
        return connection;
    }

    private boolean hasExpired(HttpClientConnection connection) {
        return System.nanoTime() - connection.idleSinceNanos() >= timeoutNanos;
    }

    private synchronized HttpClientConnection poll(HttpPool.ConnectionKey key) {
        Deque<HttpClientConnection> connections = byKey.get(key);
        HttpClientConnection newest = connections == null ? null : connections.poll();
        count -= newest == null ? 0 : 1;
        return newest;
    }

    /** Adds a connection, unless it is closed. Closes the one that has been idle longest if there are too many. */
    void add(HttpPool.ConnectionKey key, HttpClientConnection connection) {
        connection.setIdleSinceNanos(System.nanoTime());
        HttpClientConnection evicted = null;
        synchronized (this) {
            if (connection.isUsable()) {
                byKey.computeIfAbsent(key, absent -> new ArrayDeque<>()).addFirst(connection);
                evicted = ++count > maxCount ? pollLongestIdle() : null;
            }
        }
        if (evicted != null) {
            evicted.closeGracefully();
        }
    }

    /** Removes the connection that has been idle longest, so that the pool does not use up file descriptors. */
    private HttpClientConnection pollLongestIdle() {
        Deque<HttpClientConnection> oldest = null;
        for (Deque<HttpClientConnection> connections : byKey.values()) {
            if (!connections.isEmpty() && (oldest == null || isOlder(connections.peekLast(), oldest.peekLast()))) {
                oldest = connections;
            }
        }
        count--;
        return oldest.pollLast();
    }

    private static boolean isOlder(HttpClientConnection connection, HttpClientConnection other) {
        return connection.idleSinceNanos() - other.idleSinceNanos() < 0;
    }

    /** Forgets a connection that is closed. */
    synchronized void remove(HttpClientConnection connection) {
        byKey.values().forEach(connections -> count -= connections.remove(connection) ? 1 : 0);
    }

    /** Closes all connections to the peer. */
    void closeAll(HttpPool.ConnectionKey key) {
        Deque<HttpClientConnection> removed;
        synchronized (this) {
            removed = byKey.remove(key);
            count -= removed == null ? 0 : removed.size();
        }
        if (removed != null) {
            removed.forEach(HttpClientConnection::closeGracefully);
        }
    }

    /** Closes the connections whose time is up. */
    void closeExpired() {
        removeExpired().forEach(HttpClientConnection::closeGracefully);
    }

    private synchronized List<HttpClientConnection> removeExpired() {
        List<HttpClientConnection> expired = new ArrayList<>();
        for (Deque<HttpClientConnection> connections : byKey.values()) {
            for (Iterator<HttpClientConnection> each = connections.iterator(); each.hasNext(); ) {
                HttpClientConnection connection = each.next();
                if (hasExpired(connection)) {
                    each.remove();
                    expired.add(connection);
                }
            }
        }
        count -= expired.size();
        byKey.values().removeIf(Deque::isEmpty);
        return expired;
    }
}
