package juniperusher.cli;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import juniperusher.cli.ReloadSignal.FileTurn;
import juniperusher.cli.ReloadSignal.Stamp;
import org.junit.jupiter.api.Test;

class ReloadSignalTest {
    private static final Stamp FIRST = new Stamp(1, 10, "a");

    @Test
    void aFileIsTakenOnceItHasChangedAndRests() {
        FileTurn turn = new FileTurn(FIRST);
        assertFalse(turn.look(FIRST));
        assertFalse(turn.look(new Stamp(2, 5, "a")), "half written, perhaps");
        assertFalse(turn.look(new Stamp(3, 12, "a")));
        assertTrue(turn.look(new Stamp(3, 12, "a")));
        assertFalse(turn.look(new Stamp(3, 12, "a")), "taken once");
    }

    @Test
    void aFileThatIsAwayForAMomentIsNotTaken() {
        FileTurn turn = new FileTurn(FIRST);
        assertFalse(turn.look(null));
        assertFalse(turn.look(null));
        assertFalse(turn.look(new Stamp(1, 10, "b")));
        assertTrue(turn.look(new Stamp(1, 10, "b")), "another file of the same size and time");
    }

    @Test
    void aFileThatChangesBackIsNotTaken() {
        FileTurn turn = new FileTurn(FIRST);
        assertFalse(turn.look(new Stamp(2, 10, "b")));
        assertFalse(turn.look(FIRST));
        assertFalse(turn.look(FIRST));
    }
}
