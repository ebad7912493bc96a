package juniperusher.files;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class AtomicFileTest {
    @TempDir
    private Path folder;

    private List<String> fileNames() throws Exception {
        try (Stream<Path> files = Files.list(folder)) {
            return files.map(file -> file.getFileName().toString()).toList();
        }
    }

    @Test
    void replacesTheContentAndLeavesNoTemporaryFile() throws Exception {
        Path target = folder.resolve("state");
        AtomicFile.write(target, "a long first content");
        AtomicFile.write(target, "é");
        assertEquals("é", Files.readString(target));
        assertEquals(List.of("state"), fileNames());
    }

    @Test
    void missingFolderIsAnError() {
        assertThrows(
                NoSuchFileException.class,
                () -> AtomicFile.write(folder.resolve("gone").resolve("state"), "text"));
    }
}
