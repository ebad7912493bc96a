package juniperusher.maintenance;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import juniperusher.files.SharedFile;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * File {@code maintenance} in the persistent state folder, which stores a {@link Maintenance}. Both processes of an
 * upgrade change it, each by changes and never as a whole, and a reader finds either the old or the new content.
 */
public final class MaintenanceFile {
    private static final Logger LOG = LoggerFactory.getLogger(MaintenanceFile.class);
    /** File name in the folder. */
    public static final String NAME = "maintenance";

    private static final long LOCK_TIMEOUT_MILLIS = 100;

    private final Path path;
    private final SharedFile file;

    /** Creates the file object for {@code folder}, which need not exist yet. */
    public MaintenanceFile(Path folder) {
        path = folder.resolve(NAME);
        file = new SharedFile(path, LOCK_TIMEOUT_MILLIS);
    }

    /**
     * Reads the file; {@link Maintenance#NONE} if it does not exist.
     *
     * @throws IOException if the file cannot be read or its content is malformed
     */
    public Maintenance read() throws IOException {
        return parse(file.read());
    }

    private Maintenance parse(String content) throws IOException {
        if (content == null) {
            return Maintenance.NONE;
        }
        try {
            return Maintenance.parse(content);
        } catch (IllegalArgumentException e) {
            throw new IOException(path + ": " + e.getMessage(), e);
        }
    }

    /**
     * Applies the changes to what the file holds now, creating the folder if need be. Readers see them once this
     * returns.
     *
     * @param fallback takes the place of content that is malformed
     * @return what the file holds afterwards
     * @throws IOException if the file cannot be locked, read or written; it is then unchanged
     */
    public Maintenance apply(List<MaintenanceChange> changes, Maintenance fallback) throws IOException {
        Maintenance[] stored = new Maintenance[1];
        file.update(content -> {
            stored[0] = MaintenanceChange.applyAll(changes, parseOr(content, fallback));
            return stored[0].serialize();
        });
        return stored[0];
    }

    private Maintenance parseOr(String content, Maintenance fallback) {
        try {
            return parse(content);
        } catch (IOException e) {
            LOG.atWarn().log("the maintenance file is replaced by the active maintenance: {}", e.getMessage());
            return fallback;
        }
    }
}
