package juniperusher.maintenance;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import juniperusher.files.AtomicFile;

/**
 * File {@code maintenance} in the persistent state folder, which stores a {@link Maintenance}. It is replaced
 * atomically, so a reader (this process after a restart, or the other process during an upgrade) finds either the old
 * or the new content and never a part.
 */
public final class MaintenanceFile {
    /** File name in the folder. */
    public static final String NAME = "maintenance";

    private final Path folder;

    /** Creates the file object for {@code folder}, which need not exist yet. */
    public MaintenanceFile(Path folder) {
        this.folder = folder;
    }

    /**
     * Reads the file; {@link Maintenance#NONE} if it does not exist.
     *
     * @throws IOException if the file cannot be read or its content is malformed
     */
    public Maintenance read() throws IOException {
        try {
            return Maintenance.parse(Files.readString(folder.resolve(NAME)));
        } catch (NoSuchFileException e) {
            return Maintenance.NONE;
        } catch (IllegalArgumentException e) {
            throw new IOException(folder.resolve(NAME) + ": " + e.getMessage(), e);
        }
    }

    /** Replaces the file, creating the folder if need be. Readers see the new content once this returns. */
    public void write(Maintenance maintenance) throws IOException {
        Files.createDirectories(folder);
        AtomicFile.write(folder.resolve(NAME), maintenance.serialize());
    }
}
