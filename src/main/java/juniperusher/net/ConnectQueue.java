package juniperusher.net;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.io.Connection;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.util.thread.Scheduler;

/**
 * Opens connections for exchanges that have none. Each exchange starts an attempt of its own; the connection that is
 * established first goes to the exchange that has waited longest, and one that nobody waits for goes to the pool. An
 * exchange that may hedge starts a further attempt after each {@value #HEDGE_DELAY_MILLIS} ms without a connection, at
 * most {@value #MAX_HEDGES} of them. The failure of its own attempt ends an exchange. Thread-safe.
 */
final class ConnectQueue {
    private static final long HEDGE_DELAY_MILLIS = 50;
    private static final int MAX_HEDGES = 2;

    private final Network network;
    private final HttpPool pool;
    private final Map<HttpPool.ConnectionKey, Deque<Waiter>> waitersByKey = new HashMap<>(); // oldest first

    /** An exchange that waits for a connection. Guarded by the queue's lock. */
    private static final class Waiter {
        private final HttpPool.Exchange exchange;
        private Attempt ownAttempt;
        private int hedges;
        private Scheduler.Task hedgeTimer;

        Waiter(HttpPool.Exchange exchange) {
            this.exchange = exchange;
        }
    }

    /** An attempt to open a connection. */
    private final class Attempt implements Network.ConnectListener {
        private final HttpPool.ConnectionKey key;
        private Waiter owner; // whose own attempt this is, or null

        Attempt(HttpPool.ConnectionKey key, Waiter owner) {
            this.key = key;
            this.owner = owner;
        }

        void start() {
            network.connect(key.address(), this);
        }

        @Override
        public Connection connected(EndPoint endPoint) {
            return new HttpClientConnection(endPoint, network, pool, connection -> established(this, connection));
        }

        @Override
        public void failed(Throwable why) {
            attemptFailed(this);
        }
    }

    ConnectQueue(Network network, HttpPool pool) {
        this.network = network;
        this.pool = pool;
    }

    /** Opens a connection for the exchange. */
    void connect(HttpPool.Exchange exchange) {
        Waiter waiter = new Waiter(exchange);
        synchronized (this) {
            waiter.ownAttempt = new Attempt(exchange.key(), waiter);
            waitersByKey
                    .computeIfAbsent(exchange.key(), absent -> new ArrayDeque<>())
                    .add(waiter);
            scheduleHedge(waiter);
        }
        waiter.ownAttempt.start();
    }

    private void scheduleHedge(Waiter waiter) {
        if (waiter.exchange.mayHedgeConnect() && waiter.hedges < MAX_HEDGES) {
            waiter.hedgeTimer =
                    network.scheduler().schedule(() -> hedge(waiter), HEDGE_DELAY_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    private void hedge(Waiter waiter) {
        HttpPool.ConnectionKey key = waiter.exchange.key();
        synchronized (this) {
            Deque<Waiter> waiters = waitersByKey.get(key);
            if (waiters == null || !waiters.contains(waiter) || waiter.exchange.isFinished()) {
                return;
            }
            waiter.hedges++;
            scheduleHedge(waiter);
        }
        new Attempt(key, null).start();
    }

    private void established(Attempt attempt, HttpClientConnection connection) {
        Waiter served;
        synchronized (this) {
            served = pollOldest(attempt.key);
            Waiter owner = attempt.owner;
            attempt.owner = null;
            if (served != null && served != owner) {
                Attempt passedOn = served.ownAttempt;
                passedOn.owner = owner; // if the owner still waits, this attempt is its own from now on
                if (owner != null) {
                    owner.ownAttempt = passedOn;
                }
            }
        }
        if (served == null) {
            pool.keepUnused(attempt.key, connection);
        } else {
            served.exchange.connected(connection);
        }
    }

    private void attemptFailed(Attempt attempt) {
        Waiter owner;
        synchronized (this) {
            owner = attempt.owner;
            if (owner != null) {
                remove(attempt.key, owner);
            }
        }
        if (owner != null) {
            owner.exchange.connectFailed();
        }
    }

    /** Removes and returns the exchange that has waited longest. Drops those that have ended meanwhile. */
    private Waiter pollOldest(HttpPool.ConnectionKey key) {
        Deque<Waiter> waiters = waitersByKey.get(key);
        Waiter oldest = null;
        while (oldest == null && waiters != null && !waiters.isEmpty()) {
            Waiter next = waiters.poll();
            stop(next);
            if (next.exchange.isFinished()) {
                next.ownAttempt.owner = null;
            } else {
                oldest = next;
            }
        }
        removeIfEmpty(key);
        return oldest;
    }

    private void remove(HttpPool.ConnectionKey key, Waiter removed) {
        Deque<Waiter> waiters = waitersByKey.get(key);
        if (waiters == null) {
            return;
        }
        for (Iterator<Waiter> each = waiters.iterator(); each.hasNext(); ) {
            if (each.next() == removed) {
                each.remove();
                stop(removed);
            }
        }
        removeIfEmpty(key);
    }

    private void removeIfEmpty(HttpPool.ConnectionKey key) {
        if (waitersByKey.containsKey(key) && waitersByKey.get(key).isEmpty()) {
            waitersByKey.remove(key);
        }
    }

    private static void stop(Waiter waiter) {
        if (waiter.hedgeTimer != null) {
            waiter.hedgeTimer.cancel();
        }
    }
}
