package juniperusher.maintenance;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import juniperusher.files.ReplacedFile;

/**
 * The maintenance in the folder that lasts, as the file {@code maintenance}. It is written whole beside and
 * moved over the old one, so that a reader (this process after a restart, or the other one at an upgrade)
 * finds the old or the new, never half of one.
 */
public final class MaintenanceFile {
    /** The file's name in the folder. */
    public static final String NAME = "maintenance";

    private final Path folder;

    /** The file in {@code folder}. */
    public MaintenanceFile(Path folder) {
        this.folder = folder;
    }

    /** What the file holds; {@link Maintenance#NONE} where there is none. */
    public Maintenance read() throws IOException {
        try {
            return Maintenance.parse(Files.readString(folder.resolve(NAME)));
        } catch (NoSuchFileException e) {
            return Maintenance.NONE;
        } catch (IllegalArgumentException e) {
            throw new IOException(folder.resolve(NAME) + ": " + e.getMessage(), e);
        }
    }

    /** Writes it whole, then moves it into place: before this returns, a reader finds it. */
    public void write(Maintenance maintenance) throws IOException {
        Files.createDirectories(folder);
        ReplacedFile.write(folder.resolve(NAME), maintenance.text());
    }
}
