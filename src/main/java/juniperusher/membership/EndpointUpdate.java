package juniperusher.membership;

import java.util.List;
import java.util.Set;

/**
 * Update of the endpoint list from one source, applied completely or not at all. Immutable.
 *
 * @param fullList      whether it is the full list of the source; endpoints that are not in it are gone
 * @param version       version of the list that the source assigned to the resulting state
 * @param entries       listed endpoints; if an id occurs more than once, the last entry counts
 * @param unreadableIds ids of listed endpoints whose entry could not be read; their previous entry stays valid
 */
public record EndpointUpdate(boolean fullList, long version, List<EndpointEntry> entries, Set<String> unreadableIds) {
    public EndpointUpdate {
        entries = List.copyOf(entries);
        unreadableIds = Set.copyOf(unreadableIds);
    }
}
