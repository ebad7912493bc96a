package juniperusher.membership;

import java.util.List;
import java.util.Set;

/**
 * One word of a source, taken as a whole or not at all.
 *
 * @param whole   it names every endpoint that the source has; what it leaves out is gone
 * @param version the source's own number for the state that it describes
 * @param entries the endpoints that it names; of one named twice the last counts
 * @param unread  ids that it names without saying anything readable: for these its last word stands
 */
public record Update(boolean whole, long version, List<Entry> entries, Set<String> unread) {
    public Update {
        entries = List.copyOf(entries);
        unread = Set.copyOf(unread);
    }
}
