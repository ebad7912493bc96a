package juniperusher.distribution;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

/**
 * The recent changes of a state, bounded in number and bytes; the oldest go first. It leads from its base to the
 * newest version. A version is covered only if the log passes through it: the same revision of another term is
 * another state.
 */
public final class DeltaLog {
    private static final int COMPACT_FROM = 64; // dropped entries

    private final int mostChanges;
    private final int mostBytes;
    private final List<Change> changes = new ArrayList<>();
    private int first; // index of the oldest change that is kept
    private Version base = Version.NONE;
    private int bytes;

    /** An empty log of at most so many changes and bytes. */
    public DeltaLog(int mostChanges, int mostBytes) {
        this.mostChanges = mostChanges;
        this.mostBytes = mostBytes;
    }

    /** Starts anew from a state of that version. */
    public void reset(Version version) {
        changes.clear();
        first = 0;
        bytes = 0;
        base = version;
    }

    /** Adds the change that follows the newest one. */
    public void append(Change change) {
        Version before = newest();
        if (change.version().revision() != before.revision() + 1
                || change.version().term() < before.term()) {
            throw new IllegalArgumentException(change.version() + " does not follow " + before);
        }
        changes.add(change);
        bytes += ControlMessageCodec.size(change);
        while (count() > mostChanges || bytes > mostBytes && count() > 1) {
            Change dropped = changes.set(first, null);
            first++;
            base = dropped.version();
            bytes -= ControlMessageCodec.size(dropped);
        }
        if (first >= COMPACT_FROM && first > changes.size() / 2) {
            changes.subList(0, first).clear();
            first = 0;
        }
    }

    /** The newest version. */
    public Version newest() {
        return count() == 0 ? base : changes.get(changes.size() - 1).version();
    }

    /** Whether who has that version can be served by changes. */
    public boolean covers(Version version) {
        long behind = newest().revision() - version.revision();
        if (behind < 0 || behind > count()) {
            return false;
        }
        return versionBehind((int) behind).equals(version);
    }

    private Version versionBehind(int behind) {
        return behind == count()
                ? base
                : changes.get(changes.size() - 1 - behind).version();
    }

    /**
     * The changes that follow that version: as many as fit into so many bytes, but one at least.
     *
     * @throws IllegalArgumentException if it is not covered
     */
    public List<Change> since(Version version, int room) {
        if (!covers(version)) {
            throw new IllegalArgumentException(version + " is not in the log from " + base + " to " + newest());
        }
        int from = changes.size() - (int) (newest().revision() - version.revision());
        int to = from;
        int taken = 0;
        while (to < changes.size() && (to == from || taken + ControlMessageCodec.size(changes.get(to)) <= room)) {
            taken += ControlMessageCodec.size(changes.get(to));
            to++;
        }
        return Collections.unmodifiableList(new ArrayList<>(changes.subList(from, to)));
    }

    /** The oldest version from which changes are kept. */
    public Version base() {
        return base;
    }

    /** How many changes are kept. */
    public int count() {
        return changes.size() - first;
    }

    /** How many bytes the kept changes take on the wire. */
    public int bytes() {
        return bytes;
    }
}
