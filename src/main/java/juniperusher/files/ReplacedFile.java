package juniperusher.files;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.AtomicMoveNotSupportedException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;

/**
 * A file that is only ever replaced as a whole: it is written under a name of its own beside the target and
 * moved into place, so that a reader finds the old content or the new, never half of one. Several processes
 * may write at the same moment, the last move wins. Nothing is forced to disk.
 */
public final class ReplacedFile {
    private ReplacedFile() {}

    /** Replaces the target's content by the text in UTF-8. Before this returns, a reader finds it. */
    public static void write(Path target, String text) throws IOException {
        long writer = ProcessHandle.current().pid();
        Path beside = target.resolveSibling(target.getFileName() + ".new-" + writer);
        try {
            Files.writeString(beside, text, StandardCharsets.UTF_8);
        } catch (IOException e) {
            Files.deleteIfExists(beside); // half of it would only take room
            throw e;
        }
        try {
            Files.move(beside, target, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
        } catch (AtomicMoveNotSupportedException e) {
            Files.move(beside, target, StandardCopyOption.REPLACE_EXISTING);
        }
    }
}
