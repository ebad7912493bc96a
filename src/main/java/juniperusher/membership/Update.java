package juniperusher.membership;

import java.util.List;
import java.util.Set;

/**
 * Update of the endpoint list from one source, applied completely or not at all. Immutable.
 *
 * @param whole   whether it is the full list of the source; endpoints that are not in it are gone
 * @param version version of the list that the source assigned to the resulting state
 * @param entries listed endpoints; if an id occurs more than once, the last entry counts
 * @param unread  ids of listed endpoints whose entry could not be read; their previous entry stays valid
 */
public record Update(boolean whole, long version, List<Entry> entries, Set<String> unread) {
    public Update {
        entries = List.copyOf(entries);
        unread = Set.copyOf(unread);
    }
}
