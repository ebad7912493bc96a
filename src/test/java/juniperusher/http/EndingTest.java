package juniperusher.http;

import static juniperusher.http.Ending.Step.END;
import static juniperusher.http.Ending.Step.END_ALL;
import static juniperusher.http.Ending.Step.END_RESTING;
import static juniperusher.http.Ending.Step.LAST_ANSWERS;
import static juniperusher.http.Ending.Step.STOP_LISTENING;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import org.testng.annotations.Test;

/** What is done when after SIGTERM. */
public class EndingTest {
    private static final long KILL = 3_700; // ms from SIGTERM to SIGKILL at the least
    private static final long COMING = 400; // ms after SIGTERM for which new connections come

    @Test
    public void allIsTakenOnWhileThereIsTimeThoughNothingIsOpenOrOwed() {
        Ending ending = new Ending(false);
        for (long at = 0; at < Ending.LAST_ANSWERS; at += 20) {
            assertEquals(ending.at(at, 0, 0, 0), List.of(), "at " + at);
        }
        assertTrue(Ending.LAST_ANSWERS > COMING && Ending.END < KILL);
        assertEquals(ending.at(Ending.LAST_ANSWERS, 0, 5, 0), List.of(LAST_ANSWERS, END_RESTING, END));
    }

    @Test
    public void whatIsOpenEndsInOrderAndANoticeThatStillCanGoGoes() {
        Ending ending = new Ending(false);
        assertEquals(ending.at(Ending.LAST_ANSWERS + 10, 3, 5, 1), List.of(LAST_ANSWERS, END_RESTING));
        assertEquals(ending.at(Ending.LAST_ANSWERS + 30, 1, 5, 1), List.of(END_RESTING));
        assertEquals(ending.at(Ending.ALL, 1, 5, 1), List.of(END_RESTING, END_ALL));
        assertEquals(ending.at(Ending.ALL + 20, 0, 5, 1), List.of());
        assertEquals(ending.at(Ending.ALL + 40, 0, 5, 0), List.of(END));
    }

    @Test
    public void itEndsInTimeWhateverIsOpen() {
        Ending ending = new Ending(false);
        assertEquals(ending.at(Ending.END, 9, 9, 9), List.of(LAST_ANSWERS, END_RESTING, END_ALL, END));
    }

    @Test
    public void whereTheSocketIsHandedOnItEndsOnceNothingIsLeft() {
        Ending ending = new Ending(true);
        assertEquals(ending.at(0, 2, 1, 0), List.of(STOP_LISTENING, LAST_ANSWERS));
        assertEquals(ending.at(500, 2, 0, 0), List.of());
        assertEquals(ending.at(520, 0, 1, 0), List.of());
        assertEquals(ending.at(540, 0, 0, 1), List.of());
        assertEquals(ending.at(560, 0, 0, 0), List.of(END));
        assertEquals(ending.at(Ending.LAST_ANSWERS, 1, 0, 0), List.of(END_RESTING));
    }
}
