package juniperusher;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Keeps the decision module short enough to be read as a whole. */
class ControlSizeTest {
    @Test
    void controlHasAtMost1000LinesThatAreNotBlank() throws IOException {
        List<String> lines = Files.readAllLines(Path.of("src/main/java/juniperusher/Control.java"));
        long count = lines.stream().filter(line -> !line.isBlank()).count();
        assertTrue(count <= 1000, count + " lines of Control.java are not blank");
    }
}
