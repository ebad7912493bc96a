package juniperusher.fleet;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Instant;
import java.util.Arrays;
import java.util.stream.Stream;
import juniperusher.distribution.Version;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Tests that the map file is read back, and that incomplete, damaged, foreign or oversized files are ignored. */
class MapFileTest {
    private static final Instant NOW = Instant.parse("2026-03-01T10:00:00Z");
    private static final Version VERSION = new Version(2, 7);
    private static final byte[] SNAPSHOT = {1, 2, 3, 4, 5};

    @TempDir
    Path folder;

    private MapFile file;

    @BeforeEach
    void createFile() {
        file = new MapFile(folder, 100);
    }

    @Test
    void writtenMapIsReadBack() throws Exception {
        file.write(new Version(1, 6), new byte[] {9}, NOW.minusSeconds(5));
        file.write(VERSION, SNAPSHOT, NOW);
        MapFile.Saved saved = file.read().orElseThrow();
        assertArrayEquals(SNAPSHOT, saved.snapshot());
        assertEquals(VERSION, saved.version());
        assertEquals(NOW, saved.writtenAt());
        try (Stream<Path> files = Files.list(folder)) {
            assertEquals(1, files.count(), "no temporary file is left");
        }
    }

    @Test
    void missingFileReadsAsEmpty() {
        assertTrue(file.read().isEmpty());
    }

    @Test
    void fileOfWrongLengthIsIgnored() throws Exception {
        file.write(VERSION, SNAPSHOT, NOW);
        byte[] whole = Files.readAllBytes(file.path());
        for (int length = 0; length < whole.length; length++) {
            Files.write(file.path(), Arrays.copyOf(whole, length));
            assertTrue(file.read().isEmpty(), "cut to " + length);
        }
        Files.write(file.path(), Arrays.copyOf(whole, whole.length + 1));
        assertTrue(file.read().isEmpty(), "one extra byte");
    }

    @Test
    void everySingleBitErrorIsDetected() throws Exception {
        file.write(VERSION, SNAPSHOT, NOW);
        byte[] whole = Files.readAllBytes(file.path());
        for (int bit = 0; bit < whole.length * 8; bit++) {
            byte[] damaged = whole.clone();
            damaged[bit / 8] ^= (byte) (1 << bit % 8);
            Files.write(file.path(), damaged);
            assertTrue(file.read().isEmpty(), "bit " + bit);
        }
    }

    @Test
    void foreignOrOversizedFileIsIgnoredAndOversizedSnapshotIsNotWritten() throws Exception {
        Files.writeString(file.path(), "[fleet]\non = true\n".repeat(3));
        assertTrue(file.read().isEmpty());
        Files.write(file.path(), new byte[1000]);
        assertTrue(file.read().isEmpty());
        file.write(VERSION, SNAPSHOT, NOW);
        assertThrows(IOException.class, () -> file.write(VERSION, new byte[101], NOW));
        assertArrayEquals(SNAPSHOT, file.read().orElseThrow().snapshot());
    }
}
