package juniperusher.files;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Guards against a change that undoes or drops one of the other process of an upgrade. */
class SharedFileTest {
    private static final int CHANGES = 300;
    private static final long LOCK_TIMEOUT_MILLIS = 100;
    private static final int PROCESS_SECONDS = 60;

    @TempDir
    private Path folder;

    private static String append(String content, String text) {
        return (content == null ? "" : content) + text + "\n";
    }

    @Test
    void changeIsAppliedToTheContentOfThatMoment() throws Exception {
        SharedFile one = new SharedFile(folder.resolve("new").resolve("state"), LOCK_TIMEOUT_MILLIS);
        assertNull(one.read());
        one.update(content -> append(content, "a"));
        SharedFile other = new SharedFile(folder.resolve("new").resolve("state"), LOCK_TIMEOUT_MILLIS);
        other.update(content -> append(content, "b"));
        assertEquals("a\nb\n", one.read());
    }

    @Test
    void changeThatFailsLeavesTheContent() throws Exception {
        SharedFile file = new SharedFile(folder.resolve("state"), LOCK_TIMEOUT_MILLIS);
        file.update(content -> "first");
        assertThrows(
                IOException.class,
                () -> file.update(content -> {
                    throw new IOException("unreadable");
                }));
        assertEquals("first", file.read());
        file.update(content -> content + ", second");
        assertEquals("first, second", file.read());
    }

    @Test
    void heldLockIsAnErrorAndNotAWaitWithoutEnd() throws Exception {
        SharedFile file = new SharedFile(folder.resolve("state"), LOCK_TIMEOUT_MILLIS);
        try (FileChannel holder =
                FileChannel.open(folder.resolve("state.lock"), StandardOpenOption.CREATE, StandardOpenOption.WRITE)) {
            holder.lock();
            assertThrows(IOException.class, () -> file.update(content -> "lost"));
            assertNull(file.read());
        }
        file.update(content -> "kept");
        assertEquals("kept", file.read());
    }

    @Test
    void changesOfTwoProcessesAreAllKept() throws Exception {
        Path path = folder.resolve("state");
        Process other = new ProcessBuilder(
                        Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                        "-cp",
                        System.getProperty("surefire.test.class.path", System.getProperty("java.class.path")),
                        Appender.class.getName(),
                        path.toString(),
                        "other")
                .inheritIO()
                .start();
        try {
            SharedFile file = new SharedFile(path, LOCK_TIMEOUT_MILLIS);
            while (file.read() == null) {
                assertTrue(other.isAlive(), "the other process wrote nothing");
                Thread.sleep(1);
            }
            for (int i = 0; i < CHANGES; i++) {
                Appender.change(file, "own" + i);
            }
            assertTrue(other.waitFor(PROCESS_SECONDS, TimeUnit.SECONDS));
            assertEquals(0, other.exitValue());
            assertEquals(
                    2 * CHANGES, Files.readAllLines(path).stream().distinct().count());
        } finally {
            other.destroyForcibly();
        }
        try (Stream<Path> files = Files.list(folder)) {
            assertEquals(
                    List.of("state", "state.lock"),
                    files.map(file -> file.getFileName().toString()).sorted().toList());
        }
    }

    /** The other process: adds lines to the file. */
    static final class Appender {
        private Appender() {}

        public static void main(String[] arguments) throws Exception {
            SharedFile file = new SharedFile(Path.of(arguments[0]), LOCK_TIMEOUT_MILLIS);
            for (int i = 0; i < CHANGES; i++) {
                change(file, arguments[1] + i);
            }
        }

        /** Tries until the change is made, as those do that keep a change pending. */
        static void change(SharedFile file, String line) throws IOException {
            while (true) {
                try {
                    file.update(content -> append(content, line));
                    return;
                } catch (IOException e) {
                    if (!e.getMessage().contains("locked")) {
                        throw e;
                    }
                }
            }
        }
    }
}
