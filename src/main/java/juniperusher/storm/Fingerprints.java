package juniperusher.storm;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Fingerprints of refused messages, to recognize a resubmission that has a new id and no mark of the client. Each
 * refusal matches one resubmission. Entries are bounded in number and age; the oldest is dropped first. Not
 * thread-safe.
 */
final class Fingerprints {
    private static final int MAX_FINGERPRINTS = 4096;
    private static final double RETENTION_SECONDS = 30; // clients do not resubmit a message later

    private final Map<Long, Refusals> refusals = new LinkedHashMap<>(); // by fingerprint, last changed last

    /** Number of refusals without a resubmission, and the time of the last refusal. */
    private record Refusals(int count, double lastAt) {}

    /** Records the refusal of a message with this fingerprint. */
    void recordRefusal(long fingerprint, double now) {
        Refusals previous = refusals.remove(fingerprint);
        refusals.put(fingerprint, new Refusals(previous == null ? 1 : previous.count() + 1, now));
        Iterator<Refusals> oldest = refusals.values().iterator();
        while (oldest.next().lastAt() < now - RETENTION_SECONDS || refusals.size() > MAX_FINGERPRINTS) {
            oldest.remove();
        }
    }

    /** Whether a message with this fingerprint was refused before; if so, one refusal is removed. */
    boolean takeRefusal(long fingerprint, double now) {
        Refusals previous = refusals.remove(fingerprint);
        if (previous == null || previous.lastAt() < now - RETENTION_SECONDS) {
            return false;
        }
        if (previous.count() > 1) {
            refusals.put(fingerprint, new Refusals(previous.count() - 1, previous.lastAt()));
        }
        return true;
    }

    int size() {
        return refusals.size();
    }
}
