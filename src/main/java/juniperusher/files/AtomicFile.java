package juniperusher.files;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.AtomicMoveNotSupportedException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;

/**
 * Atomic replacement of a file: the content is written to a temporary file in the same folder, which is then moved over
 * the target, so a reader finds either the old or the new content. Processes may write concurrently, since the name
 * of the temporary file contains the process id; the last move wins. Two threads of one process must not write the same
 * file at once. The data is not synced to disk, so a crash of the machine may lose it.
 */
public final class AtomicFile {
    private AtomicFile() {}

    /**
     * Replaces the content of the target by the text in UTF-8. Readers see the new content once this returns.
     *
     * @throws IOException if the file cannot be written or moved; the target is then unchanged
     */
    public static void write(Path target, String text) throws IOException {
        long processId = ProcessHandle.current().pid();
        write(target, text, target.resolveSibling(target.getFileName() + ".new-" + processId));
    }

    /** As {@link #write(Path, String)}, with a temporary file that no other thread or process may use meanwhile. */
    static void write(Path target, String text, Path temporary) throws IOException {
        try {
            Files.writeString(temporary, text, StandardCharsets.UTF_8);
        } catch (IOException e) {
            Files.deleteIfExists(temporary); // an incomplete file is of no use
            throw e;
        }
        try {
            Files.move(temporary, target, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
        } catch (AtomicMoveNotSupportedException e) {
            Files.move(temporary, target, StandardCopyOption.REPLACE_EXISTING);
        }
    }
}
