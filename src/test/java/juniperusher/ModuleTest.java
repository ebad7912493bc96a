package juniperusher;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;

class ModuleTest {
    @Test
    void theModuleIsShortEnoughToReadAloud() throws IOException {
        List<String> lines = Files.readAllLines(Path.of("src/main/java/juniperusher/Control.java"));
        long count = lines.stream().filter(line -> !line.isBlank()).count();
        assertTrue(count <= 1000, count + " lines that are not blank");
    }
}
