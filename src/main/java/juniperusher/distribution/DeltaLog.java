package juniperusher.distribution;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

/**
 * A bounded log of the most recent changes of a state, from a base version to the newest version. When a limit is
 * exceeded, the oldest changes are dropped and the base version moves on. Versions are compared by term and revision,
 * because the same revision in another term names another state.
 *
 * <p>Not thread-safe.
 */
public final class DeltaLog {
    private static final int COMPACTION_MIN_DROPPED = 64; // avoids copying the list for each dropped entry

    private final int maxChanges;
    private final int maxBytes;
    private final List<Change> changes = new ArrayList<>();
    private int firstIndex; // index of the oldest kept change; the entries before it are null
    private Version baseVersion = Version.NONE;
    private int totalBytes;

    /**
     * Creates an empty log.
     *
     * @param maxChanges number of changes above which the oldest are dropped
     * @param maxBytes bytes above which the oldest changes are dropped; the newest one is always kept
     */
    public DeltaLog(int maxChanges, int maxBytes) {
        this.maxChanges = maxChanges;
        this.maxBytes = maxBytes;
    }

    /** Drops all changes; the log then begins at that version. */
    public void reset(Version version) {
        changes.clear();
        firstIndex = 0;
        totalBytes = 0;
        baseVersion = version;
    }

    /**
     * Adds a change.
     *
     * @throws IllegalArgumentException if the change does not follow the newest version
     */
    public void append(Change change) {
        Version previous = newestVersion();
        if (change.version().revision() != previous.revision() + 1
                || change.version().term() < previous.term()) {
            throw new IllegalArgumentException(change.version() + " does not follow " + previous);
        }
        changes.add(change);
        totalBytes += ControlMessageCodec.encodedSize(change);
        while (changeCount() > maxChanges || totalBytes > maxBytes && changeCount() > 1) {
            Change dropped = changes.set(firstIndex, null);
            firstIndex++;
            baseVersion = dropped.version();
            totalBytes -= ControlMessageCodec.encodedSize(dropped);
        }
        if (firstIndex >= COMPACTION_MIN_DROPPED && firstIndex > changes.size() / 2) {
            changes.subList(0, firstIndex).clear();
            firstIndex = 0;
        }
    }

    /** The version after the newest change; the base version if the log is empty. */
    public Version newestVersion() {
        return changeCount() == 0
                ? baseVersion
                : changes.get(changes.size() - 1).version();
    }

    /** Whether the log contains all changes from that version to the newest one. */
    public boolean covers(Version version) {
        long distance = newestVersion().revision() - version.revision();
        if (distance < 0 || distance > changeCount()) {
            return false;
        }
        return versionBeforeNewest((int) distance).equals(version);
    }

    private Version versionBeforeNewest(int distance) {
        return distance == changeCount()
                ? baseVersion
                : changes.get(changes.size() - 1 - distance).version();
    }

    /**
     * Returns the first changes after that version.
     *
     * @param byteLimit limit on the total size of the changes; one change is returned even if it is larger
     * @throws IllegalArgumentException if the log does not cover the version
     */
    public List<Change> changesAfter(Version version, int byteLimit) {
        if (!covers(version)) {
            throw new IllegalArgumentException(
                    version + " is not in the log from " + baseVersion + " to " + newestVersion());
        }
        int from = changes.size() - (int) (newestVersion().revision() - version.revision());
        int to = from;
        int selectedBytes = 0;
        while (to < changes.size()
                && (to == from || selectedBytes + ControlMessageCodec.encodedSize(changes.get(to)) <= byteLimit)) {
            selectedBytes += ControlMessageCodec.encodedSize(changes.get(to));
            to++;
        }
        return Collections.unmodifiableList(new ArrayList<>(changes.subList(from, to)));
    }

    /** The version to which the oldest kept change applies. */
    public Version baseVersion() {
        return baseVersion;
    }

    /** Number of changes in the log. */
    public int changeCount() {
        return changes.size() - firstIndex;
    }

    /** Upper bound of the size, in bytes, of the log's changes in delta messages. */
    public int totalBytes() {
        return totalBytes;
    }
}
