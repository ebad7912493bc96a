package juniperusher.net;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;

/**
 * Connections that have carried an exchange, kept for requests that may be sent unproven. No response on them is
 * believed. They stay until the peer closes them, since they are needed when no other can be opened. Thread-safe.
 */
final class UsedConnections {
    private static final int MAX_PER_PEER = 8; // some may be reset while no other can be opened

    private final Map<HttpPool.ConnectionKey, Deque<HttpClientConnection>> byKey = new HashMap<>(); // newest first

    /** Adds a connection; the oldest one is closed if there are too many. */
    void add(HttpPool.ConnectionKey key, HttpClientConnection connection) {
        HttpClientConnection surplus;
        synchronized (this) {
            Deque<HttpClientConnection> kept = byKey.computeIfAbsent(key, absent -> new ArrayDeque<>());
            kept.addFirst(connection);
            surplus = kept.size() > MAX_PER_PEER ? kept.pollLast() : null;
        }
        if (surplus != null) {
            surplus.closeGracefully();
        }
    }

    /** Takes the newest connection that is still open; null if there is none. */
    HttpClientConnection take(HttpPool.ConnectionKey key) {
        HttpClientConnection connection = poll(key);
        while (connection != null && !connection.isOpenForUnproven()) {
            connection.closeGracefully();
            connection = poll(key);
        }
        return connection;
    }

    private synchronized HttpClientConnection poll(HttpPool.ConnectionKey key) {
        Deque<HttpClientConnection> kept = byKey.get(key);
        HttpClientConnection newest = kept == null ? null : kept.poll();
        removeIfEmpty(key);
        return newest;
    }

    /** Forgets a connection that is closed. */
    synchronized void remove(HttpClientConnection connection) {
        byKey.values().forEach(kept -> kept.remove(connection));
        byKey.values().removeIf(Deque::isEmpty);
    }

    private void removeIfEmpty(HttpPool.ConnectionKey key) {
        if (byKey.containsKey(key) && byKey.get(key).isEmpty()) {
            byKey.remove(key);
        }
    }
}
