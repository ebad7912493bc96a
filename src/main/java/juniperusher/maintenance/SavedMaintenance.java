package juniperusher.maintenance;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The active maintenance of a process and its copy in the state folder, which the other process of an upgrade changes
 * too. A change that cannot be saved is active all the same. It stays pending as a change, and is saved later on top of
 * what the file holds then. Not safe for threads.
 */
public final class SavedMaintenance {
    private static final Logger LOG = LoggerFactory.getLogger(SavedMaintenance.class);

    private final MaintenanceFile file;
    private final List<MaintenanceChange> pending = new ArrayList<>(); // not saved yet, one for each endpoint
    private Maintenance active = Maintenance.NONE;

    /** Creates the object with no endpoint under maintenance until {@link #refresh}. */
    public SavedMaintenance(MaintenanceFile file) {
        this.file = file;
    }

    /** The active maintenance. */
    public Maintenance active() {
        return active;
    }

    /** Whether changes are active that could not be saved yet. */
    public boolean isPending() {
        return !pending.isEmpty();
    }

    /**
     * Applies the change of an operator, and saves it before this returns if the folder allows it.
     *
     * @return the active maintenance, with changes that the other process has saved
     */
    public Maintenance change(MaintenanceChange change) {
        pending.removeIf(earlier -> earlier.endpointId().equals(change.endpointId()));
        pending.add(change);
        try {
            save();
        } catch (IOException e) {
            LOG.atError()
                    .addKeyValue("target", change.endpointId())
                    .log("maintenance could not be saved: {}", e.toString());
            active = change.applyTo(active);
        }
        return active;
    }

    /**
     * Saves the pending changes and adopts what the other process has saved.
     *
     * @return the active maintenance
     */
    public Maintenance refresh() {
        if (isPending()) {
            try {
                save();
                LOG.info("maintenance was saved on retry");
                return active;
            } catch (IOException e) {
                LOG.debug("maintenance could not be saved on retry: {}", e.toString());
            }
        }
        adopt();
        return active;
    }

    private void save() throws IOException {
        active = file.apply(pending, active);
        pending.clear();
    }

    private void adopt() {
        try {
            active = MaintenanceChange.applyAll(pending, file.read());
        } catch (IOException e) {
            LOG.atWarn().log("the maintenance file cannot be read; keeping the active maintenance: {}", e.getMessage());
        }
    }
}
