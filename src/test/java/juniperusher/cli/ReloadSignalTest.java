package juniperusher.cli;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import juniperusher.cli.ReloadSignal.FileChangeDetector;
import juniperusher.cli.ReloadSignal.FileVersion;
import org.junit.jupiter.api.Test;

/** When polling of the configuration file, which replaces an ignored SIGHUP, reports a change. */
class ReloadSignalTest {
    private static final FileVersion FIRST = new FileVersion(1, 10, "a");

    @Test
    void changeIsReportedOnceTheFileIsStable() {
        FileChangeDetector detector = new FileChangeDetector(FIRST);
        assertFalse(detector.detectsChange(FIRST));
        assertFalse(detector.detectsChange(new FileVersion(2, 5, "a")), "may be half written");
        assertFalse(detector.detectsChange(new FileVersion(3, 12, "a")));
        assertTrue(detector.detectsChange(new FileVersion(3, 12, "a")));
        assertFalse(detector.detectsChange(new FileVersion(3, 12, "a")), "reported once");
    }

    @Test
    void missingFileIsNotReported() {
        FileChangeDetector detector = new FileChangeDetector(FIRST);
        assertFalse(detector.detectsChange(null));
        assertFalse(detector.detectsChange(null));
        assertFalse(detector.detectsChange(new FileVersion(1, 10, "b")));
        assertTrue(detector.detectsChange(new FileVersion(1, 10, "b")), "another file of the same size and time");
    }

    @Test
    void fileThatChangesBackIsNotReported() {
        FileChangeDetector detector = new FileChangeDetector(FIRST);
        assertFalse(detector.detectsChange(new FileVersion(2, 10, "b")));
        assertFalse(detector.detectsChange(FIRST));
        assertFalse(detector.detectsChange(FIRST));
    }
}
