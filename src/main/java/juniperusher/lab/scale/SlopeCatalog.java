package juniperusher.lab.scale;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** All slopes that can be measured, by name. */
final class SlopeCatalog {
    private SlopeCatalog() {}

    /** The slopes for messages with bodies of so many bytes, in the order of their groups. */
    static Map<String, Slope> slopes(int bodyBytes) {
        List<Slope> all = new ArrayList<>(ControlSlopes.all());
        all.addAll(JournalSlopes.all(bodyBytes));
        all.addAll(MembershipSlopes.all());
        all.addAll(ConfigSlopes.all());
        all.addAll(StormSlopes.all());
        Map<String, Slope> byName = new LinkedHashMap<>();
        all.forEach(slope -> byName.put(slope.name(), slope));
        return byName;
    }
}
