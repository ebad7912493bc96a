package juniperusher.store;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * State of a store: keys, leases, revisions and the history of changes since the last compaction. It performs no I/O
 * and reads no clock: the caller passes the store's time in seconds, which must not go back. Not thread-safe.
 */
public final class StoreState {
    private final TreeMap<String, Entry> keys = new TreeMap<>();
    private final Map<Long, Lease> leases = new HashMap<>();
    private final List<Change> changes = new ArrayList<>();
    private long revision = 1;
    private long compactedRevision; // changes up to this one are no longer available
    private long lastLeaseId;
    private double now;

    private record Lease(double ttlSeconds, double expiresAt) {}

    /**
     * Executes a request and returns its answer.
     *
     * @throws IllegalArgumentException if the time goes back or the ttl of a lease is not above 0
     */
    public Reply answer(Request request, double time) {
        tick(time);
        if (request instanceof Request.Grant grant) {
            if (!(grant.ttl() > 0)) {
                throw new IllegalArgumentException("lease ttl must be above 0, not " + grant.ttl() + " s");
            }
            leases.put(++lastLeaseId, new Lease(grant.ttl(), now + grant.ttl()));
            return new Reply.Leased(lastLeaseId, grant.ttl());
        } else if (request instanceof Request.KeepAlive keepAlive) {
            Lease lease = leases.get(keepAlive.lease());
            if (lease == null) {
                return new Reply.NoLease(keepAlive.lease());
            }
            leases.put(keepAlive.lease(), new Lease(lease.ttlSeconds(), now + lease.ttlSeconds()));
            return new Reply.Leased(keepAlive.lease(), lease.ttlSeconds());
        } else if (request instanceof Request.Revoke revoke) {
            if (!leases.containsKey(revoke.lease())) {
                return new Reply.NoLease(revoke.lease());
            }
            endLease(revoke.lease());
            return new Reply.Done(true, revision, List.of());
        }
        return transact((Request.Txn) request);
    }

    private Reply transact(Request.Txn txn) {
        boolean succeeded =
                txn.compare().stream().allMatch(comparison -> comparison.isSatisfiedBy(keys.get(comparison.key())));
        List<Op> ops = succeeded ? txn.then() : txn.otherwise();
        for (Op op : ops) {
            if (op instanceof Op.Put put && put.lease() != 0 && !leases.containsKey(put.lease())) {
                return new Reply.NoLease(put.lease()); // the transaction is not executed at all
            }
        }
        boolean writes = ops.stream()
                .anyMatch(
                        op -> op instanceof Op.Put || op instanceof Op.Delete delete && keys.containsKey(delete.key()));
        revision += writes ? 1 : 0;
        List<List<Entry>> reads = new ArrayList<>();
        for (Op op : ops) {
            if (op instanceof Op.Put put) {
                Entry previous = keys.get(put.key());
                put(new Entry(
                        put.key(),
                        put.value(),
                        previous == null ? revision : previous.created(),
                        revision,
                        put.lease()));
            } else if (op instanceof Op.Delete delete) {
                delete(delete.key());
            } else if (op instanceof Op.Read read) {
                reads.add(read(read.key(), read.prefix()));
            }
        }
        return new Reply.Done(succeeded, revision, reads);
    }

    private void put(Entry entry) {
        keys.put(entry.key(), entry);
        changes.add(new Change(entry, false, revision));
    }

    private void delete(String key) {
        Entry deleted = keys.remove(key);
        if (deleted != null) {
            changes.add(new Change(deleted, true, revision));
        }
    }

    private List<Entry> read(String key, boolean prefix) {
        if (!prefix) {
            Entry entry = keys.get(key);
            return entry == null ? List.of() : List.of(entry);
        }
        return keys.tailMap(key).values().stream()
                .takeWhile(entry -> entry.key().startsWith(key))
                .toList();
    }

    /** Sets the time, and ends the leases that have expired by it together with their keys. */
    public void tick(double time) {
        if (time < now) {
            throw new IllegalArgumentException("the store's time must not go back from " + now + " to " + time);
        }
        now = time;
        List.copyOf(leases.keySet()).stream()
                .sorted()
                .filter(id -> leases.get(id).expiresAt() <= now)
                .forEach(this::endLease);
    }

    /** Ends a lease and deletes its keys; also used before it expires, to inject a fault. */
    public void endLease(long lease) {
        leases.remove(lease);
        List<String> attachedKeys = keys.values().stream()
                .filter(entry -> entry.lease() == lease)
                .map(Entry::key)
                .toList();
        revision += attachedKeys.isEmpty() ? 0 : 1;
        attachedKeys.forEach(this::delete);
    }

    /** Ids of the current leases in ascending order. */
    public List<Long> leases() {
        return leases.keySet().stream().sorted().toList();
    }

    /**
     * Restarts the store after an outage that ends now. The time of each lease starts again, since the store could not
     * receive renewals meanwhile.
     */
    public void restart(double time) {
        now = Math.max(now, time);
        leases.replaceAll((id, lease) -> new Lease(lease.ttlSeconds(), now + lease.ttlSeconds()));
    }

    /** The store's time in seconds, as last passed in. */
    public double time() {
        return now;
    }

    /**
     * Returns the changes of keys with a prefix from this revision on.
     *
     * @throws IllegalStateException if some of these revisions are compacted; the keys have to be read again
     */
    public List<Change> changes(String prefix, long from) {
        if (from <= compactedRevision) {
            throw new IllegalStateException("revisions up to " + compactedRevision + " are compacted");
        }
        return changes.stream()
                .filter(change ->
                        change.revision() >= from && change.entry().key().startsWith(prefix))
                .toList();
    }

    /** Drops the history of changes up to and including this revision. */
    public void compact(long lastForgotten) {
        compactedRevision = Math.min(lastForgotten, revision);
        changes.removeIf(change -> change.revision() <= compactedRevision);
    }

    /** Revision of the last change. */
    public long revision() {
        return revision;
    }
}
